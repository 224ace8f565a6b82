// Calls of the HTTP clients to servers whose responses do not end.
#include <chrono>
#include <future>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "src/byte_budget.h"
#include "src/engine_http.h"
#include "src/http_call.h"
#include "src/object_api_http.h"
#include "tests/endless_server.h"
#include "tests/standins_test_util.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// What a client may take beyond a limit: its own buffers and the socket's.
constexpr size_t kSlackBytes = size_t{12} << 20;
constexpr size_t kMaxServerBytes = size_t{100} << 20;
// Only a failing test reaches it.
constexpr milliseconds kMaxTestTime{60'000};

class EndlessResponseTest : public testing::TestWithParam<EndlessResponse> {
 protected:
  EndlessResponseTest() { traffic_.Start(); }
  ~EndlessResponseTest() override { traffic_.Stop(); }

  EndlessServer server_{GetParam(), kMaxServerBytes};
  IoThread traffic_;
  IoThread control_;
};

INSTANTIATE_TEST_SUITE_P(Parts,
                         EndlessResponseTest,
                         testing::ValuesIn(EndlessResponses()),
                         [](const auto& it) {
                           std::string name = it.param.name;
                           for (char& c : name) {
                             c = c == ' ' ? '_' : c;
                           }
                           return name;
                         });

// Guards against a call that keeps a response without end until its timeout.
TEST_P(EndlessResponseTest, CallKeepsABoundedPart) {
  const auto client = MakeHttpClient(traffic_.io, server_.address());
  HttpCall call = MakeTestCall("GET", "/");
  call.timeout = seconds(2);
  call.max_response = Bytes(1 << 20);
  auto promise = std::make_shared<std::promise<HttpReply>>();
  client->Call(std::move(call), [promise](HttpReply reply) {
    promise->set_value(std::move(reply));
  });
  const HttpReply reply = promise->get_future().get();
  EXPECT_NE(reply.status, CallStatus::kNotSent);
  EXPECT_LE(reply.body.size(), size_t{1} << 20);
  EXPECT_LT(server_.most_written(), kSlackBytes);
}

// Guards against a reader of events that keeps one without end.
TEST_P(EndlessResponseTest, EventReaderKeepsABoundedPart) {
  const auto client = MakeHttpClient(traffic_.io, server_.address());
  auto promise = std::make_shared<std::promise<void>>();
  EventStreamCallbacks callbacks;
  callbacks.on_event = [](std::string_view) { return true; };
  callbacks.on_end = [promise](EventStreamEnd, uint32_t) {
    promise->set_value();
  };
  const auto reader = client->ReadEvents("/", seconds(1), std::move(callbacks));
  const std::string& part = GetParam().name;
  // Comments are dropped as they arrive; the owner ends the stream.
  const bool must_end = part != "event without output";
  std::future<void> ended = promise->get_future();
  const auto state =
      ended.wait_for(must_end ? kMaxTestTime : milliseconds(500));
  reader->Stop();
  if (must_end) {
    EXPECT_EQ(state, std::future_status::ready);
    EXPECT_LT(server_.most_written(), kSlackBytes);
  }
}

// Guards against a reply of the object API that is kept until its timeout.
TEST_P(EndlessResponseTest, ObjectApiKeepsABoundedPart) {
  control_.Start();
  ObjectApiHttpOptions options;
  options.address = server_.address();
  options.call_timeout = seconds(2);
  auto api = std::make_unique<ObjectApiHttp>(control_.io, traffic_.io, options);
  auto promise = std::make_shared<std::promise<ObjectStatus>>();
  api->Read(ObjectName{"config", "main"}, [promise](const ObjectReply& reply) {
    promise->set_value(reply.status);
  });
  EXPECT_NE(promise->get_future().get(), ObjectStatus::kOk);
  EXPECT_LT(server_.most_written(), kSlackBytes + (size_t{8} << 20));
  control_.Run([&] { api.reset(); });
  control_.Stop();
}

// Guards against an engine that sends events far beyond the output that was
// asked of it.
TEST(EndlessStreamTest, EngineThatExceedsItsOutputIsLeft) {
  const std::string chunk = "data: {\"index\":0,\"tokens\":1,\"data\":\"" +
                            std::string(4'000, 'x') + "\"}\n\n";
  EndlessServer server(
      {"", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", chunk},
      kMaxServerBytes);
  IoThread traffic;
  IoThread control;
  traffic.Start();
  control.Start();
  auto engine = MakeHttpEngine(control.io, traffic.io, server.address());
  size_t received = 0;
  auto promise = std::make_shared<std::promise<StreamEnd>>();
  control.Run([&] {
    Engine::StreamCallbacks callbacks;
    callbacks.on_chunk = [&](StreamChunk it) { received += it.data.size(); };
    callbacks.on_end = [promise](StreamEnd end, uint32_t) {
      promise->set_value(end);
    };
    engine->Attach(StreamId("s"), 0, std::move(callbacks));
  });
  auto ended = promise->get_future();
  ASSERT_EQ(ended.wait_for(kMaxTestTime), std::future_status::ready);
  EXPECT_EQ(ended.get(), StreamEnd::kFailed);
  EXPECT_LE(received, size_t{32} << 20);
  control.Run([&] { engine.reset(); });
  control.Stop();
  traffic.Stop();
}

// Guards against owners that together hold more than the budget, and against
// small ones that get nothing because of large ones.
TEST(ByteBudgetTest, LimitsTheSumAndSparesTheSmall) {
  auto budget = std::make_shared<ByteBudget>(Bytes(100'000));
  ByteShare large(budget);
  ByteShare other(budget);
  EXPECT_TRUE(large.Resize(100'000));
  EXPECT_FALSE(other.Resize(50'000));
  EXPECT_TRUE(other.Resize(10'000));
  EXPECT_TRUE(large.Resize(20'000));
  EXPECT_TRUE(other.Resize(50'000));
  {
    ByteShare third(budget);
    EXPECT_TRUE(third.Resize(70'000));
  }
  EXPECT_TRUE(large.Resize(0));
  EXPECT_TRUE(other.Resize(0));
  EXPECT_EQ(budget->used(), 0u);
}

}  // namespace
}  // namespace burdockhatch
