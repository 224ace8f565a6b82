#include "src/object_api_http.h"

#include <atomic>
#include <charconv>
#include <deque>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "src/byte_budget.h"
#include "src/http_headers.h"
#include "src/ip_endpoint.h"
#include "src/json_reader.h"
#include "src/lenient_json.h"
#include "src/log.h"

namespace burdockhatch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;

// Exceeds kMaxObjectSize and the instance list at the design scale.
constexpr uint64_t kMaxBodyBytes = uint64_t{8} << 20;
constexpr size_t kMaxIdleConnections = 8;
// Limits what a server may send without the end of the head, of a chunk header
// or of the trailer.
constexpr size_t kReadBufferBytes = 32 * 1024;
// Of all replies that the process is reading. One that needs more fails.
constexpr Bytes kMaxHeldReplies(32 * 1024 * 1024);

std::shared_ptr<ByteBudget> HeldReplies() {
  static const auto budget = std::make_shared<ByteBudget>(kMaxHeldReplies);
  return budget;
}

std::optional<tcp::endpoint> ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  if (colon == std::string::npos || colon == 0) {
    return std::nullopt;
  }
  std::string host = address.substr(0, colon);
  if (host.front() == '[' && host.back() == ']') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code ec;
  const auto ip = asio::ip::make_address(host, ec);
  const char* first = address.data() + colon + 1;
  const char* last = address.data() + address.size();
  uint16_t port = 0;
  const auto [rest, error] = std::from_chars(first, last, port);
  if (ec || error != std::errc() || rest != last) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

bool IsPathCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') ||
         std::string_view("-._~/:@").find(c) != std::string_view::npos;
}

std::string FormatEtag(ObjectVersion version) {
  return fmt::format("\"{}\"", version.value());
}

struct HttpReply {
  // kOk when an HTTP response arrived, otherwise kNotSent or kUnknown.
  ObjectStatus transport = ObjectStatus::kUnknown;
  unsigned status = 0;  // HTTP status; set when `transport` is kOk.
  std::string etag;
  std::string body;
};

// A 5xx response leaves the outcome of an update unknown, because a part of the
// platform may have applied it.
ObjectStatus ToObjectStatus(const HttpReply& reply) {
  if (reply.transport != ObjectStatus::kOk) {
    return reply.transport;
  }
  switch (reply.status) {
    case 200:
    case 201:
    case 204:
      return ObjectStatus::kOk;
    case 304:
      return ObjectStatus::kNotModified;
    case 404:
      return ObjectStatus::kNotFound;
    case 409:
    case 412:
      return ObjectStatus::kConflict;
    case 429:
      return ObjectStatus::kThrottled;
    case 400:
    case 413:
      return ObjectStatus::kNotSent;
    default:
      return ObjectStatus::kUnknown;
  }
}

ObjectReply ToObjectReply(HttpReply reply) {
  ObjectReply result;
  result.status = ToObjectStatus(reply);
  if (result.status != ObjectStatus::kOk) {
    return result;
  }
  const std::optional<ObjectVersion> version = ParseEtag(reply.etag);
  if (!version) {
    result.status = ObjectStatus::kUnknown;
    return result;
  }
  result.version = *version;
  result.value = std::move(reply.body);
  return result;
}

InstanceListReply ToInstanceListReply(const HttpReply& reply) {
  InstanceListReply result;
  result.status = ToObjectStatus(reply);
  if (result.status != ObjectStatus::kOk) {
    return result;
  }
  if (auto list = ParseInstanceList(reply.body)) {
    return std::move(*list);
  }
  result.status = ObjectStatus::kUnknown;
  return result;
}

std::optional<InstanceInfo> ParseInstance(const boost::json::value& value) {
  Findings findings;
  ObjectReader reader(value, "", &findings);
  InstanceInfo info;
  reader.Require({"instance", "role", "state", "data_centre", "address"});
  reader.ReadId("instance", &info.instance);
  reader.ReadEnum<Role>(
      "role", {{"entry", Role::kEntry}, {"agent", Role::kAgent}}, &info.role);
  reader.ReadEnum<InstanceState>(
      "state",
      {{"live", InstanceState::kLive}, {"leaving", InstanceState::kLeaving}},
      &info.state);
  reader.ReadId("data_centre", &info.data_centre);
  reader.ReadString("address", kMaxIdLength, &info.address);
  // The platform sends an empty string for an attribute that an instance does
  // not have.
  const auto optional_id = [&](std::string_view key, auto* field) {
    const boost::json::value* it = reader.Find(key);
    if (it != nullptr && !(it->is_string() && it->get_string().empty()) &&
        !it->is_null()) {
      reader.ReadId(key, field);
    }
  };
  optional_id("region", &info.region);
  optional_id("target", &info.target);
  optional_id("model", &info.model);
  optional_id("service", &info.service);
  if (!findings.empty() || !ParseIpEndpoint(info.address)) {
    return std::nullopt;
  }
  return info;
}

