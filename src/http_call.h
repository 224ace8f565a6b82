// HTTP/1.1 client that reports exactly whether any byte of a request was
// written. This header does not include Beast.
#ifndef SRC_HTTP_CALL_H_
#define SRC_HTTP_CALL_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "src/plain_service.h"
#include "src/units.h"

namespace burdockhatch {

struct HttpCall {
  std::string method;
  std::string target;  // HTTP request target: path and query.
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // Maximum time from the call until the complete response. It is checked a
  // last time on the writing thread just before the first write; if it has
  // expired by then, the reply is kNotSent.
  Duration timeout{0};
  // A larger body of the response fails the call. It may have taken effect.
  Bytes max_response{32 * 1024 * 1024};
  // Name of a header of the response to return; empty: none.
  std::string wanted_header;
  // Whether the request may reach the server twice. Only such a request uses a
  // pooled connection; if the call fails on it before any byte of the response
  // is read, the request is sent once more on a new connection.
  bool repeatable = false;
  // TCP keep-alive probes, one a second after a second of silence, without an
  // answer to which the connection fails. A sound machine may be silent for a
  // second or two.
  int lost_probes = 4;
};

struct HttpReply {
  CallStatus status = CallStatus::kUnknown;
  uint32_t http_status = 0;
  std::string content_type;
  std::string etag;
  // Value of HttpCall::wanted_header; empty if the response has none.
  std::string wanted_header;
  std::string body;
  Duration retry_after{0};  // Of a response with status 503; 0 if none.
};

// Reason for the end of an event stream.
enum class EventStreamEnd : uint8_t {
  kFinished,  // The server completed the response.
  kRefused,   // The response status was not 200.
  kLost,      // The connection failed, an event was too large, or the stream
              // exceeded the idle timeout.
};

struct EventStreamCallbacks {
  // Returns whether to go on; otherwise the stream ends with kLost.
  std::function<bool(std::string_view data)> on_event;
  // Called once, unless the reader was stopped. `http_status` is 0 if no
  // response was received.
  std::function<void(EventStreamEnd, uint32_t http_status)> on_end;
};

// An open stream of server-sent events.
class EventStreamReader {
 public:
  virtual ~EventStreamReader() = default;

  // Closes the connection. No further callback starts; one may be running.
  virtual void Stop() = 0;
};

// Client for one server. Callbacks run on a thread of the io_context, never
// inside the function that starts the request. Requests in progress keep
// themselves alive and may outlive the client.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  // Calls `done` exactly once.
  virtual void Call(HttpCall call, std::function<void(HttpReply)> done) = 0;

  // Reads server-sent events with GET. The stream ends with kLost if nothing
  // arrives for `idle_timeout`.
  virtual std::shared_ptr<EventStreamReader> ReadEvents(
      std::string target,
      Duration idle_timeout,
      EventStreamCallbacks callbacks) = 0;
};

// `address` is "ip:port". Calls to a malformed address end with kNotSent.
std::unique_ptr<HttpClient> MakeHttpClient(boost::asio::io_context& io,
                                           std::string address);

}  // namespace burdockhatch

#endif  // SRC_HTTP_CALL_H_
