// Fuzzes what the platform and its callers send: lists, changes,
// configurations, target records and headers.
#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include "platform/decode.h"
#include "platform/fleet_feed.h"
#include "platform/forward_headers.h"
#include "src/ip_endpoint.h"
#include "src/lenient_json.h"

namespace {

using namespace burdockhatch;

void Require(bool holds) {
  if (!holds) {
    abort();
  }
}

// Like operator== of the library, but NaN equals NaN: both parsers read 0e845
// as NaN.
bool IsSameJson(const boost::json::value& a, const boost::json::value& b) {
  if (a.kind() != b.kind()) {
    return a == b;  // integers of different kinds may be equal
  }
  switch (a.kind()) {
    case boost::json::kind::double_:
      return a.get_double() == b.get_double() ||
             (std::isnan(a.get_double()) && std::isnan(b.get_double()));
    case boost::json::kind::array:
      return std::equal(a.get_array().begin(), a.get_array().end(),
                        b.get_array().begin(), b.get_array().end(), IsSameJson);
    case boost::json::kind::object:
      return a.get_object().size() == b.get_object().size() &&
             std::all_of(
                 a.get_object().begin(), a.get_object().end(),
                 [&b](const boost::json::key_value_pair& field) {
                   const auto* other = b.get_object().if_contains(field.key());
                   return other != nullptr && IsSameJson(field.value(), *other);
                 });
    default:
      return a == b;
  }
}

// Text that is valid JSON must be read as by the strict parser.
void CheckLenientParser(std::string_view text) {
  boost::system::error_code ec;
  const boost::json::value strict = boost::json::parse(
      boost::json::string_view(text.data(), text.size()), ec);
  const auto lenient = ParseLenientJson(text);
  Require(ec || (lenient && lenient->unreadable_parts == 0 &&
                 IsSameJson(lenient->value, strict)));
  if (lenient) {
    Require(HasUnreadablePart(lenient->value) ||
            lenient->unreadable_parts == 0);
    platform::DecodeRouteConfig(lenient->value);
    platform::DecodeTarget("name", lenient->value);
  }
}

// Targets that are accepted must have an address that can be connected to.
void CheckFeed(const std::string& body) {
  static boost::asio::io_context io;
  static const std::unique_ptr<FleetFeed> feed =
      platform::MakeFleetFeed(io, "127.0.0.1:1");
  for (int i = 0; i < kFeedKindCount; ++i) {
    const FeedReply reply = feed->Decode(static_cast<FeedKind>(i), body);
    Require(reply.status != FeedStatus::kHistoryExpired);
    for (const FeedItem& it : reply.items) {
      const auto* record = std::get_if<TargetRecord>(&it);
      Require(record == nullptr || ParseIpEndpoint(record->address));
    }
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  CheckLenientParser(text);
  CheckFeed(std::string(text));
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