// Returns the id of an entry of the list, or its position if it has none.
std::string DescribeEntry(const boost::json::value& entry, size_t position) {
  Findings ignored;
  ObjectReader reader(entry, "", &ignored);
  std::string id;
  reader.ReadString("instance", kMaxIdLength, &id);
  return id.empty() ? fmt::format("#{}", position) : id;
}

struct Connection {
  explicit Connection(const Strand& strand) : socket(strand) {}

  tcp::socket socket;
  beast::flat_buffer buffer{kReadBufferBytes};
};

// Returns whether the server has closed an idle connection or has sent
// unsolicited bytes on it.
bool IsStale(Connection& connection) {
  char byte = 0;
  boost::system::error_code ec;
  connection.socket.non_blocking(true, ec);
  connection.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                            ec);
  return ec != asio::error::would_block;
}

}  // namespace

// One request and its response. Its handlers hold references to it, which keep
// it alive until the last one has run.
class ObjectApiHttp::PendingCall
    : public std::enable_shared_from_this<PendingCall> {
 public:
  using Done = std::function<void(HttpReply)>;

  PendingCall(const Strand& strand,
              http::request<http::string_body> request,
              bool is_watch,
              Done done)
      : is_watch_(is_watch),
        timer_(strand),
        request_(std::move(request)),
        done_(std::move(done)) {
    parser_.body_limit(kMaxBodyBytes);
  }

  bool is_watch() const { return is_watch_; }
  bool finished() const { return !done_; }
  // Returns whether the call has spent half of its timeout in the queue. It is
  // then not sent any more, because an update would probably time out with an
  // unknown outcome.
  bool start_deadline_passed() const {
    return std::chrono::steady_clock::now() > start_deadline_;
  }

  // Starts the timeout. `pool` gets the connection back when the call ends.
  void StartTimer(std::weak_ptr<ConnectionPool> pool, Duration timeout);
  void Start(std::unique_ptr<Connection> connection,
             const tcp::endpoint& endpoint);
  // Drops the callback and closes the connection.
  void Cancel();

 private:
  void Write();
  void ReadResponse();
  void OnResponsePart(boost::system::error_code ec);
  void OnResponse();
  void OnTimeout();
  void Fail();
  void Finish(HttpReply reply, bool reusable);

  const bool is_watch_;
  bool write_started_ = false;
  std::chrono::steady_clock::time_point start_deadline_;
  asio::steady_timer timer_;
  http::request<http::string_body> request_;
  http::response_parser<http::string_body> parser_;
  ByteShare held_{HeldReplies()};
  std::unique_ptr<Connection> connection_;
  // The pool owns its calls.
  std::weak_ptr<ConnectionPool> connection_pool_;
  Done done_;
};

// The connections, and the queue of calls that wait for one.
class ObjectApiHttp::ConnectionPool
    : public std::enable_shared_from_this<ConnectionPool> {
 public:
  ConnectionPool(asio::io_context& control,
                 asio::io_context& traffic,
                 ObjectApiHttpOptions options)
      : control_(control),
        strand_(asio::make_strand(traffic)),
        options_(std::move(options)),
        endpoint_(ParseEndpoint(options_.address)) {}

  // Queues a call; may be called on any thread. `convert` runs on a traffic
  // thread and turns the response into a callback, which runs on the control
  // thread.
  void Submit(http::request<http::string_body> request,
              Duration wait,
              bool is_watch,
              std::function<std::function<void()>(HttpReply)> convert);
  // Cancels all calls. Must be called on the control thread; no callback runs
  // after it.
  void Close();
  void OnCallEnded(const PendingCall* call,
                   std::unique_ptr<Connection> connection);

 private:
  void CancelAllCalls();
  void Enqueue(const std::shared_ptr<PendingCall>& call, Duration wait);
  void StartPendingCalls();
  bool CanStart(const PendingCall& call) const;
  std::unique_ptr<Connection> TakeConnection();

  asio::io_context& control_;
  const Strand strand_;  // Guards all members below except `closed_`.
  std::atomic<bool> closed_ = false;
  const ObjectApiHttpOptions options_;
  const std::optional<tcp::endpoint> endpoint_;
  bool stopped_ = false;
  uint32_t active_call_count_ = 0;  // Calls in `active_calls_` except watches.
  std::deque<std::shared_ptr<PendingCall>> pending_calls_;
  std::vector<std::shared_ptr<PendingCall>> active_calls_;
  std::vector<std::unique_ptr<Connection>> idle_connections_;
};

