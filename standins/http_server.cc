#include "standins/http_server.h"

#include <charconv>
#include <chrono>
#include <csignal>
#include <deque>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace burdockhatch::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    const bool escape = text[i] == '%' && i + 2 < text.size() &&
                        HexDigit(text[i + 1]) >= 0 &&
                        HexDigit(text[i + 2]) >= 0;
    if (!escape) {
      decoded += text[i];
      continue;
    }
    decoded +=
        static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
    i += 2;
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view text) {
  std::map<std::string, std::string> query;
  while (!text.empty()) {
    const size_t end = text.find('&');
    const std::string_view field = text.substr(0, end);
    const size_t equals = field.find('=');
    const std::string_view value = equals == std::string_view::npos
                                       ? std::string_view()
                                       : field.substr(equals + 1);
    query[PercentDecode(field.substr(0, equals))] = PercentDecode(value);
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
  }
  return query;
}

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower) {
    if (c >= 'A' && c <= 'Z') {
      c = static_cast<char>(c - 'A' + 'a');
    }
  }
  return lower;
}

HttpRequest ToRequest(http::request<http::string_body> message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  const std::string target(message.target());
  const size_t mark = target.find('?');
  request.path = PercentDecode(target.substr(0, mark));
  if (mark != std::string::npos) {
    request.query = ParseQuery(std::string_view(target).substr(mark + 1));
  }
  for (const auto& field : message.base()) {
    request.headers[LowerCase(field.name_string())] =
        std::string(field.value());
  }
  request.body = std::move(message.body());
  return request;
}

std::string ResponseText(const HttpResponse& response, bool keep_alive) {
  std::string text = fmt::format(
      "HTTP/1.1 {} {}\r\n", response.status,
      std::string(http::obsolete_reason(http::int_to_status(response.status))));
  for (const auto& [name, value] : response.headers) {
    text += fmt::format("{}: {}\r\n", name, value);
  }
  if (!keep_alive) {
    text += "Connection: close\r\n";
  }
  // A 204 or 304 response has no body and no Content-Length.
  if (response.status == 204 || response.status == 304) {
    return text + "\r\n";
  }
  text += fmt::format("Content-Type: {}\r\nContent-Length: {}\r\n\r\n",
                      response.content_type, response.body.size());
  return text + response.body;
}

std::string HttpChunk(std::string_view data) {
  return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    throw boost::system::system_error(
        asio::error::make_error_code(asio::error::invalid_argument), address);
  }
  uint16_t port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(),
                  port);
  return {asio::ip::make_address(address.substr(0, colon)), port};
}

class Session;

class Exchange : public HttpExchange {
 public:
  Exchange(std::shared_ptr<Session> session, bool keep_alive)
      : session_(std::move(session)), keep_alive_(keep_alive) {}
  ~Exchange() override;

  void Reply(HttpResponse response) override;
  void BeginEvents() override;
  void SendEvent(std::string_view data) override;
  void SendComment() override;
  void EndEvents(std::function<void()> on_written) override;
  void Close() override;
  bool IsOpen() const override;

  bool drop_answer = false;
  bool cut_answer = false;

 private:
  std::shared_ptr<Session> session_;
  bool keep_alive_;
  bool ended_ = false;
};

}  // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& context, Faults& f, HttpHandler h)
      : io(context), acceptor(context), faults(f), handler(std::move(h)) {}

  void Listen();
  void Accept();
  bool IsControlRequest(const HttpRequest& request) const;
  void Handle(HttpRequest request, std::shared_ptr<Exchange> exchange);
  void HandleFaults(const HttpRequest& request, HttpExchange& exchange);

  asio::io_context& io;
  tcp::acceptor acceptor;
  Faults& faults;
  HttpHandler handler;
  std::function<bool(const HttpRequest&)> is_control;
  std::function<void()> on_fault_change;
  uint64_t max_body_bytes = 0;
  tcp::endpoint endpoint;
  bool stopped = false;
  std::vector<std::shared_ptr<Exchange>> hanging_exchanges;
};

