// An HTTP request to one target over a new connection. A new connection cannot
// carry a late response to another request, and the target cannot close it as
// idle while the request is in progress.
#ifndef SRC_FORWARD_CALL_H_
#define SRC_FORWARD_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "src/http_headers.h"
#include "src/reservations.h"
#include "src/units.h"

namespace burdockhatch {

enum class ForwardCallResult : uint8_t {
  kComplete,
  kNotSent,  // No byte of the request was written.
  kBroken,   // The connection broke or the response is malformed.
};

struct ForwardCallSpec {
  std::string address;  // "ip:port".
  std::string method;
  std::string path;    // Includes the query.
  HeaderList headers;  // Includes Host, excludes Content-Length.
  std::shared_ptr<const std::string> body;
  Duration connect_timeout = std::chrono::milliseconds(250);
};

// Called on the thread of the io_context, in the order of declaration. Never
// called from within Start() or Stop(), nor after Stop().
struct ForwardCallHandlers {
  std::function<void(uint32_t status, HeaderList headers)> on_head;
  std::function<void(std::string_view data)> on_body;
  std::function<void(ForwardCallResult result)> on_end;
};

class ForwardCall {
 public:
  virtual ~ForwardCall() = default;

  // Closes the connection, which tells the target to abandon the request.
  virtual void Stop() = 0;

  // Stops reading the body, so that the target's sends block once the socket
  // buffers are full. A read in progress may still call on_body once.
  virtual void PauseReading() = 0;
  virtual void ResumeReading() = 0;
};

class ForwardConnector : public TargetProbe {
 public:
  virtual std::shared_ptr<ForwardCall> Start(ForwardCallSpec spec,
                                             ForwardCallHandlers handlers) = 0;
};

// `io` must be run by a single thread.
std::unique_ptr<ForwardConnector> MakeForwardConnector(
    boost::asio::io_context& io);

}  // namespace burdockhatch

#endif  // SRC_FORWARD_CALL_H_
