// Answers that have neither a length nor chunks and end with their connection,
// for each client of a target: forwarded requests, plain services and engines.
#include <array>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "src/engine_http.h"
#include "src/forward_call.h"
#include "src/plain_service_http.h"
#include "tests/standins_test_util.h"

namespace burdockhatch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

enum class Ending : uint8_t { kClosed, kReset };

struct RawAnswer {
  std::string text;
  Ending ending = Ending::kClosed;
};

// Answers each connection's first request with `answer(path)` and ends the
// connection.
class RawServer {
 public:
  explicit RawServer(std::function<RawAnswer(const std::string& path)> answer)
      : answer_(std::move(answer)),
        acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    Accept();
    thread_ = std::thread([this] { io_.run(); });
  }
  ~RawServer() {
    io_.stop();
    thread_.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (!ec) {
        Serve(std::move(socket));
        Accept();
      }
    });
  }

  void Serve(tcp::socket socket) {
    error_code ec;
    asio::streambuf buffer;
    asio::read_until(socket, buffer, "\r\n\r\n", ec);
    std::string head(asio::buffers_begin(buffer.data()),
                     asio::buffers_end(buffer.data()));
    const size_t length_at = head.find("Content-Length: ");
    const size_t body_at = head.find("\r\n\r\n") + 4;
    if (length_at != std::string::npos) {
      const size_t length = std::stoul(head.substr(length_at + 16));
      std::string rest(length - std::min(length, head.size() - body_at), '\0');
      asio::read(socket, asio::buffer(rest), ec);
    }
    const size_t path_at = head.find(' ') + 1;
    const RawAnswer answer =
        answer_(head.substr(path_at, head.find(' ', path_at) - path_at));
    asio::write(socket, asio::buffer(answer.text), ec);
    if (answer.ending == Ending::kReset) {
      // Lets the client read the text before the reset discards it.
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    socket.close(ec);
  }

  asio::io_context io_;
  std::function<RawAnswer(const std::string&)> answer_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

constexpr char kHead[] = "HTTP/1.1 200 OK\r\n\r\n";

struct CallResult {
  std::string body;
  std::optional<ForwardCallResult> result;
};

CallResult ForwardTo(const std::string& address) {
  asio::io_context io;
  const std::unique_ptr<ForwardConnector> connector = MakeForwardConnector(io);
  CallResult out;
  ForwardCallSpec spec;
  spec.address = address;
  spec.method = "GET";
  spec.path = "/x";
  spec.body = std::make_shared<const std::string>();
  ForwardCallHandlers handlers;
  handlers.on_body = [&](std::string_view data) { out.body += data; };
  handlers.on_end = [&](ForwardCallResult result) { out.result = result; };
  const auto call = connector->Start(std::move(spec), std::move(handlers));
  io.run_for(std::chrono::seconds(2));
  return out;
}

// Guards against a forwarded answer without a length that is cut or refused.
TEST(AnswerFramingTest, ForwardedAnswerEndsWithItsConnection) {
  RawServer server([](const std::string&) {
    return RawAnswer{std::string(kHead) + "whole"};
  });
  const CallResult out = ForwardTo(server.address());
  EXPECT_EQ(out.body, "whole");
  EXPECT_EQ(out.result, ForwardCallResult::kComplete);
}

// Guards against a reset that looks like the end of an answer.
TEST(AnswerFramingTest, ForwardedAnswerThatIsResetIsBroken) {
  RawServer server([](const std::string&) {
    return RawAnswer{std::string(kHead) + "par", Ending::kReset};
  });
  EXPECT_EQ(ForwardTo(server.address()).result, ForwardCallResult::kBroken);
}

ServiceResponse CallService(const std::string& address) {
  IoThread traffic;
  IoThread control;
  traffic.Start();
  control.Start();
  const std::unique_ptr<PlainService> service =
      MakeHttpPlainService(control.io, traffic.io, address);
  auto promise = std::make_shared<std::promise<ServiceResponse>>();
  ServiceRequest request;
  request.method = "POST";
  request.path = "/orders";
  request.body = "{}";
  request.timeout = std::chrono::seconds(5);
  service->Call(std::move(request), [promise](ServiceResponse answer) {
    promise->set_value(std::move(answer));
  });
  const ServiceResponse answer = promise->get_future().get();
  control.Stop();
  traffic.Stop();
  return answer;
}

// The same, for a call to a plain service that must not be repeated.
TEST(AnswerFramingTest, ServiceAnswerEndsWithItsConnection) {
  RawServer server([](const std::string&) {
    return RawAnswer{std::string(kHead) + "whole"};
  });
  const ServiceResponse answer = CallService(server.address());
  EXPECT_EQ(answer.status, CallStatus::kAnswered);
  EXPECT_EQ(answer.body, "whole");
}

TEST(AnswerFramingTest, ServiceAnswerThatIsResetIsUnknown) {
  RawServer server([](const std::string&) {
    return RawAnswer{std::string(kHead) + "par", Ending::kReset};
  });
  EXPECT_EQ(CallService(server.address()).status, CallStatus::kUnknown);
}

StreamEnd ReadEngineStream(const std::string& address, std::string* text) {
  struct State {
    std::mutex mutex;
    std::string text;
    std::promise<StreamEnd> end;
  };
  IoThread traffic;
  IoThread control;
  traffic.Start();
  control.Start();
  const std::unique_ptr<Engine> engine =
      MakeHttpEngine(control.io, traffic.io, address);
  auto state = std::make_shared<State>();
  engine->Attach(
      StreamId("s"), 0,
      {[](StartStatus) {},
       [state](StreamChunk chunk) {
         const std::lock_guard lock(state->mutex);
         state->text += chunk.data;
       },
       [state](StreamEnd end, uint32_t) { state->end.set_value(end); }});
  const StreamEnd end = state->end.get_future().get();
  {
    const std::lock_guard lock(state->mutex);
    *text = state->text;
  }
  control.Stop();
  traffic.Stop();
  return end;
}

constexpr char kChunk[] =
    "data: {\"index\": 0, \"tokens\": 1, \"data\": \"a\"}\n\n";

// The same, for the events of an engine.
TEST(AnswerFramingTest, EngineStreamEndsWithItsConnection) {
  RawServer server([](const std::string&) {
    return RawAnswer{std::string(kHead) + kChunk +
                     "data: {\"end\": \"complete\", \"chunk_count\": 1}\n\n"};
  });
  std::string text;
  EXPECT_EQ(ReadEngineStream(server.address(), &text), StreamEnd::kComplete);
  EXPECT_EQ(text, "a");
}

// Guards against an engine's stream that ends inside an event, or before its
// last one, and counts as complete.
TEST(AnswerFramingTest, EngineStreamThatEndsEarlyIsLost) {
  for (const std::string rest :
       {"", "data: {\"end\": \"complete\", \"chunk_count\": 1}"}) {
    RawServer server([&](const std::string&) {
      return RawAnswer{std::string(kHead) + kChunk + rest};
    });
    std::string text;
    EXPECT_EQ(ReadEngineStream(server.address(), &text),
              StreamEnd::kConnectionLost);
    EXPECT_EQ(text, "a");
  }
}

}  // namespace
}  // namespace burdockhatch
