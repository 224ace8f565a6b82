// Parses addresses of the form "ip:port". Host names are not resolved.
#ifndef SRC_IP_ENDPOINT_H_
#define SRC_IP_ENDPOINT_H_

#include <optional>
#include <string>

#include <boost/asio/ip/tcp.hpp>

namespace burdockhatch {

// Returns nullopt if the address is malformed or the port is 0.
std::optional<boost::asio::ip::tcp::endpoint> ParseIpEndpoint(
    const std::string& address);

}  // namespace burdockhatch

#endif  // SRC_IP_ENDPOINT_H_
