#include "src/bus.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <condition_variable>
#include <mutex>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "tests/socket_faults.h"

namespace burdockhatch {
namespace {

std::string UnusedAddress() {
  namespace asio = boost::asio;
  asio::io_context io;
  asio::ip::tcp::acceptor acceptor(
      io, {asio::ip::address_v4::loopback(), uint16_t{0}});
  return fmt::format("127.0.0.1:{}", acceptor.local_endpoint().port());
}

// A process on the bus that records the messages it receives.
class BusPeer {
 public:
  BusPeer(const std::string& instance,
          uint64_t incarnation,
          std::string address,
          BusOptions options = {})
      : address_(std::move(address)) {
    options.self = {InstanceId(instance), Incarnation(incarnation)};
    options.bind_address = address_;
    Bus::Handlers handlers;
    handlers.on_message = [this](Message message) { Add(std::move(message)); };
    auto bus = StartBus(options, handlers);
    if (bus) {
      bus_ = std::move(*bus);
    }
    self_ = options.self;
  }

  Bus& bus() { return *bus_; }
  bool started() const { return bus_ != nullptr; }
  const PeerId& self() const { return self_; }
  const std::string& address() const { return address_; }

  size_t count() {
    const std::lock_guard lock(mutex_);
    return messages_.size();
  }

  // Until Release(), the bus thread waits at the next message that it receives.
  void Hold() {
    const std::lock_guard lock(mutex_);
    held_ = true;
  }
  void Release() {
    const std::lock_guard lock(mutex_);
    held_ = false;
    changed_.notify_all();
  }

  // Waits for `count` messages and returns all received. The timeout expires
  // only in a failing test.
  std::vector<Message> WaitFor(size_t count) {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::seconds(20),
                      [&] { return messages_.size() >= count; });
    return messages_;
  }

 private:
  void Add(Message message) {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return !held_; });
    messages_.push_back(std::move(message));
    changed_.notify_all();
  }

  std::string address_;
  PeerId self_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool held_ = false;
  std::vector<Message> messages_;
  std::unique_ptr<Bus> bus_;
};

// Sends `body` until one message is written, because establishing a connection
// takes time. Returns the number of messages that were not written before it,
// or -1 if none was written.
int SendUntilWritten(BusPeer& from, const PeerId& to, const MessageBody& body) {
  for (int i = 0; i < 2'000; ++i) {
    const uint64_t before = from.bus().Stats().sent;
    from.bus().Send(to, body);
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
    if (from.bus().Stats().sent > before) {
      return i;
    }
  }
  return -1;
}

TEST(BusTest, RepliesUseTheConnectionOfTheRequest) {
  BusPeer entry("entry", 10, UnusedAddress());
  BusPeer agent("agent", 20, UnusedAddress());
  ASSERT_TRUE(entry.started() && agent.started());
  entry.bus().SetConfigVersion(ConfigVersion(7));
  entry.bus().Connect(agent.self().instance, agent.address());
  ASSERT_GE(SendUntilWritten(entry, agent.self(), Subscribe{Duration(5)}), 0);

  const std::vector<Message> at_agent = agent.WaitFor(1);
  ASSERT_EQ(at_agent.size(), 1u);
  EXPECT_EQ(at_agent[0].sender, entry.self());
  EXPECT_EQ(at_agent[0].config_version, ConfigVersion(7));

  agent.bus().Send(at_agent[0].sender, Goodbye{});
  const std::vector<Message> at_entry = entry.WaitFor(1);
  ASSERT_EQ(at_entry.size(), 1u);
  EXPECT_EQ(at_entry[0].sender, agent.self());
}

