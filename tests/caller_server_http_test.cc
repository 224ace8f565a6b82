// The callers' HTTP server during a planned stop and with a slow caller, over
// loopback.
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "src/caller_server.h"

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
    server_ = leaf::try_handle_all(
        [&]() -> leaf::result<std::unique_ptr<CallerServer>> {
          return StartCallerServer(
              io_, "127.0.0.1:" + std::to_string(endpoint_.port()),
              CallerLimits(), 10,
              [this](std::shared_ptr<CallerExchange> exchange,
                     const ReceivedRequest&) {
                exchange_ = std::move(exchange);
                if (answers_) {
                  exchange_->SendResponse(200, {}, "ok");
                }
              });
        },
        [] { return std::unique_ptr<CallerServer>(); });
  }

  void Run(Duration duration = milliseconds(50)) {
    io_.restart();
    io_.run_for(duration);
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

  asio::io_context io_;
  asio::io_context client_io_;
  tcp::socket client_{client_io_};
  tcp::endpoint endpoint_;
  std::unique_ptr<CallerServer> server_;
  std::shared_ptr<CallerExchange> exchange_;
  bool answers_ = true;
};

constexpr char kRequest[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";

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

}  // namespace
}  // namespace burdockhatch
