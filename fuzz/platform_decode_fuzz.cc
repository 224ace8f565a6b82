// Fuzzes what the platform and its callers send: configurations, target records
// and headers.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/parse.hpp>

#include "platform/decode.h"
#include "platform/forward_headers.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), ec);
  if (!ec) {
    platform::DecodeRouteConfig(value);
    platform::DecodeTarget("name", value);
  }
  HeaderList headers;
  size_t begin = 0;
  while (begin < text.size()) {
    const size_t end = std::min(text.find('\n', begin), text.size());
    const std::string_view line = text.substr(begin, end - begin);
    const size_t colon = std::min(line.find(':'), line.size());
    headers.push_back(
        {std::string(line.substr(0, colon)),
         std::string(line.substr(std::min(colon + 1, line.size())))});
    begin = end + 1;
  }
  const auto protocol = platform::MakeForwardProtocol();
  protocol->ParseCallerFields(headers);
  protocol->ParseTargetFields(200, EndToEndHeaders(headers));
  return 0;
}
