#include "src/ip_endpoint.h"

#include <charconv>
#include <cstddef>
#include <cstdint>

namespace burdockhatch {

namespace {

constexpr ptrdiff_t kMaxPortDigits = 5;

}  // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseIpEndpoint(
    const std::string& address) {
  const size_t colon = address.rfind(':');
  // make_address() ignores what follows a null byte.
  if (colon == std::string::npos || address.find('\0') != std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code ec;
  const boost::asio::ip::address ip =
      boost::asio::ip::make_address(address.substr(0, colon), ec);
  uint16_t port = 0;
  const char* begin = address.data() + colon + 1;
  const char* end = address.data() + address.size();
  const auto [rest, parsed] = std::from_chars(begin, end, port);
  if (ec || end - begin > kMaxPortDigits || parsed != std::errc() ||
      rest != end || port == 0) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace burdockhatch
