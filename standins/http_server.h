// A small HTTP/1.1 server for the fakes. One thread runs the io_context and all
// handlers.
#ifndef STANDINS_HTTP_SERVER_H_
#define STANDINS_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "standins/faults.h"

namespace burdockhatch::standins {

struct HttpRequest {
  std::string method;
  std::string path;  // Percent-decoded, without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  // Returns the value of a header or a query parameter, or an empty string.
  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
  // Returns a query parameter as a number, or `default_value` when it is
  // missing or not a number.
  uint64_t QueryNumber(const std::string& name, uint64_t default_value) const;
};

struct HttpResponse {
  unsigned status = 200;
  std::string body = {};
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers = {};
};

// A request that waits for its answer. The connection is closed when the last
// reference is released without an answer.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual void Reply(HttpResponse response) = 0;

  // These answer with server-sent events. `on_written` runs once the kernel has
  // accepted the bytes of all events, and never when the write fails.
  virtual void BeginEvents() = 0;
  virtual void SendEvent(std::string_view data) = 0;
  // Sends a comment line, which shows the reader that the connection is alive.
  virtual void SendComment() = 0;
  virtual void EndEvents(std::function<void()> on_written) = 0;

  // Closes the connection before or during the answer.
  virtual void Close() = 0;
  virtual bool IsOpen() const = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

struct HttpServerOptions {
  std::string listen = "127.0.0.1:0";  // "ip:port"; port 0 means any free one.
  // Requests with a larger body get the status 413.
  uint64_t max_body_bytes = 64 << 20;
};

// Serves GET and POST /faults itself. Faults apply to all requests except
// /faults, /stats and the requests that SetControlRequestFilter() exempts.
class HttpServer {
 public:
  // Throws boost::system::system_error when the address cannot be bound.
  HttpServer(boost::asio::io_context& io,
             HttpServerOptions options,
             Faults& faults,
             HttpHandler handler);
  ~HttpServer();

  // Exempts the requests for which `is_control` returns true from faults, e.g.
  // those that only tests send.
  void SetControlRequestFilter(
      std::function<bool(const HttpRequest&)> is_control);
  // Sets a function that runs after POST /faults has changed the faults.
  void SetFaultListener(std::function<void()> on_change);

  uint16_t port() const;
  std::string address() const;

  // Closes the listening socket for `ms`, so that connections are refused.
  void RefuseConnections(uint64_t ms);

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// Replies with a JSON object {"error": `code`}.
void ReplyError(HttpExchange& exchange, unsigned status, std::string_view code);

// Runs `io` until SIGTERM or SIGINT.
void RunUntilTerminated(boost::asio::io_context& io);

}  // namespace burdockhatch::standins

#endif  // STANDINS_HTTP_SERVER_H_