void ObjectApiHttp::PendingCall::StartTimer(std::weak_ptr<ConnectionPool> pool,
                                            Duration timeout) {
  connection_pool_ = std::move(pool);
  start_deadline_ = std::chrono::steady_clock::now() + timeout / 2;
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](boost::system::error_code ec) {
    if (!ec) {
      self->OnTimeout();
    }
  });
}

void ObjectApiHttp::PendingCall::Start(std::unique_ptr<Connection> connection,
                                       const tcp::endpoint& endpoint) {
  connection_ = std::move(connection);
  if (connection_->socket.is_open()) {
    Write();
    return;
  }
  connection_->socket.async_connect(
      endpoint, [self = shared_from_this()](boost::system::error_code ec) {
        if (self->finished()) {
          return;
        }
        if (ec) {
          self->Fail();
          return;
        }
        boost::system::error_code ignored;
        self->connection_->socket.set_option(tcp::no_delay(true), ignored);
        self->Write();
      });
}

void ObjectApiHttp::PendingCall::Write() {
  write_started_ = true;
  http::async_write(
      connection_->socket, request_,
      [self = shared_from_this()](boost::system::error_code ec, size_t) {
        if (self->finished()) {
          return;
        }
        if (ec) {
          self->Fail();
          return;
        }
        self->ReadResponse();
      });
}

void ObjectApiHttp::PendingCall::ReadResponse() {
  http::async_read_some(
      connection_->socket, connection_->buffer, parser_,
      [self = shared_from_this()](boost::system::error_code ec, size_t) {
        if (!self->finished()) {
          self->OnResponsePart(ec);
        }
      });
}

void ObjectApiHttp::PendingCall::OnResponsePart(boost::system::error_code ec) {
  if (!ec && !held_.Resize(parser_.get().body().size())) {
    ec = http::error::body_limit;
  }
  if (ec == http::error::body_limit) {
    Log(LogLevel::kWarning, "object_reply_too_large",
        {{"bytes", std::to_string(parser_.get().body().size())},
         {"held_by_all", std::to_string(HeldReplies()->used())}});
  }
  if (ec) {
    Fail();
  } else if (parser_.is_done()) {
    OnResponse();
  } else {
    ReadResponse();
  }
}

void ObjectApiHttp::PendingCall::OnResponse() {
  // An interim response, which the final one follows, is not expected here.
  if (!IsFinalStatus(parser_.get().result_int())) {
    Fail();
    return;
  }
  // Further input would be taken for the response to the next call.
  const bool reusable = parser_.keep_alive() && connection_->buffer.size() == 0;
  auto response = parser_.release();
  HttpReply reply;
  reply.transport = ObjectStatus::kOk;
  reply.status = response.result_int();
  reply.etag = std::string(response[http::field::etag]);
  reply.body = std::move(response.body());
  Finish(std::move(reply), reusable);
}

void ObjectApiHttp::PendingCall::OnTimeout() {
  if (!finished()) {
    Fail();
  }
}

// The outcome is unknown once the write has started, because the server may
// have received the request.
void ObjectApiHttp::PendingCall::Fail() {
  HttpReply reply;
  reply.transport =
      write_started_ ? ObjectStatus::kUnknown : ObjectStatus::kNotSent;
  Finish(std::move(reply), false);
}

void ObjectApiHttp::PendingCall::Finish(HttpReply reply, bool reusable) {
  timer_.cancel();
  const Done done = std::exchange(done_, nullptr);
  std::unique_ptr<Connection> reusable_connection;
  if (reusable) {
    reusable_connection = std::move(connection_);
  } else if (connection_ != nullptr) {
    // Queued handlers still refer to the buffers of the connection, so it is
    // closed here and destroyed with this call.
    boost::system::error_code ignored;
    connection_->socket.close(ignored);
  }
  if (const auto pool = std::exchange(connection_pool_, {}).lock()) {
    pool->OnCallEnded(this, std::move(reusable_connection));
  }
  done(std::move(reply));
}