namespace {

// The action of a session after a write has completed.
enum class AfterWrite : uint8_t { kNothing, kRead, kClose };

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket,
          std::function<void(HttpRequest, std::shared_ptr<Exchange>)> handler,
          uint64_t max_body_bytes)
      : socket_(std::move(socket)),
        handler_(std::move(handler)),
        max_body_bytes_(max_body_bytes) {}

  void Read() {
    parser_.emplace();
    parser_->body_limit(max_body_bytes_);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code ec, size_t) {
                       self->OnRead(ec);
                     });
  }

  // `on_written` must not own the session, which would keep it alive forever.
  void Write(std::string text,
             AfterWrite after = AfterWrite::kNothing,
             std::function<void()> on_written = {}) {
    if (!socket_.is_open()) {
      return;
    }
    write_queue_.push_back({std::move(text), after, std::move(on_written)});
    if (write_queue_.size() == 1) {
      WriteFront();
    }
  }

  void Close() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
  }

  bool IsOpen() const { return socket_.is_open(); }

 private:
  struct PendingWrite {
    std::string text;
    AfterWrite after = AfterWrite::kNothing;
    std::function<void()> on_written;
  };

  void OnRead(error_code ec) {
    if (ec == http::error::body_limit) {
      auto exchange = std::make_shared<Exchange>(shared_from_this(), false);
      ReplyError(*exchange, 413, "too_large");
      return;
    }
    if (ec) {
      Close();
      return;
    }
    const bool keep_alive = parser_->keep_alive();
    handler_(ToRequest(parser_->release()),
             std::make_shared<Exchange>(shared_from_this(), keep_alive));
  }

  void WriteFront() {
    asio::async_write(socket_, asio::buffer(write_queue_.front().text),
                      [self = shared_from_this()](error_code ec, size_t) {
                        self->OnWritten(ec);
                      });
  }

  void OnWritten(error_code ec) {
    if (ec) {
      write_queue_.clear();
      Close();
      return;
    }
    const PendingWrite done = std::move(write_queue_.front());
    write_queue_.pop_front();
    if (!write_queue_.empty()) {
      WriteFront();
    }
    if (done.on_written) {
      done.on_written();
    }
    if (done.after == AfterWrite::kRead) {
      Read();
    } else if (done.after == AfterWrite::kClose) {
      Close();
    }
  }

  tcp::socket socket_;
  std::function<void(HttpRequest, std::shared_ptr<Exchange>)> handler_;
  uint64_t max_body_bytes_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::deque<PendingWrite> write_queue_;
};

Exchange::~Exchange() {
  if (!ended_) {
    session_->Close();
  }
}

void Exchange::Reply(HttpResponse response) {
  if (ended_) {
    return;
  }
  ended_ = true;
  if (drop_answer) {
    session_->Close();
    return;
  }
  std::string text = ResponseText(response, keep_alive_);
  if (cut_answer) {
    text.resize(text.size() / 2);
    session_->Write(std::move(text), AfterWrite::kClose);
    return;
  }
  session_->Write(std::move(text),
                  keep_alive_ ? AfterWrite::kRead : AfterWrite::kClose);
}

void Exchange::BeginEvents() {
  if (drop_answer) {
    session_->Close();
    return;
  }
  session_->Write(
      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
      "Cache-Control: no-store\r\nTransfer-Encoding: chunked\r\n\r\n");
}

void Exchange::SendEvent(std::string_view data) {
  session_->Write(HttpChunk(fmt::format("data: {}\n\n", data)));
}

void Exchange::SendComment() {
  session_->Write(HttpChunk(":\n\n"));
}

void Exchange::EndEvents(std::function<void()> on_written) {
  if (ended_) {
    return;
  }
  ended_ = true;
  session_->Write("0\r\n\r\n",
                  keep_alive_ ? AfterWrite::kRead : AfterWrite::kClose,
                  std::move(on_written));
}

void Exchange::Close() {
  ended_ = true;
  session_->Close();
}

bool Exchange::IsOpen() const {
  return session_->IsOpen();
}

}  // namespace

std::string HttpRequest::Header(const std::string& name) const {
  auto it = headers.find(name);
  return it == headers.end() ? std::string() : it->second;
}

std::string HttpRequest::Query(const std::string& name) const {
  auto it = query.find(name);
  return it == query.end() ? std::string() : it->second;
}

uint64_t HttpRequest::QueryNumber(const std::string& name,
                                  uint64_t default_value) const {
  const std::string text = Query(name);
  uint64_t number = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return ec == std::errc() && end == text.data() + text.size() ? number
                                                               : default_value;
}

void HttpServer::Impl::Listen() {
  acceptor.open(endpoint.protocol());
  acceptor.set_option(tcp::acceptor::reuse_address(true));
  acceptor.bind(endpoint);
  acceptor.listen(asio::socket_base::max_listen_connections);
  endpoint = acceptor.local_endpoint();
  Accept();
}

