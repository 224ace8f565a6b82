// Client calls over HTTP/1.1 that tell precisely whether any byte of a request
// was written. Beast stays out of this header.
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
  std::string target;  // Path and query.
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // From the call until the whole answer. The last check comes on the writing
  // thread just before the first write; when the time has passed there, the
  // reply is kNotSent.
  Duration timeout{0};
  // Whether the request may reach the server twice. Only then a pooled
  // connection is used, and a call that fails on it before any byte of the
  // answer is sent once more on a fresh connection.
  bool repeatable = false;
};

struct HttpReply {
  CallStatus status = CallStatus::kUnknown;
  uint32_t http_status = 0;
  std::string content_type;
  std::string etag;
  std::string body;
};

// How reading server-sent events ended.
enum class EventStreamEnd : uint8_t {
  kFinished,  // The server ended the answer.
  kRefused,   // The answer's status was not 200.
  kLost,      // The connection failed, or was silent for too long.
};

struct EventStreamCallbacks {
  std::function<void(std::string_view data)> on_event;
  // Runs once, unless the reader was stopped. `http_status` is 0 when no answer
  // came.
  std::function<void(EventStreamEnd, uint32_t http_status)> on_end;
};

// A running read of server-sent events.
class EventStreamReader {
 public:
  virtual ~EventStreamReader() = default;

  // Closes the connection; at most the callback that is running still runs.
  virtual void Stop() = 0;
};

// Calls to one server. All callbacks run on a thread of the io_context, never
// within the call itself. Sessions keep themselves alive; they outlive the
// client.
class HttpClient {
 public:
  virtual ~HttpClient() = default;

  // `done` runs once.
  virtual void Call(HttpCall call, std::function<void(HttpReply)> done) = 0;

  // Reads server-sent events with GET. The connection counts as lost when
  // nothing arrives for `idle_timeout`.
  virtual std::shared_ptr<EventStreamReader> ReadEvents(
      std::string target,
      Duration idle_timeout,
      EventStreamCallbacks callbacks) = 0;
};

// `address` is "ip:port". Calls to an invalid address are kNotSent.
std::unique_ptr<HttpClient> MakeHttpClient(boost::asio::io_context& io,
                                           std::string address);

}  // namespace burdockhatch

#endif  // SRC_HTTP_CALL_H_