void ObjectApiHttp::PendingCall::Cancel() {
  done_ = nullptr;
  connection_pool_.reset();
  timer_.cancel();
  if (connection_ != nullptr) {
    boost::system::error_code ignored;
    connection_->socket.close(ignored);
  }
}

void ObjectApiHttp::ConnectionPool::Submit(
    http::request<http::string_body> request,
    Duration wait,
    bool is_watch,
    std::function<std::function<void()>(HttpReply)> convert) {
  request.set(http::field::host, options_.address);
  request.keep_alive(true);
  request.prepare_payload();
  auto done = [self = shared_from_this(),
               convert = std::move(convert)](HttpReply reply) {
    asio::post(self->control_, [self, callback = convert(std::move(reply))] {
      if (!self->closed_) {
        callback();
      }
    });
  };
  auto call = std::make_shared<PendingCall>(strand_, std::move(request),
                                            is_watch, std::move(done));
  asio::post(strand_, [self = shared_from_this(), call, wait] {
    if (!self->stopped_) {
      self->Enqueue(call, wait);
    }
  });
}

void ObjectApiHttp::ConnectionPool::Close() {
  closed_ = true;
  asio::post(strand_, [self = shared_from_this()] { self->CancelAllCalls(); });
}

void ObjectApiHttp::ConnectionPool::Enqueue(
    const std::shared_ptr<PendingCall>& call,
    Duration wait) {
  call->StartTimer(shared_from_this(), options_.call_timeout + wait);
  pending_calls_.push_back(call);
  StartPendingCalls();
}

bool ObjectApiHttp::ConnectionPool::CanStart(const PendingCall& call) const {
  return !call.start_deadline_passed() &&
         (call.is_watch() || active_call_count_ < options_.connections);
}

// Starts calls in order of arrival, except that watches overtake calls that
// wait for a connection.
void ObjectApiHttp::ConnectionPool::StartPendingCalls() {
  if (!endpoint_) {
    return;
  }
  for (size_t i = 0; i < pending_calls_.size();) {
    const std::shared_ptr<PendingCall> call = pending_calls_[i];
    if (!CanStart(*call)) {
      ++i;
      continue;
    }
    pending_calls_.erase(pending_calls_.begin() +
                         static_cast<std::ptrdiff_t>(i));
    active_call_count_ += call->is_watch() ? 0 : 1;
    active_calls_.push_back(call);
    call->Start(TakeConnection(), *endpoint_);
  }
}

// Returns an idle connection or a new one. Idle connections that the server has
// closed are discarded, because a call on one would end with an unknown
// outcome.
std::unique_ptr<Connection> ObjectApiHttp::ConnectionPool::TakeConnection() {
  while (!idle_connections_.empty()) {
    std::unique_ptr<Connection> connection =
        std::move(idle_connections_.back());
    idle_connections_.pop_back();
    if (!IsStale(*connection)) {
      return connection;
    }
  }
  return std::make_unique<Connection>(strand_);
}

void ObjectApiHttp::ConnectionPool::OnCallEnded(
    const PendingCall* call,
    std::unique_ptr<Connection> connection) {
  std::erase_if(pending_calls_,
                [&](const auto& it) { return it.get() == call; });
  const size_t removed = std::erase_if(
      active_calls_, [&](const auto& it) { return it.get() == call; });
  if (removed > 0 && !call->is_watch()) {
    --active_call_count_;
  }
  if (connection != nullptr && !stopped_ &&
      idle_connections_.size() < kMaxIdleConnections) {
    idle_connections_.push_back(std::move(connection));
  }
  StartPendingCalls();
}

void ObjectApiHttp::ConnectionPool::CancelAllCalls() {
  stopped_ = true;
  for (const auto& it : pending_calls_) {
    it->Cancel();
  }
  for (const auto& it : active_calls_) {
    it->Cancel();
  }
  pending_calls_.clear();
  active_calls_.clear();
  idle_connections_.clear();
}

namespace {

http::request<http::string_body> MakeRequest(http::verb verb,
                                             const std::string& target) {
  return {verb, target, 11};
}

}  // namespace

ObjectApiHttp::ObjectApiHttp(asio::io_context& control,
                             asio::io_context& traffic,
                             ObjectApiHttpOptions options)
    : connection_pool_(std::make_shared<ConnectionPool>(control,
                                                        traffic,
                                                        std::move(options))) {}