void HttpServer::Impl::Accept() {
  acceptor.async_accept([self = shared_from_this()](error_code ec,
                                                    tcp::socket socket) {
    if (self->stopped || !self->acceptor.is_open()) {
      return;
    }
    if (!ec) {
      error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      auto handle = [self](HttpRequest request,
                           std::shared_ptr<Exchange> exchange) {
        self->Handle(std::move(request), std::move(exchange));
      };
      std::make_shared<Session>(std::move(socket), handle, self->max_body_bytes)
          ->Read();
    }
    self->Accept();
  });
}

bool HttpServer::Impl::IsControlRequest(const HttpRequest& request) const {
  return request.path == "/stats" || (is_control && is_control(request));
}

void HttpServer::Impl::Handle(HttpRequest request,
                              std::shared_ptr<Exchange> exchange) {
  if (stopped) {
    exchange->Close();
    return;
  }
  if (request.path == "/faults") {
    HandleFaults(request, *exchange);
    return;
  }
  if (IsControlRequest(request)) {
    handler(std::move(request), std::move(exchange));
    return;
  }
  if (faults.IsActive("down") || faults.ShouldInject("close_before")) {
    exchange->Close();
    return;
  }
  if (faults.IsActive("hang")) {
    hanging_exchanges.push_back(std::move(exchange));
    return;
  }
  exchange->drop_answer = faults.ShouldInject("lose_answer");
  exchange->cut_answer = faults.ShouldInject("cut_answer");
  const auto delay = std::chrono::milliseconds(
      static_cast<int64_t>(faults.Number("delay_ms")));
  if (delay.count() == 0) {
    handler(std::move(request), std::move(exchange));
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(io, delay);
  timer->async_wait([self = shared_from_this(), timer,
                     request = std::move(request),
                     exchange = std::move(exchange)](error_code) mutable {
    if (!self->stopped) {
      self->handler(std::move(request), std::move(exchange));
    }
  });
}

void HttpServer::Impl::HandleFaults(const HttpRequest& request,
                                    HttpExchange& exchange) {
  if (request.method == "POST") {
    const std::string error = faults.Merge(request.body);
    if (!error.empty()) {
      ReplyError(exchange, 400, error);
      return;
    }
    if (!faults.IsActive("hang")) {
      hanging_exchanges.clear();
    }
    if (on_fault_change) {
      on_fault_change();
    }
  }
  exchange.Reply({.body = faults.ToJson()});
}

HttpServer::HttpServer(asio::io_context& io,
                       HttpServerOptions options,
                       Faults& faults,
                       HttpHandler handler)
    : impl_(std::make_shared<Impl>(io, faults, std::move(handler))) {
  impl_->max_body_bytes = options.max_body_bytes;
  impl_->endpoint = ParseEndpoint(options.listen);
  impl_->Listen();
}

HttpServer::~HttpServer() {
  impl_->stopped = true;
  error_code ignored;
  impl_->acceptor.close(ignored);
  impl_->hanging_exchanges.clear();
}

void HttpServer::SetControlRequestFilter(
    std::function<bool(const HttpRequest&)> is_control) {
  impl_->is_control = std::move(is_control);
}

void HttpServer::SetFaultListener(std::function<void()> on_change) {
  impl_->on_fault_change = std::move(on_change);
}

uint16_t HttpServer::port() const {
  return impl_->endpoint.port();
}

std::string HttpServer::address() const {
  return fmt::format("{}:{}", impl_->endpoint.address().to_string(), port());
}

void HttpServer::RefuseConnections(uint64_t ms) {
  error_code ignored;
  impl_->acceptor.close(ignored);
  auto timer = std::make_shared<asio::steady_timer>(
      impl_->io, std::chrono::milliseconds(ms));
  timer->async_wait([impl = impl_, timer](error_code) {
    if (!impl->stopped) {
      impl->Listen();
    }
  });
}

void ReplyError(HttpExchange& exchange,
                unsigned status,
                std::string_view code) {
  exchange.Reply(
      {.status = status,
       .body = boost::json::serialize(boost::json::object{{"error", code}})});
}

void RunUntilTerminated(asio::io_context& io) {
  asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](error_code, int) { io.stop(); });
  io.run();
}

}  // namespace burdockhatch::standins
