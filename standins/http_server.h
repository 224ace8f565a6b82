// A small HTTP/1.1 server for the stand-ins. One thread runs the io_context;
// all handlers run on it.
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

  // The value of a header or a query parameter, or an empty string.
  std::string Header(const std::string& name) const;
  std::string Query(const std::string& name) const;
  // A query parameter as a number, or `missing`.
  uint64_t QueryNumber(const std::string& name, uint64_t missing) const;
};

struct HttpResponse {
  unsigned status = 200;
  std::string body = {};
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers = {};
};

// One request that waits for its answer. The connection is closed when the last
// reference is dropped without an answer.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  virtual void Reply(HttpResponse response) = 0;

  // Answers with server-sent events. `written` runs once the bytes of all
  // events are handed to the kernel, and not at all when the write fails.
  virtual void BeginEvents() = 0;
  virtual void SendEvent(std::string_view data) = 0;
  // A comment line, which tells the reader that the connection is alive.
  virtual void SendComment() = 0;
  virtual void EndEvents(std::function<void()> written) = 0;

  // Closes the connection without an answer, or in the midst of one.
  virtual void Close() = 0;
  virtual bool IsOpen() const = 0;
};

using HttpHandler =
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)>;

struct HttpServerOptions {
  std::string listen = "127.0.0.1:0";  // "ip:port"; port 0 takes a free one.
  uint64_t max_body = 64 << 20;        // Bytes; larger requests are answered
                                       // 413.
};

// Serves GET and POST /faults itself. Faults apply to all requests except
// those that `is_control` names, /faults and /stats.
class HttpServer {
 public:
  // Throws boost::system::system_error when the address cannot be bound.
  HttpServer(boost::asio::io_context& io,
             HttpServerOptions options,
             Faults& faults,
             HttpHandler handler);
  ~HttpServer();

  // Requests that faults do not touch, e.g. those that only tests send.
  void SetControlPaths(std::function<bool(const HttpRequest&)> is_control);
  // Runs after POST /faults has changed the faults.
  void SetFaultListener(std::function<void()> on_change);

  uint16_t port() const;
  std::string address() const;

  // Accepts no connections for `ms`, so that connecting is refused.
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