ObjectApiHttp::~ObjectApiHttp() {
  connection_pool_->Close();
}

std::unique_ptr<ObjectApi> MakeHttpObjectApi(asio::io_context& control,
                                             asio::io_context& traffic,
                                             std::string address) {
  return std::make_unique<ObjectApiHttp>(
      control, traffic, ObjectApiHttpOptions{.address = std::move(address)});
}

namespace {

auto MakeObjectConverter(ObjectApi::ObjectCallback done) {
  return [done = std::move(done)](HttpReply reply) -> std::function<void()> {
    return [done, result = ToObjectReply(std::move(reply))] { done(result); };
  };
}

}  // namespace

void ObjectApiHttp::Read(const ObjectName& name, ObjectCallback done) {
  connection_pool_->Submit(
      MakeRequest(http::verb::get, ObjectPath("objects", name)), Duration(0),
      false, MakeObjectConverter(std::move(done)));
}

void ObjectApiHttp::Update(const ObjectName& name,
                           ObjectVersion expected,
                           std::string value,
                           ObjectCallback done) {
  auto request = MakeRequest(http::verb::put, ObjectPath("objects", name));
  if (expected.value() == 0) {
    request.set(http::field::if_none_match, "*");
  } else {
    request.set(http::field::if_match, FormatEtag(expected));
  }
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(value);
  connection_pool_->Submit(std::move(request), Duration(0), false,
                           MakeObjectConverter(std::move(done)));
}

void ObjectApiHttp::Watch(const ObjectName& name,
                          ObjectVersion after,
                          Duration wait,
                          ObjectCallback done) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  const std::string target =
      fmt::format("{}?after={}&wait_ms={}", ObjectPath("watch", name),
                  after.value(), wait_ms);
  connection_pool_->Submit(MakeRequest(http::verb::get, target), wait, true,
                           MakeObjectConverter(std::move(done)));
}

void ObjectApiHttp::ListInstances(ObjectVersion known_version,
                                  InstanceCallback done) {
  auto request = MakeRequest(http::verb::get, "/instances");
  if (known_version.value() != 0) {
    request.set(http::field::if_none_match, FormatEtag(known_version));
  }
  connection_pool_->Submit(
      std::move(request), Duration(0), false,
      [done =
           std::move(done)](const HttpReply& reply) -> std::function<void()> {
        return [done, result = ToInstanceListReply(reply)] { done(result); };
      });
}

std::optional<InstanceListReply> ParseInstanceList(std::string_view body) {
  const std::optional<LenientJson> document = ParseLenientJson(body);
  if (!document) {
    return std::nullopt;
  }
  Findings findings;
  ObjectReader reader(document->value, "", &findings);
  reader.Require({"version", "instances"});
  int64_t version = 0;
  reader.ReadInteger("version", {0, INT64_MAX}, &version);
  const boost::json::value* list = reader.Find("instances");
  if (!findings.empty() || !list->is_array()) {
    return std::nullopt;
  }
  InstanceListReply reply;
  reply.status = ObjectStatus::kOk;
  reply.version = ObjectVersion(static_cast<uint64_t>(version));
  const boost::json::array& instances = list->get_array();
  for (size_t i = 0; i < instances.size(); ++i) {
    const bool is_odd =
        document->unreadable_parts > 0 && HasUnreadablePart(instances[i]);
    auto info = is_odd ? std::nullopt : ParseInstance(instances[i]);
    if (info) {
      reply.instances.push_back(std::move(*info));
    } else if (reply.skipped++ == 0) {
      reply.first_skipped = DescribeEntry(instances[i], i);
    }
  }
  return reply;
}

std::optional<ObjectVersion> ParseEtag(std::string_view etag) {
  if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"') {
    return std::nullopt;
  }
  const char* last = etag.data() + etag.size() - 1;
  uint64_t number = 0;
  const auto [rest, error] = std::from_chars(etag.data() + 1, last, number);
  if (error != std::errc() || rest != last || number == 0) {
    return std::nullopt;
  }
  return ObjectVersion(number);
}

std::string ObjectPath(std::string_view prefix, const ObjectName& name) {
  std::string path = fmt::format("/{}/", prefix);
  for (const char it : name.kind + "/" + name.name) {
    if (IsPathCharacter(it)) {
      path += it;
    } else {
      path += fmt::format("%{:02X}", static_cast<unsigned char>(it));
    }
  }
  return path;
}

}  // namespace burdockhatch
