// The callers' HTTP server during a planned stop and with a slow caller, over
// loopback.
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <new>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "src/caller_server.h"
#include "src/connection_ends.h"
#include "src/exception_guard.h"
#include "tests/allocation_counter.h"

namespace burdockhatch {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;

class CallerServerHttpTest : public testing::Test {
 protected:
  CallerServerHttpTest() {
    // An unused port.
    tcp::acceptor probe(io_,
                        tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    endpoint_ = probe.local_endpoint();
    probe.close();
    StartServer(CallerLimits());
  }

  void StartServer(const CallerLimits& limits) {
    server_.reset();
    memory_ = std::make_shared<RequestMemory>(Bytes(1'000'000));
    server_ = leaf::try_handle_all(
        [&]() -> leaf::result<std::unique_ptr<CallerServer>> {
          return StartCallerServer(
              io_, "127.0.0.1:" + std::to_string(endpoint_.port()), limits,
              kMaxConnections,
              [this](std::shared_ptr<CallerExchange> exchange,
                     const ReceivedRequest&) {
                exchange_ = std::move(exchange);
                if (throws_) {
                  throw std::bad_alloc();
                }
                if (answers_) {
                  exchange_->SendResponse(200, {}, "ok");
                }
              },
              memory_);
        },
        [] { return std::unique_ptr<CallerServer>(); });
  }

  void Run(Duration duration = milliseconds(50)) {
    io_.restart();
    while (!RunGuarded("event_loop", [&] { io_.run_for(duration); })) {
    }
  }

  // The client's socket blocks, and is used while the loop does not run.
  void Send(const std::string& text) {
    asio::write(client_, asio::buffer(text));
  }
  std::string Receive() {
    client_.non_blocking(true);
    std::string text(64 * 1024, ' ');
    error_code ec;
    const size_t n = client_.read_some(asio::buffer(text), ec);
    client_.non_blocking(false);
    return text.substr(0, n);
  }

  // Runs `step` in a turn of the loop in which all timers that expire within
  // `pause` are due, and their handlers have not run.
  void RunBeforeDueTimers(milliseconds pause,
                          const std::function<void()>& step) {
    asio::steady_timer timer(io_, milliseconds(1));
    timer.async_wait([&](error_code) {
      step();
      // Loopback delivers within the call, except on a busy machine.
      std::this_thread::sleep_for(milliseconds(5));
    });
    asio::post(io_, [pause] { std::this_thread::sleep_for(pause); });
    Run(pause + milliseconds(30));
  }

  // Opens connections that send nothing.
  std::vector<tcp::socket> Connect(uint32_t count) {
    std::vector<tcp::socket> sockets;
    for (uint32_t i = 0; i < count; ++i) {
      sockets.emplace_back(client_io_).connect(endpoint_);
    }
    return sockets;
  }

  static constexpr uint32_t kMaxConnections = 10;
  asio::io_context io_;
  asio::io_context client_io_;
  tcp::socket client_{client_io_};
  tcp::endpoint endpoint_;
  std::shared_ptr<RequestMemory> memory_;
  std::unique_ptr<CallerServer> server_;
  std::shared_ptr<CallerExchange> exchange_;
  bool answers_ = true;
  bool throws_ = false;
};

constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

// Guards against connections that end silently with a request that was read.
TEST_F(CallerServerHttpTest, UnansweredRequestsAreCounted) {
  answers_ = false;
  const uint64_t gone =
      UnansweredCount(ConnectionEnd::kDisconnect, RequestProgress::kWhole);
  const uint64_t stopped =
      UnansweredCount(ConnectionEnd::kStop, RequestProgress::kPart);
  client_.connect(endpoint_);
  Send(kRequest);
  Run();
  client_.close();
  Run();
  client_ = tcp::socket(client_io_);
  client_.connect(endpoint_);
  Send("GET /x HTTP/1.1\r\nHos");
  Run();
  server_->CloseAll();
  EXPECT_EQ(
      UnansweredCount(ConnectionEnd::kDisconnect, RequestProgress::kWhole),
      gone + 1);
  EXPECT_EQ(UnansweredCount(ConnectionEnd::kStop, RequestProgress::kPart),
            stopped + 1);
  Metrics metrics;
  ExportConnectionEnds(&metrics);
  EXPECT_NE(metrics.ExpositionText().find(
                "burdockhatch_connections_unanswered_total{reason=\"stop\","
                "read=\"part\"}"),
            std::string::npos);
}

// Guards against a planned stop that resets a connection which waits to be
// accepted: its request has been sent already.
TEST_F(CallerServerHttpTest, QueuedConnectionIsAnsweredDuringTheStop) {
  ASSERT_NE(server_, nullptr);
  client_.connect(endpoint_);
  Send(kRequest);
  server_->BeginDrain();
  server_->Stop();
  Run();
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against a planned stop that drops a connection which has been accepted
// and whose handler is queued.
TEST_F(CallerServerHttpTest, AcceptedConnectionIsAnsweredDuringTheStop) {
  tcp::socket first(client_io_);
  first.connect(endpoint_);
  client_.connect(endpoint_);
  Send(kRequest);
  // Handles the first connection, and accepts the second at once.
  io_.restart();
  io_.run_one();
  server_->BeginDrain();
  server_->Stop();
  Run();
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
  EXPECT_EQ(server_->connections(), 1u);
}

// Guards against a planned stop that closes a connection whose request has
// arrived and has not been read.
TEST_F(CallerServerHttpTest, ArrivedRequestIsAnsweredDuringTheStop) {
  client_.connect(endpoint_);
  Run();
  Send(kRequest);
  EXPECT_TRUE(server_->HasPendingInput());
  server_->BeginDrain();
  server_->Stop();
  Run();
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against a process that ends between the two halves of a request.
TEST_F(CallerServerHttpTest, HalfReadRequestIsPending) {
  client_.connect(endpoint_);
  Run();
  Send("GET /x HTTP/1.1\r\nHos");
  Run();
  EXPECT_TRUE(server_->HasPendingInput());
  server_->Stop();
  Send("t: h\r\n\r\n");
  Run();
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
  EXPECT_FALSE(server_->HasPendingInput());
}

// Guards against idle connections that keep a stopping process alive.
TEST_F(CallerServerHttpTest, IdleConnectionIsClosedByTheStop) {
  client_.connect(endpoint_);
  Run();
  EXPECT_FALSE(server_->HasPendingInput());
  server_->Stop();
  Run();
  EXPECT_EQ(server_->connections(), 0u);
}

// Guards against output that is not reported as congested, and against a slow
// caller that does not get the whole answer.
TEST_F(CallerServerHttpTest, SlowCallerCongestsAndGetsAll) {
  answers_ = false;
  client_.open(tcp::v4());
  client_.set_option(asio::socket_base::receive_buffer_size(16 * 1024));
  client_.connect(endpoint_);
  Send(kRequest);
  Run();
  ASSERT_NE(exchange_, nullptr);
  int drained = 0;
  exchange_->SetDrainedHandler([&drained] { ++drained; });
  exchange_->StartStream(200, {});
  const std::string part(64 * 1024, 'x');
  int parts = 0;
  while (!exchange_->IsCongested() && parts < 1'000) {
    exchange_->Write(part);
    ++parts;
    Run(milliseconds(2));
  }
  EXPECT_TRUE(exchange_->IsCongested());
  EXPECT_EQ(drained, 0);
  exchange_->EndStream();
  size_t received = 0;
  std::string last;
  for (int i = 0; i < 100'000 && !last.ends_with("0\r\n\r\n"); ++i) {
    const std::string text = Receive();
    received += text.size();
    last = text.empty() ? last : text;
    Run(milliseconds(1));
  }
  EXPECT_EQ(drained, 1);
  EXPECT_GT(received, static_cast<size_t>(parts) * part.size());
}

// Guards against an entry that has no descriptor left and tries to accept the
// same connection without a pause, or never again.
TEST_F(CallerServerHttpTest, AcceptIsRetriedWhenDescriptorsAreFree) {
  client_.open(tcp::v4());
  std::vector<int> taken;
  for (int fd = dup(0); fd >= 0; fd = dup(0)) {
    taken.push_back(fd);
  }
  ASSERT_EQ(errno, EMFILE);
  client_.connect(endpoint_);
  // Not Send(): the sanitizers check the type of an object that they meet for
  // the first time by opening a pipe, for which there is no descriptor.
  asio::write(client_, asio::buffer(std::string_view(kRequest)));
  io_.restart();
  size_t handlers = 0;
  const auto end = std::chrono::steady_clock::now() + milliseconds(120);
  while (std::chrono::steady_clock::now() < end) {
    handlers += io_.run_for(milliseconds(5));
    io_.restart();
  }
  for (const int fd : taken) {
    close(fd);
  }
  // At most one attempt and one timer in 50 ms.
  EXPECT_LE(handlers, 10u);
  Run(milliseconds(100));
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

CallerLimits ShortLimits() {
  CallerLimits limits;
  limits.header_timeout = milliseconds(20);
  limits.idle_timeout = milliseconds(40);
  return limits;
}

// Guards against an idle timeout that closes a connection whose request has
// arrived while the process was busy.
TEST_F(CallerServerHttpTest, RequestThatArrivesBeforeTheIdleTimerIsAnswered) {
  StartServer(ShortLimits());
  client_.connect(endpoint_);
  Run(milliseconds(5));
  RunBeforeDueTimers(milliseconds(100), [this] { Send(kRequest); });
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against a timeout of a header whose rest has arrived while the process
// was busy.
TEST_F(CallerServerHttpTest, HeaderThatIsCompleteBeforeItsTimerIsAnswered) {
  StartServer(ShortLimits());
  client_.connect(endpoint_);
  Send("GET /x HTTP/1.1\r\nHos");
  Run(milliseconds(5));
  RunBeforeDueTimers(milliseconds(100), [this] { Send("t: h\r\n\r\n"); });
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against a request that ends without a refusal because its caller was
// too slow.
TEST_F(CallerServerHttpTest, PartialRequestIsRefusedAfterItsTimeout) {
  StartServer(ShortLimits());
  for (const char* part : {"GET /x HTTP/1.1\r\nHos",
                           "POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nb"}) {
    client_ = tcp::socket(client_io_);
    client_.connect(endpoint_);
    Send(part);
    Run(milliseconds(150));
    const std::string text = Receive();
    EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 408") << part;
    EXPECT_NE(text.find("Connection: close"), std::string::npos);
  }
}

// Guards against a request that ends without a refusal because its caller sends
// no more.
TEST_F(CallerServerHttpTest, RequestThatEndsEarlyIsRefused) {
  client_.connect(endpoint_);
  Send("POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nb");
  client_.shutdown(tcp::socket::shutdown_send);
  Run();
  EXPECT_EQ(Receive().substr(0, 12), "HTTP/1.1 400");
}

// Guards against a caller that is charged for a pause of the process.
TEST_F(CallerServerHttpTest, PauseOfTheProcessIsNotTheCallersTime) {
  StartServer(ShortLimits());
  client_.connect(endpoint_);
  Send("GET /x HTTP/1.1\r\nHos");
  Run(milliseconds(5));
  asio::post(io_, [] { std::this_thread::sleep_for(milliseconds(300)); });
  Run(milliseconds(320));
  Send("t: h\r\n\r\n");
  Run();
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against a connection that is closed although a newer configuration
// lets callers use it for longer.
TEST_F(CallerServerHttpTest, LongerIdleTimeoutExtendsTheWait) {
  StartServer(ShortLimits());
  client_.connect(endpoint_);
  Run(milliseconds(5));
  CallerLimits longer = ShortLimits();
  longer.idle_timeout = milliseconds(1'000);
  server_->SetLimits(longer);
  Run(milliseconds(150));
  Send(kRequest);
  Run();
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against a request that is refused by the size limits of the time at
// which its connection began to wait.
TEST_F(CallerServerHttpTest, LargerSizeLimitsApplyToAWaitingConnection) {
  CallerLimits small = ShortLimits();
  small.max_body = Bytes(4);
  StartServer(small);
  client_.connect(endpoint_);
  Run(milliseconds(5));
  CallerLimits large = ShortLimits();
  large.max_body = Bytes(100);
  server_->SetLimits(large);
  Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\n12345678");
  Run();
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
  server_->SetLimits(small);
  Run(milliseconds(5));
  Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n");
  Run();
  EXPECT_EQ(Receive().substr(0, 12), "HTTP/1.1 413");
}

// Guards against a connection that is closed while its caller has not heard of
// a shorter timeout.
TEST_F(CallerServerHttpTest, ShorterIdleTimeoutLeavesTheWait) {
  CallerLimits longer = ShortLimits();
  longer.idle_timeout = milliseconds(1'000);
  StartServer(longer);
  client_.connect(endpoint_);
  server_->SetLimits(ShortLimits());
  for (int i = 0; i < 2; ++i) {
    Run(milliseconds(120));
    Send(kRequest);
    Run();
    EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK") << i;
  }
}

// Guards against a handler whose exception leaves its request unanswered. What
// it has done is unknown, so the answer does not say that it has not run.
TEST_F(CallerServerHttpTest, ExceptionOfTheHandlerIsAnswered) {
  throws_ = true;
  client_.connect(endpoint_);
  Send(kRequest);
  Run();
  EXPECT_EQ(Receive().substr(0, 12), "HTTP/1.1 500");
  EXPECT_EQ(server_->open_exchanges(), 0u);
}

// Guards against a request that ends without a refusal because there is no
// memory for it, and against an announced length that takes memory by itself.
TEST_F(CallerServerHttpTest, RequestWithoutMemoryIsRefused) {
  constexpr size_t kBodyBytes = 1024 * 1024;
  client_.connect(endpoint_);
  Send("POST /x HTTP/1.1\r\nContent-Length: " + std::to_string(kBodyBytes) +
       "\r\n\r\nb");
  const std::string part(kBodyBytes / 5, 'b');
  {
    const ScopedAllocationLimit limit(kBodyBytes / 10);
    Run();
    EXPECT_EQ(Receive(), "");
    Send(part);
    Run();
  }
  const std::string text = Receive();
  EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(text.find("Retry-After: "), std::string::npos);
  EXPECT_EQ(exchange_, nullptr);
}

// Guards against a large body that is kept at the cost of a small request, and
// against a shed request that the caller does not learn of.
TEST_F(CallerServerHttpTest, LargestRequestIsShedForAnother) {
  CallerLimits limits;
  limits.max_body = Bytes(100'000);
  StartServer(limits);
  const std::string head = "POST /x HTTP/1.1\r\nContent-Length: 100000\r\n\r\n";
  std::vector<tcp::socket> large = Connect(kMaxConnections - 1);
  for (tcp::socket& it : large) {
    asio::write(it, asio::buffer(head + std::string(99'999, 'b')));
    Run(milliseconds(10));
  }
  const RequestMemoryStats stats = memory_->Stats();
  EXPECT_LE(stats.held, stats.limit);
  EXPECT_GT(stats.shed_reading, 0u);
  client_.connect(endpoint_);
  Send(kRequest);
  Run();
  int refused = 0;
  for (tcp::socket& it : large) {
    if (it.available() > 0) {
      std::string text(12, ' ');
      asio::read(it, asio::buffer(text));
      EXPECT_EQ(text, "HTTP/1.1 503");
      ++refused;
    }
  }
  EXPECT_EQ(static_cast<uint64_t>(refused), stats.shed_reading);
}

// Guards against a waiting request that holds its memory for good, and against
// one that is refused after it was sent.
TEST_F(CallerServerHttpTest, WaitingRequestIsShedOnlyIfItAgrees) {
  answers_ = false;
  CallerLimits limits;
  limits.max_body = Bytes(600'000);
  StartServer(limits);
  const std::string request =
      "POST /x HTTP/1.1\r\nContent-Length: 600000\r\n\r\n" +
      std::string(600'000, 'b');
  std::vector<tcp::socket> others = Connect(2);
  int asked = 0;
  asio::write(others[0], asio::buffer(request));
  Run();
  ASSERT_NE(exchange_, nullptr);
  const auto sent = exchange_;
  sent->SetShedHandler([&asked] {
    ++asked;
    return false;
  });
  exchange_ = nullptr;
  asio::write(others[1], asio::buffer(request));
  Run();
  EXPECT_EQ(exchange_, nullptr);
  EXPECT_EQ(others[0].available(), 0u);
  EXPECT_GT(others[1].available(), 0u);
  sent->SendResponse(200, {}, "ok");
  Run();
  EXPECT_EQ(memory_->Stats().held, 0u);
  client_.connect(endpoint_);
  Send(request);
  Run();
  EXPECT_NE(exchange_, nullptr);
}

// Guards against idle connections that keep memory, as 64 KiB each would take
// more than the smallest machine has.
TEST_F(CallerServerHttpTest, AnsweredRequestHoldsNothing) {
  client_.connect(endpoint_);
  for (int i = 0; i < 3; ++i) {
    Send("POST /x HTTP/1.1\r\nContent-Length: 50000\r\n\r\n" +
         std::string(50'000, 'b'));
    Run();
    EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
    EXPECT_EQ(memory_->Stats().requests, 0u);
  }
  EXPECT_GT(memory_->Stats().peak, 50'000u);
}

// Guards against bodies over the limit that are read before they are refused.
TEST_F(CallerServerHttpTest, OversizeBodiesAreRefusedAtOnce) {
  CallerLimits limits;
  limits.max_body = Bytes(100'000);
  StartServer(limits);
  client_.connect(endpoint_);
  Send("POST /x HTTP/1.1\r\nContent-Length: 100001\r\n\r\n");
  Run();
  EXPECT_EQ(Receive().substr(0, 12), "HTTP/1.1 413");
  EXPECT_EQ(memory_->Stats().held, 0u);
  tcp::socket chunked(client_io_);
  chunked.connect(endpoint_);
  asio::write(chunked,
              asio::buffer("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked"
                           "\r\n\r\n18000\r\n" +
                           std::string(0x18000, 'b') + "\r\n18000\r\n"));
  Run();
  std::string text(12, ' ');
  asio::read(chunked, asio::buffer(text));
  EXPECT_EQ(text, "HTTP/1.1 413");
  EXPECT_EQ(exchange_, nullptr);
  EXPECT_EQ(memory_->Stats().held, 0u);
}

// Guards against a body that is run as the next request because its coding does
// not say where it ends.
TEST_F(CallerServerHttpTest, BodyOfAnotherCodingIsNoRequest) {
  for (const char* head :
       {"Transfer-Encoding: gzip", "Transfer-Encoding: chunked, gzip",
        "Transfer-Encoding: identity", "Transfer-Encoding: xchunked",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip",
        "Transfer-Encoding:"}) {
    tcp::socket client(client_io_);
    client.connect(endpoint_);
    asio::write(client,
                asio::buffer("POST /x HTTP/1.1\r\n" + std::string(head) +
                             "\r\n\r\nPOST /y HTTP/1.1\r\n"
                             "Content-Length: 0\r\n\r\n"));
    Run();
    std::string text(12, ' ');
    asio::read(client, asio::buffer(text));
    EXPECT_EQ(text, "HTTP/1.1 400") << head;
    EXPECT_EQ(exchange_, nullptr) << head;
  }
}

// Guards against a full table of connections without input that keeps out a
// caller with a request.
TEST_F(CallerServerHttpTest, StalledConnectionGivesWay) {
  const std::vector<tcp::socket> others = Connect(2 * kMaxConnections);
  Run();
  std::this_thread::sleep_for(milliseconds(1'050));
  for (uint32_t i = 0; i <= kMaxConnections; ++i) {
    client_ = tcp::socket(client_io_);
    client_.connect(endpoint_);
    Send(kRequest);
    Run(milliseconds(10));
  }
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against a full table of connections that resets further callers
// instead of refusing their requests.
TEST_F(CallerServerHttpTest, FullTableRefusesRequests) {
  std::vector<tcp::socket> others = Connect(kMaxConnections);
  Run();
  client_.connect(endpoint_);
  Send("POST /x HTTP/1.1\r\nContent-Length: 9\r\n\r\nbody");
  Run();
  const std::string text = Receive();
  EXPECT_EQ(text.substr(0, 12), "HTTP/1.1 503");
  EXPECT_NE(text.find("Retry-After: "), std::string::npos);
  EXPECT_NE(text.find("Connection: close"), std::string::npos);
  EXPECT_EQ(exchange_, nullptr);
}

// Guards against a connection that stays refused after others have ended.
TEST_F(CallerServerHttpTest, RequestIsServedWhenTheTableHasRoomAgain) {
  std::vector<tcp::socket> others = Connect(kMaxConnections);
  Run();
  client_.connect(endpoint_);
  Run();
  others.clear();
  Run();
  Send(kRequest);
  Run();
  EXPECT_EQ(Receive().substr(0, 15), "HTTP/1.1 200 OK");
}

// Guards against connections without a bound, also where a planned stop accepts
// those that wait.
TEST_F(CallerServerHttpTest, ConnectionsBeyondTheSecondBoundAreClosed) {
  const std::vector<tcp::socket> others = Connect(2 * kMaxConnections + 2);
  Run();
  EXPECT_EQ(server_->connections(), 2 * kMaxConnections);
  const std::vector<tcp::socket> queued = Connect(1);
  server_->Stop();
  EXPECT_EQ(server_->connections(), 2 * kMaxConnections);
}

}  // namespace
}  // namespace burdockhatch
