#include "src/bus.h"

#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <zmq.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <chrono>
#include <cstring>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include <fmt/format.h>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "src/exception_guard.h"
#include "src/log.h"
#include "src/wire.h"

namespace burdockhatch {

namespace {

namespace leaf = boost::leaf;

constexpr int64_t kMaxMessageBytes = 80 * 1024 * 1024;
constexpr int kReconnectIntervalMs = 50;
constexpr int kMaxReconnectIntervalMs = 1'000;
// Probes of an idle connection that stay unanswered until it counts as lost.
constexpr int kKeepAliveProbeCount = 3;
// Time to transmit messages written just before a planned stop, e.g. a Goodbye.
constexpr int kStopLingerMs = 300;
constexpr int kPollTimeoutMs = 1'000;
// Closing a connection drops the messages still queued in it. The delay lets
// messages sent just before a Disconnect, e.g. the configuration that withdraws
// a target, be transmitted.
constexpr std::chrono::milliseconds kDisconnectDelay(1'000);
// Limits the receives per poll, so that one socket does not starve the other.
constexpr int kMaxReceivesPerPoll = 256;

struct OutgoingMessage {
  PeerId to;
  std::string bytes;
  std::function<void()> on_not_sent;
};

struct ConnectCommand {
  InstanceId peer;
  std::string address;
};

struct DisconnectCommand {
  InstanceId peer;
};

using Command =
    std::variant<OutgoingMessage, ConnectCommand, DisconnectCommand>;

// Returns the routing id that the connecting socket of one incarnation of a
// peer announces, so that a reply never reaches a later incarnation.
std::string IncarnationRoutingId(const PeerId& peer) {
  return fmt::format("{}#{}", peer.instance.value(), peer.incarnation.value());
}

size_t MessageBytesOf(const Command& command) {
  const auto* message = std::get_if<OutgoingMessage>(&command);
  return message != nullptr ? message->bytes.size() : 0;
}

class ZmqBus : public Bus {
 public:
  ZmqBus(BusOptions options, Handlers handlers)
      : options_(std::move(options)), handlers_(std::move(handlers)) {}

  ~ZmqBus() override { Stop(); }

  // Returns an error message, or an empty string on success.
  std::string Start() {
    if (!IsIpv4AddressWithPort(options_.bind_address)) {
      return fmt::format("bus address '{}' is not <IPv4 address>:<port>",
                         options_.bind_address);
    }
    context_ = zmq_ctx_new();
    bound_socket_ = NewSocket(options_.self.instance.value());
    connecting_socket_ = NewSocket(IncarnationRoutingId(options_.self));
    wake_fd_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    const std::string endpoint = "tcp://" + options_.bind_address;
    if (zmq_bind(bound_socket_, endpoint.c_str()) != 0) {
      const std::string error = fmt::format("bus cannot bind {}: {}", endpoint,
                                            zmq_strerror(zmq_errno()));
      CloseSockets();
      return error;
    }
    thread_ = std::thread([this] { Run(); });
    return "";
  }

  void Send(const PeerId& to,
            MessageBody body,
            std::function<void()> on_not_sent) override {
    Message message;
    message.sender = options_.self;
    message.receiver = to.incarnation;
    message.config_version = ConfigVersion(config_version_.load());
    message.body = std::move(body);
    OutgoingMessage outgoing{to, Encode(message), std::move(on_not_sent)};
    // Enqueue destroys a command that it rejects, including the callback in it.
    std::function<void()> callback = outgoing.on_not_sent;
    if (!Enqueue(std::move(outgoing))) {
      ++not_sent_;
      if (callback) {
        callback();
      }
    }
  }

  void Connect(const InstanceId& peer, const std::string& address) override {
    Enqueue(ConnectCommand{peer, address});
  }

  void Disconnect(const InstanceId& peer) override {
    Enqueue(DisconnectCommand{peer});
  }

  void SetConfigVersion(ConfigVersion version) override {
    config_version_ = version.value();
  }

  BusStats Stats() const override {
    BusStats stats;
    stats.sent = sent_;
    stats.sent_bytes = sent_bytes_;
    stats.received = received_;
    stats.received_bytes = received_bytes_;
    stats.not_sent = not_sent_;
    stats.rejected = rejected_;
    stats.other_incarnation = other_incarnation_;
    stats.connections = connections_;
    const std::lock_guard lock(mutex_);
    stats.queued = queue_.size();
    return stats;
  }

  void Stop() override {
    if (!thread_.joinable()) {
      return;
    }
    {
      const std::lock_guard lock(mutex_);
      stopping_ = true;
    }
    WakeBusThread();
    thread_.join();
    close(wake_fd_);
  }

 private:
  // ZMQ_CONNECT_ROUTING_ID has no effect with ZMQ_IMMEDIATE, because the
  // connection exists only once it is established. A peer is therefore
  // addressed by the routing id that its own socket announces, which for a
  // bound socket is the instance. This also prevents delivery to another
  // instance that has taken over the address.
  void* NewSocket(const std::string& routing_id) {
    void* socket = zmq_socket(context_, ZMQ_ROUTER);
    zmq_setsockopt(socket, ZMQ_ROUTING_ID, routing_id.data(),
                   routing_id.size());
    SetOption(socket, ZMQ_ROUTER_MANDATORY, 1);
    // A reconnecting peer replaces its previous connection, which may be
    // half-open.
    SetOption(socket, ZMQ_ROUTER_HANDOVER, 1);
    SetOption(socket, ZMQ_IMMEDIATE, 1);
    SetOption(socket, ZMQ_LINGER, 0);
    SetOption(socket, ZMQ_SNDHWM, options_.high_water_mark);
    SetOption(socket, ZMQ_RCVHWM, options_.high_water_mark);
    SetOption(socket, ZMQ_RECONNECT_IVL, kReconnectIntervalMs);
    SetOption(socket, ZMQ_RECONNECT_IVL_MAX, kMaxReconnectIntervalMs);
    SetConnectionTimeout(socket);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &kMaxMessageBytes,
                   sizeof(kMaxMessageBytes));
    return socket;
  }

  // The kernel detects half-open connections. ZMQ_HEARTBEAT_IVL is not used:
  // its timer aborts the process when it expires on a connection that has
  // failed while a received message could not be queued (libzmq 4.3.4).
  void SetConnectionTimeout(void* socket) {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    const Duration timeout = options_.connection_timeout;
    const Duration interval = timeout / (kKeepAliveProbeCount + 1);
    const auto interval_s =
        static_cast<int>(std::chrono::duration_cast<seconds>(interval).count());
    SetOption(socket, ZMQ_TCP_KEEPALIVE, 1);
    SetOption(socket, ZMQ_TCP_KEEPALIVE_IDLE, std::max(interval_s, 1));
    SetOption(socket, ZMQ_TCP_KEEPALIVE_INTVL, std::max(interval_s, 1));
    SetOption(socket, ZMQ_TCP_KEEPALIVE_CNT, kKeepAliveProbeCount);
    SetOption(socket, ZMQ_TCP_MAXRT,
              static_cast<int>(
                  std::chrono::duration_cast<milliseconds>(timeout).count()));
  }

  static void SetOption(void* socket, int option, int value) {
    zmq_setsockopt(socket, option, &value, sizeof(value));
  }

  bool Enqueue(Command command) {
    {
      const std::lock_guard lock(mutex_);
      const bool droppable = std::holds_alternative<OutgoingMessage>(command);
      const bool full = queue_.size() >= options_.max_queued_messages ||
                        queued_bytes_ >= options_.max_queued_bytes;
      if (stopping_ || (droppable && full)) {
        return false;
      }
      queued_bytes_ += MessageBytesOf(command);
      queue_.push_back(std::move(command));
    }
    WakeBusThread();
    return true;
  }

  void WakeBusThread() {
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(wake_fd_, &one, sizeof(one));
  }

  void ClearWakeEvent() {
    uint64_t count = 0;
    [[maybe_unused]] const ssize_t n = read(wake_fd_, &count, sizeof(count));
  }

  void Run() {
    bool busy = false;
    while (true) {
      zmq_pollitem_t items[] = {{bound_socket_, 0, ZMQ_POLLIN, 0},
                                {connecting_socket_, 0, ZMQ_POLLIN, 0},
                                {nullptr, wake_fd_, ZMQ_POLLIN, 0}};
      zmq_poll(items, 3, busy ? 0 : kPollTimeoutMs);
      ClearWakeEvent();
      const bool stop = SendQueued();
      CloseExpiredConnections();
      const bool more_bound = Receive(bound_socket_);
      const bool more_connecting = Receive(connecting_socket_);
      busy = more_bound || more_connecting;
      if (stop) {
        break;
      }
    }
    SetOption(bound_socket_, ZMQ_LINGER, kStopLingerMs);
    SetOption(connecting_socket_, ZMQ_LINGER, kStopLingerMs);
    CloseSockets();
  }

  void CloseSockets() {
    zmq_close(bound_socket_);
    zmq_close(connecting_socket_);
    zmq_ctx_term(context_);
  }

  // Executes all queued commands. Returns whether Stop was called, after which
  // no more commands are queued.
  bool SendQueued() {
    std::deque<Command> commands;
    bool stop = false;
    {
      const std::lock_guard lock(mutex_);
      commands.swap(queue_);
      queued_bytes_ = 0;
      stop = stopping_;
    }
    for (Command& it : commands) {
      RunGuarded("bus_command", [&] {
        std::visit([this](auto& command) { Execute(command); }, it);
      });
    }
    return stop;
  }

  void Execute(OutgoingMessage& message) {
    const bool connected = connected_addresses_.contains(message.to.instance);
    void* socket = connected ? connecting_socket_ : bound_socket_;
    const std::string routing_id = connected ? message.to.instance.value()
                                             : IncarnationRoutingId(message.to);
    if (SendFrames(socket, routing_id, message.bytes)) {
      ++sent_;
      sent_bytes_ += message.bytes.size();
      return;
    }
    ++not_sent_;
    if (message.on_not_sent) {
      message.on_not_sent();
    }
    if (handlers_.on_unreachable) {
      handlers_.on_unreachable(message.to.instance);
    }
  }

  // Returns false only if nothing was written: the first frame selects the
  // connection and fails with EHOSTUNREACH when there is none, or with EAGAIN
  // when its queue is full.
  static bool SendFrames(void* socket,
                         const std::string& routing_id,
                         const std::string& bytes) {
    if (zmq_send(socket, routing_id.data(), routing_id.size(),
                 ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0) {
      return false;
    }
    zmq_send(socket, bytes.data(), bytes.size(), ZMQ_DONTWAIT);
    return true;
  }

  void Execute(const ConnectCommand& command) {
    disconnect_times_.erase(command.peer);
    const auto known = connected_addresses_.find(command.peer);
    if (known != connected_addresses_.end()) {
      if (known->second == command.address) {
        return;
      }
      CloseConnection(command.peer);
    }
    if (!IsIpv4AddressWithPort(command.address)) {
      LogNotConnected(command, "address");
      return;
    }
    const std::string endpoint = "tcp://" + command.address;
    if (zmq_connect(connecting_socket_, endpoint.c_str()) != 0) {
      LogNotConnected(command, zmq_strerror(zmq_errno()));
      return;
    }
    connected_addresses_[command.peer] = command.address;
    connections_ = connected_addresses_.size();
  }

  static void LogNotConnected(const ConnectCommand& command,
                              const char* reason) {
    Log(LogLevel::kWarning, "bus_not_connected",
        {{"peer", command.peer.value()},
         {"address", command.address},
         {"reason", reason}});
  }

  void Execute(const DisconnectCommand& command) {
    if (connected_addresses_.contains(command.peer)) {
      disconnect_times_[command.peer] =
          std::chrono::steady_clock::now() + kDisconnectDelay;
    }
  }

  void CloseExpiredConnections() {
    const auto now = std::chrono::steady_clock::now();
    for (auto it = disconnect_times_.begin(); it != disconnect_times_.end();) {
      if (it->second > now) {
        ++it;
        continue;
      }
      CloseConnection(it->first);
      it = disconnect_times_.erase(it);
    }
  }

  void CloseConnection(const InstanceId& peer) {
    const std::string endpoint = "tcp://" + connected_addresses_[peer];
    zmq_disconnect(connecting_socket_, endpoint.c_str());
    connected_addresses_.erase(peer);
    connections_ = connected_addresses_.size();
  }

  // Returns whether more messages may be waiting.
  bool Receive(void* socket) {
    for (int i = 0; i < kMaxReceivesPerPoll; ++i) {
      zmq_msg_t frame;
      zmq_msg_init(&frame);
      if (zmq_msg_recv(&frame, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&frame);
        return false;
      }
      // The first frame is the routing id, which is not needed: the envelope
      // contains the sender.
      if (zmq_msg_more(&frame) != 0) {
        ReceivePayload(socket, &frame);
      }
      zmq_msg_close(&frame);
    }
    return true;
  }

  void ReceivePayload(void* socket, zmq_msg_t* frame) {
    if (zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) < 0) {
      return;
    }
    const bool single = zmq_msg_more(frame) == 0;
    const std::string_view bytes(static_cast<char*>(zmq_msg_data(frame)),
                                 zmq_msg_size(frame));
    if (single) {
      if (!RunGuarded("bus_receive", [&] { Deliver(bytes); })) {
        ++rejected_;
      }
    } else {
      ++rejected_;
      SkipFrames(socket, frame);
    }
  }

  static void SkipFrames(void* socket, zmq_msg_t* frame) {
    while (zmq_msg_more(frame) != 0) {
      if (zmq_msg_recv(frame, socket, ZMQ_DONTWAIT) < 0) {
        return;
      }
    }
  }

  void Deliver(std::string_view bytes) {
    leaf::result<Message> message = Decode(bytes);
    if (!message) {
      ++rejected_;
      return;
    }
    ++received_;
    received_bytes_ += bytes.size();
    if (!IsHandledByIncarnation(*message, options_.self.incarnation)) {
      ++other_incarnation_;
      return;
    }
    handlers_.on_message(std::move(*message));
  }

  const BusOptions options_;
  const Handlers handlers_;
  void* context_ = nullptr;
  void* bound_socket_ = nullptr;
  void* connecting_socket_ = nullptr;
  int wake_fd_ = -1;
  std::thread thread_;
  // Used on the bus thread only: the address of each connected peer, and the
  // time at which a connection that Disconnect was called for is closed.
  std::map<InstanceId, std::string> connected_addresses_;
  std::map<InstanceId, std::chrono::steady_clock::time_point> disconnect_times_;

  mutable std::mutex mutex_;  // Guards queue_, queued_bytes_ and stopping_.
  std::deque<Command> queue_;
  size_t queued_bytes_ = 0;
  bool stopping_ = false;

  std::atomic<uint64_t> config_version_ = 0;
  std::atomic<uint64_t> sent_ = 0;
  std::atomic<uint64_t> sent_bytes_ = 0;
  std::atomic<uint64_t> received_ = 0;
  std::atomic<uint64_t> received_bytes_ = 0;
  std::atomic<uint64_t> not_sent_ = 0;
  std::atomic<uint64_t> rejected_ = 0;
  std::atomic<uint64_t> other_incarnation_ = 0;
  std::atomic<uint64_t> connections_ = 0;
};

}  // namespace

leaf::result<std::unique_ptr<Bus>> StartBus(BusOptions options,
                                            Bus::Handlers handlers) {
  auto bus = std::make_unique<ZmqBus>(std::move(options), std::move(handlers));
  std::string error = bus->Start();
  if (!error.empty()) {
    return leaf::new_error(BusError{std::move(error)});
  }
  return std::unique_ptr<Bus>(std::move(bus));
}

bool IsHandledByIncarnation(const Message& message, Incarnation self) {
  if (message.receiver == Incarnation() || message.receiver == self) {
    return true;
  }
  const MessageBody& body = message.body;
  return std::holds_alternative<Resume>(body) ||
         std::holds_alternative<Subscribe>(body) ||
         std::holds_alternative<Heartbeat>(body) ||
         std::holds_alternative<ConfigPull>(body) ||
         std::holds_alternative<ConfigPush>(body);
}

bool IsIpv4AddressWithPort(std::string_view address) {
  const size_t colon = address.rfind(':');
  // make_address_v4() ignores what follows a null byte.
  if (colon == std::string_view::npos ||
      address.find('\0') != std::string_view::npos) {
    return false;
  }
  boost::system::error_code ec;
  boost::asio::ip::make_address_v4(address.substr(0, colon), ec);
  const std::string_view digits = address.substr(colon + 1);
  uint16_t port = 0;
  const char* end = digits.data() + digits.size();
  const auto [rest, error] = std::from_chars(digits.data(), end, port);
  return !ec && error == std::errc() && rest == end && port != 0;
}

}  // namespace burdockhatch