// Guards against a bus that ends, or serves no other peer, after it was given
// an address that is none.
TEST(BusTest, InvalidAddressesAffectNoOtherPeer) {
  BusPeer entry("entry", 10, UnusedAddress());
  BusPeer agent("agent", 20, UnusedAddress());
  ASSERT_TRUE(entry.started() && agent.started());
  testing::internal::CaptureStdout();
  for (const std::string& address :
       {std::string("10.0.0.1:0"), std::string("10.0.0.1:65536"),
        std::string("10.0.0.1:99999999999"), std::string("host:1"),
        std::string("10.0.0.1\0x:1", 12), std::string(), std::string("::1:80"),
        std::string(100'000, '9')}) {
    entry.bus().Connect(InstanceId("odd"), address);
  }
  entry.bus().Connect(agent.self().instance, agent.address());
  EXPECT_GE(SendUntilWritten(entry, agent.self(), Subscribe{Duration(5)}), 0);
  EXPECT_EQ(agent.WaitFor(1).size(), 1u);
  EXPECT_NE(testing::internal::GetCapturedStdout().find("bus_not_connected"),
            std::string::npos);
}

// Guards against a wrong outcome "not run": a message reported as not sent must
// never arrive, not even after the peer has started.
TEST(BusTest, MessageReportedAsNotSentNeverArrives) {
  BusPeer entry("entry", 10, UnusedAddress());
  const std::string address = UnusedAddress();
  entry.bus().Connect(InstanceId("agent"), address);
  const PeerId to{InstanceId("agent"), Incarnation()};
  std::atomic<int> not_sent = 0;
  for (int i = 0; i < 50; ++i) {
    entry.bus().Send(to, Cancel{{{1, 1}, AttemptNumber(1)}},
                     [&] { ++not_sent; });
  }
  for (int i = 0; i < 4'000 && not_sent < 50; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(not_sent, 50);

  BusPeer agent("agent", 20, address);
  ASSERT_GE(SendUntilWritten(entry, to, Goodbye{}), 0);
  const std::vector<Message> received = agent.WaitFor(1);
  ASSERT_EQ(received.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Goodbye>(received[0].body));
}

// Guards against a reply to one incarnation of an entry that reaches the next
// incarnation.
TEST(BusTest, RepliesToAnEarlierIncarnationAreNotSent) {
  BusPeer agent("agent", 20, UnusedAddress());
  const std::string address = UnusedAddress();
  PeerId first_incarnation;
  {
    BusPeer first("entry", 10, address);
    first.bus().Connect(agent.self().instance, agent.address());
    ASSERT_GE(SendUntilWritten(first, agent.self(), Goodbye{}), 0);
    agent.WaitFor(1);
    first_incarnation = first.self();
  }
  BusPeer second("entry", 11, address);
  second.bus().Connect(agent.self().instance, agent.address());
  ASSERT_GE(SendUntilWritten(second, agent.self(), Goodbye{}), 0);
  agent.WaitFor(2);

  std::atomic<int> not_sent = 0;
  agent.bus().Send(first_incarnation, Goodbye{}, [&] { ++not_sent; });
  agent.bus().Send(second.self(), Subscribe{Duration(1)});
  const std::vector<Message> received = second.WaitFor(1);
  ASSERT_EQ(received.size(), 1u);
  EXPECT_TRUE(std::holds_alternative<Subscribe>(received[0].body));
  EXPECT_EQ(not_sent, 1);
}

// Guards against messages lost by a Disconnect: an entry that applies a
// withdrawal notifies the withdrawn agents, which pull the change, and
// disconnects from them at the same time because they leave its subset.
TEST(BusTest, ExchangeStartedBeforeADisconnectCompletes) {
  BusPeer entry("entry", 10, UnusedAddress());
  BusPeer agent("agent", 20, UnusedAddress());
  for (size_t round = 1; round <= 2; ++round) {
    entry.bus().Connect(agent.self().instance, agent.address());
    ASSERT_GE(SendUntilWritten(entry, agent.self(), Goodbye{}), 0);
    entry.bus().Send(agent.self(), Subscribe{Duration(1)});
    entry.bus().Disconnect(agent.self().instance);
    EXPECT_EQ(agent.WaitFor(3 * round - 1).size(), 3 * round - 1);
    agent.bus().Send(entry.self(), ConfigPull{ConfigVersion(1)});
    EXPECT_EQ(entry.WaitFor(round).size(), round);
    entry.bus().Send(agent.self(), ConfigPush{{}, ConfigVersion(1), "{}"});
    EXPECT_EQ(agent.WaitFor(3 * round).size(), 3 * round);
  }
}

// Guards against a connection that is not re-established after its peer has
// restarted.
TEST(BusTest, ReconnectsToARestartedPeer) {
  BusPeer entry("entry", 10, UnusedAddress());
  const std::string address = UnusedAddress();
  for (uint64_t run = 1; run <= 3; ++run) {
    BusPeer agent("agent", run, address);
    ASSERT_TRUE(agent.started());
    entry.bus().Connect(agent.self().instance, address);
    size_t count = 0;
    for (int i = 0; i < 2'000 && count == 0; ++i) {
      entry.bus().Send(agent.self(), Goodbye{});
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
      count = agent.count();
    }
    EXPECT_GT(count, 0u) << "run " << run;
  }
}

// Guards against a message for one instance that is delivered to another
// instance at the same address.
TEST(BusTest, AnotherInstanceAtTheSameAddressReceivesNothing) {
  BusPeer entry("entry", 10, UnusedAddress());
  BusPeer other("other", 20, UnusedAddress());
  entry.bus().Connect(InstanceId("agent"), other.address());
  std::atomic<int> not_sent = 0;
  for (int i = 0; i < 40; ++i) {
    entry.bus().Send({InstanceId("agent"), Incarnation()}, Goodbye{},
                     [&] { ++not_sent; });
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(not_sent, 40);
  EXPECT_EQ(other.count(), 0u);
}

TEST(BusTest, DropsMessagesForAnEarlierIncarnation) {
  Message message;
  message.receiver = Incarnation(4);
  message.body = Cancel{{{1, 1}, AttemptNumber(1)}};
  EXPECT_FALSE(IsHandledByIncarnation(message, Incarnation(5)));
  EXPECT_TRUE(IsHandledByIncarnation(message, Incarnation(4)));
  message.body = Offer{};
  EXPECT_FALSE(IsHandledByIncarnation(message, Incarnation(5)));
  for (const MessageBody& it : std::vector<MessageBody>{
           Resume{}, Subscribe{}, Heartbeat{}, ConfigPull{}, ConfigPush{}}) {
    message.body = it;
    EXPECT_TRUE(IsHandledByIncarnation(message, Incarnation(5))) << it.index();
  }
  message.body = Offer{};
  message.receiver = Incarnation();
  EXPECT_TRUE(IsHandledByIncarnation(message, Incarnation(5)));
}

uint16_t PortOf(const std::string& address) {
  return static_cast<uint16_t>(
      std::stoi(address.substr(address.rfind(':') + 1)));
}

uint16_t PortOf(int fd, decltype(getsockname)* get_name) {
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  const bool found =
      get_name(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0 &&
      address.sin_family == AF_INET;
  return found ? ntohs(address.sin_port) : 0;
}

// Returns the descriptors of the connections in this process to the socket that
// listens on `address`: the accepted ends, or the connecting ones.
std::vector<int> ConnectionsTo(const std::string& address, bool accepted) {
  constexpr int kMaxDescriptor = 1024;
  std::vector<int> found;
  for (int fd = 0; fd < kMaxDescriptor; ++fd) {
    const uint16_t own = PortOf(fd, getsockname);
    const uint16_t peer = PortOf(fd, getpeername);
    if (peer != 0 && (accepted ? own : peer) == PortOf(address)) {
      found.push_back(fd);
    }
  }
  return found;
}

// Interval of the heartbeats that ended the process, plus a margin.
constexpr std::chrono::milliseconds kPastHeartbeatInterval{5'500};

// Guards against an abort of libzmq, on a timer, after a connection has failed
// whose received messages could not be queued: because a later connection with
// the same routing id has replaced it, or because the queue was full.
TEST(BusTest, FailedConnectionsWithUnqueuedMessagesEndNothing) {
  BusOptions small_queue;
  small_queue.high_water_mark = 4;
  BusPeer agent("agent", 20, UnusedAddress());
  BusPeer slow_agent("slow", 30, UnusedAddress(), small_queue);
  BusPeer current("entry", 10, UnusedAddress());
  {
    BusPeer replaced("entry", 10, UnusedAddress());
    replaced.bus().Connect(agent.self().instance, agent.address());
    ASSERT_GE(SendUntilWritten(replaced, agent.self(), Goodbye{}), 0);
    agent.WaitFor(1);
    for (const int fd : ConnectionsTo(agent.address(), false)) {
      ASSERT_TRUE(ResetOnClose(fd));
    }
    current.bus().Connect(agent.self().instance, agent.address());
    ASSERT_GE(SendUntilWritten(current, agent.self(), Goodbye{}), 0);
    agent.WaitFor(2);
    replaced.bus().Send(agent.self(), Goodbye{});

    BusPeer flood("flood", 40, UnusedAddress());
    flood.bus().Connect(slow_agent.self().instance, slow_agent.address());
    slow_agent.Hold();
    ASSERT_GE(SendUntilWritten(flood, slow_agent.self(), Goodbye{}), 0);
    for (const int fd : ConnectionsTo(slow_agent.address(), false)) {
      ASSERT_TRUE(ResetOnClose(fd));
    }
    for (int i = 0; i < 2'000; ++i) {
      flood.bus().Send(slow_agent.self(), Goodbye{});
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::this_thread::sleep_for(kPastHeartbeatInterval);
  slow_agent.Release();
  current.bus().Send(agent.self(), Subscribe{Duration(5)});
  EXPECT_EQ(agent.WaitFor(3).size(), 3u);
  current.bus().Connect(slow_agent.self().instance, slow_agent.address());
  EXPECT_GE(SendUntilWritten(current, slow_agent.self(), Goodbye{}), 0);
}

// Guards against a connection that is kept for ever although its network path
// is gone: the sender must connect again, and neither side keep the old one.
TEST(BusTest, HalfOpenConnectionsAreReplacedAndClosed) {
  BusOptions options;
  options.connection_timeout = std::chrono::seconds(2);
  BusPeer entry("entry", 10, UnusedAddress(), options);
  BusPeer agent("agent", 20, UnusedAddress(), options);
  const std::string& address = agent.address();
  entry.bus().Connect(agent.self().instance, address);
  ASSERT_GE(SendUntilWritten(entry, agent.self(), Goodbye{}), 0);
  ASSERT_EQ(agent.WaitFor(1).size(), 1u);
  const std::vector<int> before = ConnectionsTo(address, true);
  ASSERT_EQ(before.size(), 1u);
  ASSERT_TRUE(DropIncoming(before[0]));

  for (int i = 0; i < 1'000 && agent.count() < 2; ++i) {
    entry.bus().Send(agent.self(), Goodbye{});
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_GE(agent.count(), 2u);
  for (int i = 0; i < 1'000 && ConnectionsTo(address, true).size() != 1; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(ConnectionsTo(address, true).size(), 1u);
}

TEST(BusTest, AcceptsOnlyIpAddressesWithPort) {
  EXPECT_TRUE(IsIpv4AddressWithPort("127.0.0.1:4000"));
  for (const char* it : {"localhost:4000", "127.0.0.1", "127.0.0.1:0",
                         "127.0.0.1:70000", ":1", "127.0.0.1:1x", ""}) {
    EXPECT_FALSE(IsIpv4AddressWithPort(it)) << it;
  }
  EXPECT_FALSE(IsIpv4AddressWithPort(std::string("127.0.0.1\0x:1", 13)));
}

TEST(BusTest, FailsToStartOnAnAddressInUse) {
  BusPeer first("a", 1, UnusedAddress());
  BusPeer second("b", 2, first.address());
  EXPECT_FALSE(second.started());
}

}  // namespace
}  // namespace burdockhatch
