// One request to one target over a connection of its own. A fresh connection
// cannot hold a late answer to another request, and no target closes it while
// the request is under way because it was idle.
#ifndef SRC_FORWARD_CALL_H_
#define SRC_FORWARD_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "src/http_headers.h"
#include "src/units.h"

namespace burdockhatch {

enum class ForwardCallResult : uint8_t {
  kComplete,
  kNotSent,  // No byte of the request was written.
  kBroken,   // Broke off, or the bytes are no answer.
};

struct ForwardCallSpec {
  std::string address;  // "ip:port".
  std::string method;
  std::string path;    // With the query.
  HeaderList headers;  // With Host, without the length of the body.
  std::shared_ptr<const std::string> body;
  Duration connect_timeout = std::chrono::milliseconds(250);
};

// Run on the thread of the io_context, in this order; never within Start or
// Stop, and not after Stop.
struct ForwardCallHandlers {
  std::function<void(uint32_t status, HeaderList headers)> on_head;
  std::function<void(std::string_view data)> on_body;
  std::function<void(ForwardCallResult end)> on_end;
};

class ForwardCall {
 public:
  virtual ~ForwardCall() = default;

  // Closes the connection, which tells the target to stop.
  virtual void Stop() = 0;
};

class ForwardConnector {
 public:
  virtual ~ForwardConnector() = default;

  virtual std::shared_ptr<ForwardCall> Start(ForwardCallSpec spec,
                                             ForwardCallHandlers handlers) = 0;
};

// `io` is run by one thread.
std::unique_ptr<ForwardConnector> MakeForwardConnector(
    boost::asio::io_context& io);

}  // namespace burdockhatch

#endif  // SRC_FORWARD_CALL_H_
