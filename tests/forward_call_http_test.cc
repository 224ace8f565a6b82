// HTTP calls to targets that misbehave on the connection, over loopback.
#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "src/forward_call.h"
#include "tests/raw_answers.h"

namespace burdockhatch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

// Accepts one connection and writes `first`, then `repeated` until the client
// closes or `max_repeats` is reached.
class RawTarget {
 public:
  RawTarget(asio::io_context& io,
            std::string first,
            std::string repeated,
            bool closes = false)
      : acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
        socket_(io),
        first_(std::move(first)),
        repeated_(std::move(repeated)),
        closes_(closes) {
    acceptor_.async_accept(socket_, [this](error_code ec) {
      if (!ec) {
        Write(first_);
      }
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void Close() {
    error_code ignored;
    socket_.close(ignored);
    acceptor_.close(ignored);
  }

  size_t written = 0;

 private:
  void Write(const std::string& text) {
    asio::async_write(socket_, asio::buffer(text),
                      [this](error_code ec, size_t n) {
                        written += n;
                        if (!ec && !repeated_.empty() && written < kMaxBytes) {
                          Write(repeated_);
                        } else if (closes_) {
                          CloseAfterRequest();
                        }
                      });
  }

  // Closing with unread input would reset the connection.
  void CloseAfterRequest() {
    socket_.async_read_some(asio::buffer(input_), [this](error_code, size_t) {
      error_code ignored;
      socket_.close(ignored);
    });
  }

  // Bounds the traffic of a test that fails.
  static constexpr size_t kMaxBytes = 64 << 20;

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::string first_;
  std::string repeated_;
  bool closes_;
  std::array<char, 4096> input_{};
};

class ForwardCallHttpTest : public testing::Test {
 protected:
  // Calls a target on a thread of its own with a body of `upload` bytes.
  void Upload(const std::string& address, size_t upload) {
    result_.reset();
    status_ = 0;
    body_.clear();
    io_.restart();
    ForwardCallSpec spec;
    spec.address = address;
    spec.method = "POST";
    spec.path = "/x";
    spec.body = std::make_shared<const std::string>(upload, 'u');
    ForwardCallHandlers handlers;
    handlers.on_head = [this](uint32_t status, const HeaderList&) {
      status_ = status;
    };
    handlers.on_body = [this](std::string_view data) { body_ += data; };
    handlers.on_end = [this](ForwardCallResult result) { result_ = result; };
    call_ = connector_->Start(std::move(spec), std::move(handlers));
    io_.run_for(std::chrono::seconds(5));
  }

  void Call(const std::string& first, const std::string& repeated = "") {
    target_ = std::make_unique<RawTarget>(io_, first, repeated, closes_);
    body_.clear();
    io_.restart();
    ForwardCallSpec spec;
    spec.address = target_->address();
    spec.method = "GET";
    spec.path = "/x";
    spec.body = std::make_shared<const std::string>();
    ForwardCallHandlers handlers;
    handlers.on_head = [this](uint32_t status, const HeaderList&) {
      status_ = status;
      if (on_head_) {
        on_head_();
      }
    };
    handlers.on_body = [this](std::string_view data) {
      body_ += data;
      if (on_body_) {
        on_body_();
      }
    };
    handlers.on_end = [this](ForwardCallResult result) {
      result_ = result;
      target_->Close();
    };
    call_ = connector_->Start(std::move(spec), std::move(handlers));
    io_.run_for(std::chrono::seconds(2));
  }

  // As Call(), with a target that closes after `text`.
  void CallAndClose(const std::string& text) {
    closes_ = true;
    Call(text);
    closes_ = false;
  }

  asio::io_context io_;
  bool closes_ = false;
  std::unique_ptr<ForwardConnector> connector_ = MakeForwardConnector(io_);
  std::unique_ptr<RawTarget> target_;
  std::shared_ptr<ForwardCall> call_;
  std::function<void()> on_head_;
  std::function<void()> on_body_;
  uint32_t status_ = 0;
  std::string body_;
  std::optional<ForwardCallResult> result_;
};

// Guards against interim responses that are taken for the final one.
TEST_F(ForwardCallHttpTest, InterimResponsesAreSkipped) {
  Call(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
      "x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(status_, 200u);
  EXPECT_EQ(body_, "ok");
  EXPECT_EQ(result_, ForwardCallResult::kComplete);
}

// Guards against a target that sends interim responses for ever.
TEST_F(ForwardCallHttpTest, EndlessInterimResponsesAreBroken) {
  Call("", "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_EQ(result_, ForwardCallResult::kBroken);
}

// Guards against a head without end, also after an interim response, for which
// the limit of the first head did not hold.
TEST_F(ForwardCallHttpTest, EndlessHeadIsBroken) {
  const std::string header = "X-Filler: " + std::string(1'000, 'x') + "\r\n";
  Call("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", header);
  EXPECT_EQ(result_, ForwardCallResult::kBroken);
  EXPECT_LT(target_->written, size_t{16} << 20);
}

// Guards against a status line, a chunk header or a trailer without end.
TEST_F(ForwardCallHttpTest, EndlessLinesAreBroken) {
  const std::string filler(1'000, 'x');
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string& first :
       {std::string("HTTP/1.1 200 "), chunked + "5;", chunked + "0\r\nX: "}) {
    io_.restart();
    result_.reset();
    Call(first, filler);
    EXPECT_EQ(result_, ForwardCallResult::kBroken) << first;
  }
}

// Guards against memory that is taken for the length which a response states.
TEST_F(ForwardCallHttpTest, StatedLengthTakesNoMemory) {
  CallAndClose(
      "HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\nabc");
  EXPECT_EQ(result_, ForwardCallResult::kBroken);
  EXPECT_EQ(body_, "abc");
}

// Guards against a body without end that is read after the call was stopped.
TEST_F(ForwardCallHttpTest, StopEndsAnEndlessBody) {
  on_body_ = [this] {
    if (body_.size() > 1'000'000) {
      call_->Stop();
    }
  };
  Call("HTTP/1.1 200 OK\r\n\r\n", std::string(10'000, 'x'));
  EXPECT_LT(body_.size(), 2'000'000u);
  EXPECT_FALSE(result_);
}

// Guards against a second copy of an answer that becomes part of it. The
// connection carries no other call.
TEST_F(ForwardCallHttpTest, SecondAnswerOnTheConnectionIsIgnored) {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  Call(answer + answer);
  EXPECT_EQ(body_, "ok");
  EXPECT_EQ(result_, ForwardCallResult::kComplete);
}

// Guards against an answer whose head or body ends halfway and that is taken
// for a complete one: callers got a 200 with an empty or a short body.
TEST_F(ForwardCallHttpTest, AnswerThatEndsHalfwayIsBroken) {
  for (const std::string& whole :
       {std::string("HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 2\r\n"
                    "\r\nok"),
        std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "2\r\nok\r\n0\r\n\r\n")}) {
    for (size_t n = 1; n <= whole.size(); ++n) {
      result_.reset();
      status_ = 0;
      CallAndClose(whole.substr(0, n));
      EXPECT_EQ(result_, n < whole.size() ? ForwardCallResult::kBroken
                                          : ForwardCallResult::kComplete)
          << "after " << n << " bytes";
      EXPECT_EQ(status_ != 0, n >= whole.find("\r\n\r\n") + 4);
    }
  }
}

// Guards against a part of an answer without a length, or an answer with a
// status that does not exist, that is passed on as a complete answer.
TEST_F(ForwardCallHttpTest, OnlyCompleteAnswersAreComplete) {
  for (const RawAnswer& it : kRawAnswers) {
    // Which of the two directions fails first depends on timing.
    for (int i = 0; i < 3; ++i) {
      const RawAnswerTarget target(it);
      Upload(target.address(), it.upload_bytes);
      EXPECT_EQ(result_, it.complete ? ForwardCallResult::kComplete
                                     : ForwardCallResult::kBroken)
          << it.name;
      if (!it.complete && it.text.find(" 200 ") == std::string::npos) {
        EXPECT_EQ(status_, 0u) << it.name;
      }
    }
  }
}

// Guards against a refusal written twice on the connection of a call: the copy
// must not become the answer to another call.
TEST_F(ForwardCallHttpTest, RefusalWrittenTwiceAnswersOneCall) {
  const std::string refusal = "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n";
  Call(refusal, refusal);
  EXPECT_EQ(status_, 503u);
  EXPECT_EQ(result_, ForwardCallResult::kComplete);
  result_.reset();
  Call("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  EXPECT_EQ(status_, 200u);
  EXPECT_EQ(body_, "ok");
}

// Guards against handlers that are destroyed while one of them runs: it holds
// the last reference to its owner. AddressSanitizer reports the access.
TEST_F(ForwardCallHttpTest, HandlerMayStopItsCall) {
  struct Owner {
    std::shared_ptr<ForwardCall> call;
    int heads = 0;
  };
  auto owner = std::make_shared<Owner>();
  const std::weak_ptr<Owner> watched = owner;
  target_ = std::make_unique<RawTarget>(
      io_, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
  ForwardCallSpec spec;
  spec.address = target_->address();
  spec.method = "GET";
  spec.path = "/x";
  spec.body = std::make_shared<const std::string>();
  ForwardCallHandlers handlers;
  handlers.on_head = [owner](uint32_t, const HeaderList&) {
    owner->call->Stop();
    owner->call.reset();
    ++owner->heads;
    EXPECT_EQ(owner->heads, 1);
  };
  owner->call = connector_->Start(std::move(spec), std::move(handlers));
  owner.reset();
  io_.run_for(std::chrono::milliseconds(500));
  EXPECT_TRUE(watched.expired());
}

// Guards against a target that is read on although its caller does not read.
TEST_F(ForwardCallHttpTest, PausedCallReadsNothing) {
  on_body_ = [this] {
    if (body_.size() > 100'000) {
      call_->PauseReading();
    }
  };
  Call("HTTP/1.1 200 OK\r\n\r\n", std::string(10'000, 'x'));
  const size_t paused_at = body_.size();
  EXPECT_LT(paused_at, 400'000u);
  on_body_ = [this] {
    if (body_.size() > 1'000'000) {
      call_->Stop();
    }
  };
  call_->ResumeReading();
  io_.run_for(std::chrono::milliseconds(500));
  EXPECT_GT(body_.size(), paused_at);
}

// Guards against a target that counts as reachable though nothing listens
// there.
TEST_F(ForwardCallHttpTest, ProbeTellsWhetherATargetCanBeReached) {
  RawTarget target(io_, "", "");
  const std::string address = target.address();
  const auto probe = [&](const std::string& to) {
    std::optional<bool> reachable;
    io_.restart();
    connector_->Probe(to, [&](bool result) { reachable = result; });
    io_.run_for(std::chrono::seconds(5));
    return reachable;
  };
  EXPECT_EQ(probe(address), true);
  target.Close();
  EXPECT_EQ(probe(address), false);
  EXPECT_EQ(probe("no address"), false);
}

}  // namespace
}  // namespace burdockhatch
