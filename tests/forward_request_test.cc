#include "src/forward_request.h"

#include <algorithm>
#include <charconv>
#include <deque>
#include <new>
#include <set>
#include <utility>

#include <gtest/gtest.h>

#include "src/rendezvous.h"
#include "tests/manual_timers.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;

// Uses header names of its own. The platform's are tested in platform/tests.
class FakeProtocol : public ForwardProtocol {
 public:
  CallerFields ParseCallerFields(const HeaderList& headers) const override {
    if (throws) {
      throw std::bad_alloc();
    }
    CallerFields fields;
    fields.attempt_id = Text(headers, "attempt");
    fields.key = Text(headers, "key");
    fields.time_left = milliseconds(Number(headers, "time-left", 10'000));
    fields.prompt = Tokens(Number(headers, "prompt", 5'000));
    fields.max_output = Tokens(Number(headers, "output", 1'000));
    fields.model = "m";
    if (const int64_t last = Number(headers, "last-event", -1); last >= 0) {
      fields.last_event_id = static_cast<uint64_t>(last);
    }
    const std::string part = Text(headers, "part");
    if (!part.empty()) {
      fields.shared_parts = {"first", part};
    }
    if (const std::string own = Text(headers, "own"); !own.empty()) {
      fields.prompt_hash = StableHash(own);
    }
    return fields;
  }
  HeaderList BuildForwardHeaders(const HeaderList&,
                                 const ForwardFields& fields) const override {
    HeaderList headers = {
        {"target", fields.target.value()},
        {"account", fields.account.value()},
        {"time-left", std::to_string(fields.time_left.count() / 1'000)}};
    if (fields.last_event_id) {
      headers.push_back({"last-event", std::to_string(*fields.last_event_id)});
    }
    if (fields.priority) {
      headers.push_back({"priority", std::to_string(fields.priority->value())});
    }
    for (const ForwardHelper& it : fields.helpers) {
      headers.push_back({"helper", it.address + "/" + it.reservation});
    }
    return headers;
  }
  TargetFields ParseTargetFields(uint32_t status,
                                 const HeaderList& headers) const override {
    TargetFields fields;
    fields.attempt_id = Text(headers, "attempt");
    fields.is_signed = FindHeader(headers, "signed") != nullptr;
    fields.is_wrong_target = status == 421;
    fields.not_executed =
        fields.is_wrong_target || FindHeader(headers, "not-run") != nullptr;
    if (FindHeader(headers, "limit") != nullptr) {
      fields.signals.requests_per_s =
          static_cast<double>(Number(headers, "limit", 0));
    }
    fields.signals.is_leaving = FindHeader(headers, "leaving") != nullptr;
    fields.signals.back_off = milliseconds(Number(headers, "back-off-ms", 0));
    return fields;
  }
  HeaderList EntryResponseHeaders(const CallerFields&) const override {
    return {};
  }

  bool throws = false;

 private:
  static std::string Text(const HeaderList& headers, std::string_view name) {
    const std::string* text = FindHeader(headers, name);
    return text == nullptr ? "" : *text;
  }
  static int64_t Number(const HeaderList& headers,
                        std::string_view name,
                        int64_t missing) {
    const std::string text = Text(headers, name);
    return text.empty() ? missing : std::stoll(text);
  }
};

struct FakeCall : ForwardCall {
  void Stop() override { stopped = true; }
  void PauseReading() override { paused = true; }
  void ResumeReading() override { paused = false; }

  ForwardCallSpec spec;
  ForwardCallHandlers handlers;
  bool stopped = false;
  bool paused = false;
};

class FakeConnector : public ForwardConnector {
 public:
  std::shared_ptr<ForwardCall> Start(ForwardCallSpec spec,
                                     ForwardCallHandlers handlers) override {
    if (throws) {
      throw std::bad_alloc();
    }
    calls.push_back(std::make_shared<FakeCall>());
    calls.back()->spec = std::move(spec);
    calls.back()->handlers = std::move(handlers);
    return calls.back();
  }

  void Probe(const std::string& address,
             std::function<void(bool)> done) override {
    done(!unreachable.contains(address));
  }

  std::vector<std::shared_ptr<FakeCall>> calls;
  bool throws = false;
  std::set<std::string> unreachable;  // Addresses.
};

struct FakeExchange : CallerExchange {
  void SendResponse(uint32_t status,
                    const HeaderList& answer_headers,
                    const std::string& body) override {
    if (throws) {
      throws = !throws_once;
      throw std::bad_alloc();
    }
    ++ends;
    this->status = status;
    headers = answer_headers;
    text = body;
  }
  void StartStream(uint32_t status, const HeaderList&) override {
    this->status = status;
  }
  void Write(std::string data) override { text += data; }
  void EndStream() override { ++ends; }
  void Abort() override {
    ++ends;
    aborted = true;
  }
  bool IsCongested() const override { return congested; }
  void SetDrainedHandler(std::function<void()> handler) override {
    on_drained = std::move(handler);
  }
  void SetDisconnectHandler(std::function<void()> handler) override {
    on_gone = std::move(handler);
  }
  void SetShedHandler(std::function<bool()> handler) override {
    on_shed = std::move(handler);
  }

  int ends = 0;
  uint32_t status = 0;
  HeaderList headers;
  std::string text;
  bool throws = false;  // For want of memory for a response.
  bool throws_once = false;
  bool aborted = false;
  bool congested = false;
  std::function<void()> on_drained;
  std::function<void()> on_gone;
  std::function<bool()> on_shed;
};

struct FakeBus : PlacementBus {
  void Send(const InstanceId&, MessageBody body) override {
    sent.push_back(std::move(body));
  }
  void Connect(const InstanceId&, const std::string&) override {}
  void Disconnect(const InstanceId&) override {}

  std::vector<MessageBody> sent;
};

struct FakeMemory : EngineMemory {
  void Reserve(const Reservation& reservation,
               Duration,
               std::function<void(bool)> done) override {
    reserved.push_back(reservation);
    if (defers) {
      deferred.push_back(std::move(done));
    } else {
      done(accepts);
    }
  }
  void Release(const Reservation& reservation) override {
    released.push_back(reservation.id);
  }

  bool accepts = true;
  bool defers = false;
  std::vector<std::function<void(bool)>> deferred;
  std::vector<Reservation> reserved;
  std::vector<std::string> released;
};

class ForwardRequestTest : public testing::Test {
 protected:
  ForwardRequestTest() {
    context_.timers = &timers_;
    context_.protocol = &protocol_;
    context_.connector = &connector_;
    context_.placement = &placement_;
    context_.engine_memory = &memory_;
    context_.metrics = &metrics_;
    context_.data_centre = DataCentreId("dc");
    auto config = std::make_shared<RouteConfig>();
    config->version = 1;
    AddRoute(*config, "/stream/", "llm", true, true, 2);
    AddRoute(*config, "/chat/", "llm", true, false, 1);
    AddRoute(*config, "/once/", "orders", false, false, 1);
    AddRoute(*config, "/read/", "orders", false, true, 2);
    config->services[ServiceId("llm")].engine = EngineCost();
    config->services[ServiceId("orders")];
    config->keys_required = true;
    config->keys["k"].account = ClientAccountId("acme");
    context_.config = config;
    AddTargets("llm", 4);
    AddTargets("orders", 3);
  }

  // Requests that have not ended are owned by the handlers of their exchanges
  // and calls, and by their timers.
  ~ForwardRequestTest() override {
    for (const auto& it : connector_.calls) {
      it->handlers = {};
    }
    for (const auto& it : exchanges_) {
      it->on_gone = nullptr;
      it->on_drained = nullptr;
    }
    timers_.CancelAll();
  }

  static void AddRoute(RouteConfig& config,
                       std::string prefix,
                       std::string service,
                       bool is_streaming,
                       bool repeatable,
                       uint32_t attempts) {
    Route route;
    route.host = "host";
    route.path_prefix = std::move(prefix);
    route.shares = {{ServiceId(std::move(service)), 1}};
    route.is_streaming = is_streaming;
    route.repeatable = repeatable;
    route.max_attempts = attempts;
    route.timeout = std::chrono::seconds(10);
    route.latency_target = milliseconds(300);
    route.gap_target = milliseconds(200);
    config.routes.push_back(std::move(route));
  }

  void AddTargets(const std::string& service,
                  int count,
                  double read_tokens_per_s = 5'000'000) {
    TargetList list;
    list.service = ServiceId(service);
    list.revision = 1;
    list.cost.read_tokens_per_s = read_tokens_per_s;
    for (int i = 0; i < count; ++i) {
      TargetRecord record;
      record.target = TargetId(service + std::to_string(i));
      record.service = ServiceId(service);
      record.address = service + std::to_string(i) + ":80";
      record.data_centre = DataCentreId("dc");
      record.slots = 16;
      context_.directory.Put(record, 1, timers_.Now());
      list.targets.push_back(
          {record.target, record.address, record.data_centre, Duration(0)});
    }
    placement_.SetTargets(list, timers_.Now());
  }

  void Send(const std::string& path, HeaderList headers = {}) {
    headers.push_back({"attempt", "a1"});
    if (FindHeader(headers, "key") == nullptr) {
      headers.push_back({"key", "k"});
    }
    ReceivedRequest request;
    request.method = "POST";
    request.path = path;
    request.host = "host";
    request.headers = std::move(headers);
    request.body = std::make_shared<const std::string>("body");
    exchange_ = std::make_shared<FakeExchange>();
    exchanges_.push_back(exchange_);
    exchange_->throws = exchange_throws_;
    StartForwardRequest(&context_, exchange_, std::move(request));
  }

  void TakeAllRetries() {
    while (context_.retry_budget.TryTakeRetry(
        ServiceId("llm"), placement_.entry_count(), timers_.Now())) {
    }
  }

  FakeCall& call(size_t i) { return *connector_.calls.at(i); }

  void Head(size_t i, uint32_t status = 200, HeaderList more = {}) {
    HeaderList headers = {{"attempt", "a1"}, {"signed", "s"}};
    headers.insert(headers.end(), more.begin(), more.end());
    call(i).handlers.on_head(status, headers);
  }
  void Body(size_t i, const std::string& data) {
    call(i).handlers.on_body(data);
  }
  void End(size_t i, ForwardCallResult end = ForwardCallResult::kComplete) {
    call(i).handlers.on_end(end);
  }

  ManualTimers timers_;
  FakeProtocol protocol_;
  FakeConnector connector_;
  FakeBus bus_;
  FakeMemory memory_;
  Metrics metrics_;
  PlacementClient placement_{{InstanceId("entry"), Incarnation(1)}, {}, &bus_};
  ForwardContext context_;
  std::shared_ptr<FakeExchange> exchange_;  // Of the latest request.
  bool exchange_throws_ = false;
  std::vector<std::shared_ptr<FakeExchange>> exchanges_;
};

// Guards against leaking the caller's API key to a target, and against a
// missing or wrong client account.
TEST_F(ForwardRequestTest, ForwardsClientAccountButNotApiKey) {
  Send("/once/1");
  const HeaderList& headers = call(0).spec.headers;
  EXPECT_EQ(*FindHeader(headers, "account"), "acme");
  EXPECT_EQ(FindHeader(headers, "key"), nullptr);
  EXPECT_EQ(*call(0).spec.body, "body");
}

// Guards against forwarding requests without a route or with an unknown API
// key.
TEST_F(ForwardRequestTest, RejectsUnknownPathAndKey) {
  Send("/nowhere/");
  EXPECT_EQ(exchange_->status, 404u);
  Send("/once/", {{"key", "stolen"}});
  EXPECT_EQ(exchange_->status, 401u);
  EXPECT_TRUE(connector_.calls.empty());
}

// Guards against a permanent error (404 or 401) from an entry that has not
// received its configuration yet.
TEST_F(ForwardRequestTest, Returns503WithoutConfiguration) {
  context_.config = nullptr;
  Send("/nowhere/");
  EXPECT_EQ(exchange_->status, 503u);
}

// Guards against executing a non-repeatable request twice after a broken
// connection.
TEST_F(ForwardRequestTest,
       NonRepeatableRequestIsNotRetriedAfterBrokenConnection) {
  Send("/once/");
  End(0, ForwardCallResult::kBroken);
  EXPECT_EQ(connector_.calls.size(), 1u);
  EXPECT_EQ(exchange_->status, 502u);
  EXPECT_EQ(exchange_->ends, 1);
}

class UnprovenRefusalTest : public ForwardRequestTest,
                            public testing::WithParamInterface<uint32_t> {};

INSTANTIATE_TEST_SUITE_P(Statuses,
                         UnprovenRefusalTest,
                         testing::Values(408, 429, 503));

// Guards against reporting a request as not executed when the target returned
// such a status without stating so: the caller sends the order again, and it
// runs twice (review/1).
TEST_P(UnprovenRefusalTest, IsNotPassedOnAsAPromise) {
  Send("/once/");
  Head(0, GetParam());
  End(0);
  EXPECT_EQ(connector_.calls.size(), 1u);
  EXPECT_EQ(exchange_->status, 502u);
}

// A request that may be repeated is tried elsewhere.
TEST_P(UnprovenRefusalTest, IsAFailureOfTheTarget) {
  Send("/read/");
  Head(0, GetParam());
  End(0);
  ASSERT_EQ(connector_.calls.size(), 2u);
  Head(1);
  Body(1, "done");
  End(1);
  EXPECT_EQ(exchange_->status, 200u);
}

// Guards against failing a request that one target rejected although another
// can execute it.
TEST_F(ForwardRequestTest, NonRepeatableRequestIsRetriedWhenNotExecuted) {
  Send("/once/");
  Head(0, 503, {{"not-run", "1"}});
  End(0);
  ASSERT_EQ(connector_.calls.size(), 2u);
  EXPECT_NE(call(0).spec.address, call(1).spec.address);
  Head(1);
  Body(1, "done");
  End(1);
  EXPECT_EQ(exchange_->status, 200u);
  EXPECT_EQ(exchange_->text, "done");
}

// Guards against waiting for an unreachable target.
TEST_F(ForwardRequestTest, RetriesElsewhereWhenTargetIsUnreachable) {
  Send("/once/");
  End(0, ForwardCallResult::kNotSent);
  ASSERT_EQ(connector_.calls.size(), 2u);
  EXPECT_EQ(exchange_->ends, 0);
}

// Guards against sending to a target whose address another target has taken
// over.
TEST_F(ForwardRequestTest, TargetWithReusedAddressGetsNoRequests) {
  Send("/once/");
  const std::string address = call(0).spec.address;
  Head(0, 421);
  End(0);
  for (int i = 0; i < 20; ++i) {
    Send("/once/");
    EXPECT_NE(connector_.calls.back()->spec.address, address);
  }
}

// Guards against returning an error of one target when another may succeed.
TEST_F(ForwardRequestTest, RepeatableRequestIsRetriedAfterErrorResponse) {
  Send("/read/");
  Head(0, 500);
  Body(0, "failed");
  End(0);
  ASSERT_EQ(connector_.calls.size(), 2u);
  Head(1, 500);
  Body(1, "failed too");
  End(1);
  // The error response of a target is forwarded unchanged.
  EXPECT_EQ(exchange_->status, 500u);
  EXPECT_EQ(exchange_->text, "failed too");
}

// Guards against more attempts than the route allows.
TEST_F(ForwardRequestTest, AttemptsAreLimitedByTheRoute) {
  Send("/read/");
  End(0, ForwardCallResult::kBroken);
  End(1, ForwardCallResult::kBroken);
  EXPECT_EQ(connector_.calls.size(), 2u);
  EXPECT_EQ(exchange_->status, 502u);
}

// Guards against a retry that starts with the full timeout again.
TEST_F(ForwardRequestTest, RetryGetsTheRemainingTime) {
  Send("/read/", {{"time-left", "1000"}});
  timers_.Advance(milliseconds(150));
  End(0, ForwardCallResult::kBroken);
  EXPECT_EQ(*FindHeader(call(0).spec.headers, "time-left"), "1000");
  EXPECT_EQ(*FindHeader(call(1).spec.headers, "time-left"), "850");
}

// Guards against forwarding a response to another request, or one that no
// target signed.
TEST_F(ForwardRequestTest, ForeignOrUnsignedResponseIsNotForwarded) {
  Send("/once/");
  call(0).handlers.on_head(200, {{"attempt", "other"}, {"signed", "s"}});
  EXPECT_EQ(exchange_->status, 502u);
  Send("/once/");
  call(1).handlers.on_head(200, {{"attempt", "a1"}});
  EXPECT_EQ(exchange_->status, 502u);
}

// Guards against partial, repeated or missing events when a stream resumes.
TEST_F(ForwardRequestTest, BrokenStreamResumesAtAnotherTarget) {
  Send("/stream/");
  Head(0);
  Body(0, "id: 0\ndata: a\n\nid: 1\nda");
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\n");
  End(0, ForwardCallResult::kBroken);
  ASSERT_EQ(connector_.calls.size(), 2u);
  EXPECT_EQ(*FindHeader(call(1).spec.headers, "last-event"), "0");
  Head(1);
  Body(1, "id: 1\ndata: b\n\n");
  End(1);
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_FALSE(exchange_->aborted);
}

// Guards against an incomplete stream that looks complete to the caller.
TEST_F(ForwardRequestTest, StreamThatCannotResumeIsAborted) {
  Send("/stream/");
  Head(0);
  Body(0, "id: 0\n\n");
  End(0, ForwardCallResult::kBroken);
  End(1, ForwardCallResult::kBroken);
  EXPECT_TRUE(exchange_->aborted);
  EXPECT_EQ(exchange_->ends, 1);
}

// Guards against waiting for a target that stopped sending events. Another one
// is tried after 3 times the gap target of 200 ms, which is also the least
// timeout, 600 ms, and the silent one works until the other has an event.
TEST_F(ForwardRequestTest, StalledStreamResumesAtAnotherTarget) {
  Send("/stream/");
  Head(0);
  Body(0, "id: 0\n\n");
  timers_.Advance(milliseconds(599));
  EXPECT_EQ(connector_.calls.size(), 1u);
  timers_.Advance(milliseconds(1));
  ASSERT_EQ(connector_.calls.size(), 2u);
  EXPECT_FALSE(call(0).stopped);
  Head(1);
  EXPECT_FALSE(call(0).stopped);
  Body(1, "id: 1\n\n");
  EXPECT_TRUE(call(0).stopped);
  End(1);
  EXPECT_EQ(exchange_->text, "id: 0\n\nid: 1\n\n");
  EXPECT_EQ(exchange_->ends, 1);
}

// Guards against a stream that is aborted although its target was sound and
// fell silent for a second only: the next target refuses, breaks off, cannot be
// reached or answers with an error.
TEST_F(ForwardRequestTest, StreamOfASilentSoundTargetGoesOn) {
  enum class Second { kRefuses, kBreaks, kUnreachable, kFails, kWaits };
  for (const Second second :
       {Second::kRefuses, Second::kBreaks, Second::kUnreachable, Second::kFails,
        Second::kWaits}) {
    const size_t first = connector_.calls.size();
    Send("/stream/");
    Head(first);
    Body(first, "id: 0\ndata: a\n\nid: 1\nda");
    timers_.Advance(milliseconds(700));
    ASSERT_EQ(connector_.calls.size(), first + 2);
    EXPECT_EQ(*FindHeader(call(first + 1).spec.headers, "last-event"), "0");
    if (second == Second::kRefuses) {
      // All further targets refuse as well.
      for (size_t i = first + 1; i < connector_.calls.size(); ++i) {
        Head(i, 503, {{"not-run", "1"}});
        End(i);
      }
    } else if (second == Second::kBreaks) {
      End(first + 1, ForwardCallResult::kBroken);
    } else if (second == Second::kUnreachable) {
      for (size_t i = first + 1; i < connector_.calls.size(); ++i) {
        End(i, ForwardCallResult::kNotSent);
      }
    } else if (second == Second::kFails) {
      Head(first + 1, 500);
    }
    timers_.Advance(milliseconds(300));
    EXPECT_EQ(exchange_->ends, 0);
    EXPECT_FALSE(call(first).stopped);
    Body(first, "ta: b\n\n");
    if (second == Second::kWaits) {
      EXPECT_TRUE(call(first + 1).stopped);
    }
    End(first);
    EXPECT_FALSE(exchange_->aborted);
    EXPECT_EQ(exchange_->ends, 1);
    EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
    timers_.Advance(std::chrono::seconds(20));
    EXPECT_EQ(exchange_->ends, 1);
  }
}

// Guards against a failure of a plain call, or of a stream without an event,
// whose target was sound and silent for a second.
TEST_F(ForwardRequestTest, LateAnswerOfASilentSoundTargetIsForwarded) {
  Send("/read/");
  timers_.Advance(milliseconds(300));
  ASSERT_EQ(connector_.calls.size(), 2u);
  End(1, ForwardCallResult::kBroken);
  EXPECT_EQ(exchange_->ends, 0);
  Head(0);
  Body(0, "whole");
  End(0);
  EXPECT_EQ(exchange_->status, 200u);
  EXPECT_EQ(exchange_->text, "whole");

  Send("/stream/");
  timers_.Advance(std::chrono::seconds(2));
  ASSERT_EQ(connector_.calls.size(), 4u);
  Head(3, 500);
  End(3);
  EXPECT_EQ(exchange_->ends, 0);
  Head(2);
  Body(2, "id: 0\ndata: a\n\n");
  End(2);
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\n");
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
}

// Guards against a failure when no target takes the next attempt, for example
// because a new configuration or a withdrawal has left none.
TEST_F(ForwardRequestTest, SilentTargetIsAwaitedWhenNoOtherIsLeft) {
  for (const char* path : {"/stream/", "/read/"}) {
    context_.directory.SetWithdrawn({});
    const size_t first = connector_.calls.size();
    Send(path);
    context_.directory.SetWithdrawn({DataCentreId("dc")});
    timers_.Advance(milliseconds(1'500));
    EXPECT_EQ(exchange_->ends, 0) << path;
    EXPECT_EQ(connector_.calls.size(), first + 1);
    Head(first);
    Body(first, "id: 0\ndata: a\n\n");
    End(first);
    EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\n");
    EXPECT_EQ(exchange_->ends, 1);
  }
}

// Guards against a silent target that works on after the request has ended.
TEST_F(ForwardRequestTest, EndOfTheRequestStopsSilentTargets) {
  Send("/stream/");
  timers_.Advance(std::chrono::seconds(2));
  ASSERT_EQ(connector_.calls.size(), 2u);
  exchange_->on_gone();
  EXPECT_TRUE(call(0).stopped);
  EXPECT_TRUE(call(1).stopped);

  Send("/read/", {{"time-left", "500"}});
  timers_.Advance(milliseconds(400));
  ASSERT_EQ(connector_.calls.size(), 4u);
  timers_.Advance(milliseconds(100));
  EXPECT_EQ(exchange_->status, 504u);
  EXPECT_TRUE(call(2).stopped);
  EXPECT_TRUE(call(3).stopped);
  EXPECT_EQ(exchange_->ends, 1);
}

// Guards against more attempts than the route allows, and against a request
// that waits for its deadline although all its attempts have failed.
TEST_F(ForwardRequestTest, FailureOfAllAttemptsEndsTheRequest) {
  Send("/read/");
  timers_.Advance(milliseconds(300));
  ASSERT_EQ(connector_.calls.size(), 2u);
  End(1, ForwardCallResult::kBroken);
  timers_.Advance(std::chrono::seconds(1));
  EXPECT_EQ(exchange_->ends, 0);
  End(0, ForwardCallResult::kBroken);
  EXPECT_EQ(connector_.calls.size(), 2u);
  EXPECT_EQ(exchange_->status, 502u);
  EXPECT_EQ(exchange_->ends, 1);
}

// Guards against a target that keeps working after the caller disconnected.
TEST_F(ForwardRequestTest, CallerDisconnectStopsTheCall) {
  Send("/stream/");
  Head(0);
  exchange_->on_gone();
  EXPECT_TRUE(call(0).stopped);
  EXPECT_EQ(exchange_->ends, 0);
}

// Guards against a request that gets no response at its deadline.
TEST_F(ForwardRequestTest, Returns504AtTheDeadline) {
  Send("/once/", {{"time-left", "500"}});
  timers_.Advance(milliseconds(500));
  EXPECT_EQ(exchange_->status, 504u);
  EXPECT_TRUE(call(0).stopped);
  EXPECT_EQ(exchange_->ends, 1);
}

// Guards against a 503 without Retry-After.
TEST_F(ForwardRequestTest, RejectionHasRetryAfter) {
  context_.directory.SetWithdrawn({DataCentreId("dc")});
  Send("/once/");
  timers_.Advance(milliseconds(1'100));
  EXPECT_EQ(exchange_->status, 503u);
  EXPECT_NE(FindHeader(exchange_->headers, "Retry-After"), nullptr);
}

// Guards against unbounded retries to a service that fails every request.
TEST_F(ForwardRequestTest, RetriesStayWithinTheBudget) {
  context_.retry_budget =
      RequestRetryBudget({0.2, std::chrono::seconds(10), 10});
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    Send("/read/");
    for (; static_cast<size_t>(sent) < connector_.calls.size(); ++sent) {
      End(static_cast<size_t>(sent), ForwardCallResult::kBroken);
    }
  }
  EXPECT_LE(connector_.calls.size(), 100 + 0.2 * 100 + 10);
  EXPECT_GT(connector_.calls.size(), 100u);
}

// Guards against rejecting a prompt that does not fit into the memory of a
// single engine, and against reservations that are not released.
TEST_F(ForwardRequestTest, OversizePromptUsesReservedMemory) {
  Send("/stream/", {{"prompt", "1000000"}});
  ASSERT_EQ(connector_.calls.size(), 1u);
  ASSERT_FALSE(memory_.reserved.empty());
  int64_t held = 0;
  for (const Reservation& it : memory_.reserved) {
    held += it.tokens.value();
    const HeaderList& headers = call(0).spec.headers;
    EXPECT_TRUE(
        std::any_of(headers.begin(), headers.end(), [&](const Header& header) {
          return header.value == it.address + "/" + it.id;
        }));
  }
  EXPECT_GE(held, 1'000'000 - EngineCost().memory.value());
  const size_t count = memory_.reserved.size();
  Head(0);
  for (int i = 0; i < 3; ++i) {
    Body(0, "id: " + std::to_string(i) + "\n\n");
    timers_.Advance(ReservationSet::kRenewInterval / 2);
  }
  EXPECT_EQ(memory_.reserved.size(), 2 * count);
  End(0);
  EXPECT_EQ(memory_.released.size(), count);
}

// Guards against memory that helpers hold until the deadline because their
// request's target has lost power, and against a stream that waits for it for
// as long as a sound target may be silent.
TEST_F(ForwardRequestTest, MemoryIsNotRenewedForATargetWithoutPower) {
  Send("/stream/", {{"prompt", "1000000"}});
  ASSERT_EQ(connector_.calls.size(), 1u);
  const size_t count = memory_.reserved.size();
  ASSERT_GT(count, 0u);
  TakeAllRetries();
  timers_.Advance(ReservationSet::kRenewInterval);
  EXPECT_EQ(memory_.reserved.size(), 2 * count);
  connector_.unreachable.insert(call(0).spec.address);
  timers_.Advance(2 * ReservationSet::kReservationTtl);
  EXPECT_EQ(memory_.reserved.size(), 2 * count);
  EXPECT_EQ(exchange_->ends, 0);
}

TEST_F(ForwardRequestTest, UnreachableTargetIsLeftForAnother) {
  // With memory for two such prompts, and so slow that the target would not
  // count as silent yet.
  AddTargets("llm", 32, 100'000);
  Send("/stream/", {{"prompt", "1000000"}});
  ASSERT_EQ(connector_.calls.size(), 1u);
  connector_.unreachable.insert(call(0).spec.address);
  timers_.Advance(ReservationSet::kRenewInterval);
  EXPECT_EQ(connector_.calls.size(), 1u);  // One packet may be lost.
  timers_.Advance(ReservationSet::kProbeRetryInterval);
  ASSERT_EQ(connector_.calls.size(), 2u);
  EXPECT_FALSE(call(0).stopped);
  EXPECT_NE(call(1).spec.address, call(0).spec.address);
  Head(1);
  Body(1, "id: 0\n\n");
  EXPECT_TRUE(call(0).stopped);
}

// Guards against memory that lapses under a sound target because probes failed
// for a moment.
TEST_F(ForwardRequestTest, MemoryIsRenewedOnceTheTargetIsReachableAgain) {
  Send("/stream/", {{"prompt", "1000000"}});
  const size_t count = memory_.reserved.size();
  TakeAllRetries();
  connector_.unreachable.insert(call(0).spec.address);
  timers_.Advance(ReservationSet::kReservationTtl - milliseconds(400));
  EXPECT_EQ(memory_.reserved.size(), count);
  connector_.unreachable.clear();
  timers_.Advance(milliseconds(399));
  EXPECT_EQ(memory_.reserved.size(), 2 * count);
}

// Guards against a request that waits for its deadline because a helper whose
// memory it needs is not usable any more.
TEST_F(ForwardRequestTest, OversizePromptIsPlacedAgainWithoutAHelper) {
  for (const char* it : {"llm1", "llm2"}) {
    context_.directory.Remove(TargetId(it), 2, false, timers_.Now());
  }
  Send("/stream/", {{"prompt", "1000000"}});
  EXPECT_TRUE(connector_.calls.empty());
  EXPECT_TRUE(memory_.reserved.empty());
  AddTargets("llm", 4);
  timers_.Advance(milliseconds(200));
  EXPECT_EQ(connector_.calls.size(), 1u);
}

// Guards against sending a prompt without the memory that it needs.
TEST_F(ForwardRequestTest, OversizePromptIsNotSentWithoutReservations) {
  memory_.accepts = false;
  Send("/stream/", {{"prompt", "1000000"}});
  EXPECT_TRUE(connector_.calls.empty());
  EXPECT_EQ(memory_.released.size(), memory_.reserved.size());
  memory_.accepts = true;
  timers_.Advance(milliseconds(200));
  EXPECT_EQ(connector_.calls.size(), 1u);
}

// Guards against a stopping entry that accepts requests it cannot finish, and
// against one that rejects requests while the load balancer still sends all
// traffic to it.
TEST_F(ForwardRequestTest, StoppingEntryAcceptsRequestsItCanFinish) {
  context_.accepts_all_until = timers_.Now() + milliseconds(100);
  context_.stop_deadline = timers_.Now() + std::chrono::seconds(2);
  Send("/once/");
  EXPECT_EQ(connector_.calls.size(), 1u);
  timers_.Advance(milliseconds(100));
  Send("/once/", {{"time-left", "1000"}});
  EXPECT_EQ(connector_.calls.size(), 2u);
  Send("/once/", {{"time-left", "5000"}});
  EXPECT_EQ(connector_.calls.size(), 2u);
  EXPECT_EQ(exchange_->status, 503u);
}

// Guards against a stopping entry that takes a stream which may run once on an
// estimate: it could only be aborted at the end of the stop.
TEST_F(ForwardRequestTest, StoppingEntryTakesOnlyStreamsThatEndInTime) {
  context_.stop_deadline = timers_.Now() + std::chrono::seconds(5);
  Send("/chat/", {{"output", "10"}, {"time-left", "6000"}});
  EXPECT_TRUE(connector_.calls.empty());
  EXPECT_EQ(exchange_->status, 503u);
  EXPECT_NE(FindHeader(exchange_->headers, "Retry-After"), nullptr);
  Send("/chat/", {{"output", "10"}, {"time-left", "4900"}});
  EXPECT_EQ(connector_.calls.size(), 1u);
}

// Guards against a stopping entry that takes a stream on an estimate of its
// target's pace: a sound target may be slower, or silent, and the stream is
// cut.
TEST_F(ForwardRequestTest, StoppingEntryEstimatesNoPaceOfAStream) {
  context_.stop_deadline = timers_.Now() + std::chrono::seconds(5);
  Send("/stream/", {{"output", "1"}, {"prompt", "1"}, {"time-left", "5000"}});
  EXPECT_TRUE(connector_.calls.empty());
  EXPECT_EQ(exchange_->status, 503u);
  EXPECT_NE(FindHeader(exchange_->headers, "Retry-After"), nullptr);
  EXPECT_EQ(EndOpenRequests(context_), 0u);
  Send("/stream/", {{"output", "1000"}, {"time-left", "4900"}});
  EXPECT_EQ(connector_.calls.size(), 1u);
}

// Guards against requests that wait in a planned stop although they can no
// longer be sent.
TEST_F(ForwardRequestTest, WaitingRequestsAreRefusedOnceTheyAreTooLate) {
  context_.stop_deadline = timers_.Now() + std::chrono::seconds(4);
  context_.accepts_all_until = timers_.Now() + std::chrono::seconds(1);
  memory_.defers = true;
  const HeaderList large = {{"prompt", "1000000"}};
  Send("/stream/", {large[0], {"time-left", "3900"}});
  Send("/stream/", large);
  const size_t reserved = memory_.reserved.size();
  Send("/stream/");
  ASSERT_EQ(connector_.calls.size(), 1u);
  EXPECT_EQ(RefuseLateRequests(context_), 0u);
  timers_.Advance(std::chrono::seconds(1));
  EXPECT_EQ(RefuseLateRequests(context_), 1u);
  EXPECT_EQ(exchanges_[0]->ends, 0);
  EXPECT_EQ(exchanges_[1]->status, 503u);
  EXPECT_NE(FindHeader(exchanges_[1]->headers, "Retry-After"), nullptr);
  EXPECT_EQ(exchanges_[2]->ends, 0);
  EXPECT_LT(memory_.released.size(), reserved);
  exchanges_[0]->on_gone();
}

// Guards against an order that is sent late in a planned stop because it has
// waited for a target since before.
TEST_F(ForwardRequestTest, OrderThatWaitedTooLongInTheStopIsNotSent) {
  TargetSignals refusal;
  refusal.back_off = milliseconds(500);
  for (int i = 0; i < 3; ++i) {
    placement_.OnResponse(TargetId("orders" + std::to_string(i)), 0, refusal,
                          false, timers_.Now(), timers_.Now());
  }
  context_.stop_deadline = timers_.Now() + std::chrono::seconds(4);
  context_.accepts_all_until = timers_.Now() + milliseconds(100);
  Send("/once/", {{"time-left", "3900"}});
  Send("/once/");
  timers_.Advance(milliseconds(900));
  EXPECT_EQ(connector_.calls.size(), 1u);
  EXPECT_EQ(exchanges_[0]->ends, 0);
  EXPECT_EQ(exchanges_[1]->status, 503u);
}

// Guards against a stopping entry that sends a request which has waited until
// it can no longer finish.
TEST_F(ForwardRequestTest, RequestThatWaitedTooLongInTheStopIsNotSent) {
  context_.stop_deadline = timers_.Now() + std::chrono::seconds(4);
  context_.accepts_all_until = timers_.Now() + std::chrono::seconds(1);
  memory_.defers = true;
  Send("/stream/", {{"prompt", "1000000"}, {"output", "10"}});
  const size_t count = memory_.reserved.size();
  ASSERT_GT(count, 0u);
  timers_.Advance(std::chrono::seconds(2));
  const auto deferred = std::exchange(memory_.deferred, {});
  for (const auto& it : deferred) {
    it(true);
  }
  EXPECT_TRUE(connector_.calls.empty());
  EXPECT_EQ(exchange_->status, 503u);
  EXPECT_EQ(memory_.released.size(), count);
}

// Guards against a stopping entry that repeats a stream which can no longer
// finish. Its caller hears "not run" only if a target has said so.
TEST_F(ForwardRequestTest, StreamIsNotRepeatedTooLateInTheStop) {
  context_.stop_deadline = timers_.Now() + milliseconds(2'500);
  context_.accepts_all_until = timers_.Now() + milliseconds(100);
  Send("/stream/", {{"time-left", "2400"}});
  Send("/stream/", {{"output", "10"}});
  Send("/stream/", {{"output", "10"}});
  timers_.Advance(milliseconds(150));
  End(0, ForwardCallResult::kBroken);
  ASSERT_EQ(connector_.calls.size(), 4u);
  Head(1, 503, {{"not-run", "1"}});
  End(1);
  End(2, ForwardCallResult::kBroken);
  EXPECT_EQ(connector_.calls.size(), 4u);
  EXPECT_EQ(exchanges_[0]->ends, 0);
  EXPECT_EQ(exchanges_[1]->status, 503u);
  EXPECT_EQ(exchanges_[2]->status, 502u);
}

// Guards against a planned stop that ends requests in progress without an
// answer. A request that was not sent is refused; one that may have run is not
// reported as refused.
TEST_F(ForwardRequestTest, EndOfTheStopAnswersOpenRequests) {
  Send("/once/");
  Send("/read/");
  Send("/stream/");
  Send("/stream/");
  Head(3);
  Body(3, "id: 0\n\n");
  memory_.defers = true;
  Send("/stream/", {{"prompt", "1000000"}});
  ASSERT_EQ(connector_.calls.size(), 4u);
  EXPECT_EQ(EndOpenRequests(context_), 5u);
  for (size_t i = 0; i < 3; ++i) {
    EXPECT_TRUE(call(i).stopped);
    EXPECT_EQ(exchanges_[i]->status, 502u);
  }
  EXPECT_TRUE(exchanges_[3]->aborted);
  EXPECT_EQ(exchanges_[4]->status, 503u);
  EXPECT_NE(FindHeader(exchanges_[4]->headers, "Retry-After"), nullptr);
  for (const auto& it : exchanges_) {
    EXPECT_EQ(it->ends, 1);
  }
  memory_.deferred.front()(true);
  timers_.Advance(std::chrono::seconds(10));
  EXPECT_EQ(connector_.calls.size(), 4u);
  EXPECT_EQ(EndOpenRequests(context_), 0u);
}

// Guards against a request that is refused as not run, for want of memory,
// after it was sent, and against one that is sent after its refusal.
TEST_F(ForwardRequestTest, OnlyAnUnsentRequestIsShed) {
  Send("/once/");
  EXPECT_FALSE(exchanges_[0]->on_shed());
  EXPECT_EQ(exchanges_[0]->ends, 0);
  // One that was rejected by its target has been sent as well.
  Head(0, 503, {{"not-run", "1"}});
  EXPECT_FALSE(exchanges_[0]->on_shed());
  memory_.defers = true;
  Send("/stream/", {{"prompt", "1000000"}});
  const size_t calls = connector_.calls.size();
  EXPECT_TRUE(exchanges_[1]->on_shed());
  EXPECT_EQ(exchanges_[1]->status, 503u);
  EXPECT_NE(FindHeader(exchanges_[1]->headers, "Retry-After"), nullptr);
  memory_.deferred.front()(true);
  timers_.Advance(std::chrono::seconds(10));
  EXPECT_EQ(connector_.calls.size(), calls);
  EXPECT_EQ(exchanges_[1]->ends, 1);
  EXPECT_TRUE(exchanges_[1]->on_shed());
}

// Guards against a target whose answer has no end: it filled the memory of an
// entry. The work may have run, so the caller hears neither success nor "not
// run".
TEST_F(ForwardRequestTest, EndlessBodyFailsTheAttempt) {
  context_.response_limits.max_response = Bytes(10'000);
  Send("/once/1");
  Head(0);
  const std::string part(1'000, 'x');
  for (int i = 0; i < 11 && !call(0).stopped; ++i) {
    Body(0, part);
  }
  EXPECT_TRUE(call(0).stopped);
  EXPECT_EQ(connector_.calls.size(), 1u);
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_EQ(exchange_->status, 502u);
  EXPECT_EQ(exchange_->text, "");
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
}

// The same for work that may be repeated: another target answers.
TEST_F(ForwardRequestTest, EndlessBodyOfARepeatableRequestMovesOn) {
  context_.response_limits.max_response = Bytes(10'000);
  Send("/read/1");
  Head(0);
  Body(0, std::string(10'001, 'x'));
  ASSERT_EQ(connector_.calls.size(), 2u);
  Head(1);
  Body(1, "whole");
  End(1);
  EXPECT_EQ(exchange_->status, 200u);
  EXPECT_EQ(exchange_->text, "whole");
}

// Guards against many answers that together fill the memory though each of them
// is within its limit.
TEST_F(ForwardRequestTest, BufferedBodiesAreLimitedTogether) {
  context_.response_limits.max_response = Bytes(10'000);
  context_.response_limits.max_buffered_responses = Bytes(50'000);
  std::vector<std::shared_ptr<FakeExchange>> exchanges;
  for (size_t i = 0; i < 50; ++i) {
    Send("/once/1");
    exchanges.push_back(exchange_);
    Head(i);
    Body(i, std::string(9'000, 'x'));
    EXPECT_LE(context_.buffered_response_bytes, 50'000u);
  }
  for (size_t i = 0; i < 50; ++i) {
    if (!call(i).stopped) {
      End(i);
    }
    EXPECT_EQ(exchanges[i]->ends, 1);
  }
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
  EXPECT_EQ(exchanges.front()->status, 200u);
}

// Guards against many events without end that together fill the memory though
// each of them is within its limit.
TEST_F(ForwardRequestTest, IncompleteEventsAreLimitedTogether) {
  AddTargets("llm", 100);  // A target whose response fails is spared.
  context_.response_limits.max_buffered_responses = Bytes(50'000);
  const std::string event = "id: 0\ndata: " + std::string(9'000, 'x');
  for (size_t i = 0; i < 50; ++i) {
    Send("/chat/");
    Head(i);
    Body(i, event);
    EXPECT_LE(context_.buffered_response_bytes, 50'000u);
  }
  EXPECT_GT(context_.buffered_response_bytes, 30'000u);
  for (size_t i = 0; i < 50; ++i) {
    if (!call(i).stopped) {
      Body(i, "\n\n");
      End(i);
    }
    EXPECT_EQ(exchanges_[i]->ends, 1);
  }
  EXPECT_EQ(exchanges_.front()->text, event + "\n\n");
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
}

// Guards against large responses, which may have no end, that take the memory
// of small ones: the largest gives way.
TEST_F(ForwardRequestTest, LargestResponseGivesWayToSmallOnes) {
  context_.response_limits.max_buffered_responses = Bytes(50'000);
  Send("/chat/");
  Head(0);
  Body(0, "id: 0\ndata: " + std::string(30'000, 'x'));
  Send("/once/");
  Head(1);
  Body(1, std::string(19'000, 'x'));
  Send("/once/");
  Head(2);
  Body(2, std::string(1'000, 'x'));
  EXPECT_TRUE(call(0).stopped);
  EXPECT_EQ(exchanges_[0]->status, 502u);
  End(1);
  End(2);
  EXPECT_EQ(exchanges_[1]->status, 200u);
  EXPECT_EQ(exchanges_[2]->status, 200u);
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
}

// Guards against a request that is answered twice because it loses its own
// attempt when room is made for another one of it.
TEST_F(ForwardRequestTest, RoomIsMadeWithinOneRequest) {
  context_.response_limits.max_buffered_responses = Bytes(50'000);
  Send("/read/");
  Head(0);
  Body(0, std::string(40'000, 'x'));
  timers_.Advance(milliseconds(250));
  ASSERT_EQ(connector_.calls.size(), 2u);
  Head(1);
  Body(1, std::string(20'000, 'x'));
  EXPECT_TRUE(call(0).stopped);
  End(1);
  EXPECT_EQ(exchange_->status, 200u);
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
}

// Guards against responses of attempts that have ended and still count.
TEST_F(ForwardRequestTest, EndedAttemptsHoldNothing) {
  Send("/read/");
  Head(0);
  Body(0, std::string(2'000, 'x'));
  timers_.Advance(milliseconds(250));
  Head(1);
  Body(1, std::string(1'000, 'x'));
  EXPECT_EQ(context_.buffered_response_bytes, 3'000u);
  End(1);
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
  Send("/stream/");
  Head(2);
  Body(2, "id: 0\ndata: part");
  timers_.Advance(std::chrono::seconds(1));
  ASSERT_EQ(connector_.calls.size(), 4u);
  Head(3);
  Body(3, "id: 0\ndata: whole\n\n");
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
  EXPECT_TRUE(call(2).stopped);
}

// Guards against an error answer that is counted after it has been delivered.
TEST_F(ForwardRequestTest, ErrorBodyIsReleasedWithTheRequest) {
  Send("/once/1");
  Head(0, 500);
  Body(0, "failed");
  EXPECT_EQ(context_.buffered_response_bytes, 6u);
  End(0);
  EXPECT_EQ(exchange_->text, "failed");
  EXPECT_EQ(context_.buffered_response_bytes, 0u);
}

// Guards against a stalled target that keeps its stream by sending comments.
TEST_F(ForwardRequestTest, CommentsAreNoProgress) {
  Send("/stream/1");
  Head(0);
  Body(0, "id: 0\ndata: a\n\n");
  for (int i = 0; i < 10 && connector_.calls.size() < 2; ++i) {
    timers_.Advance(milliseconds(150));
    Body(0, ": ping\n\n");
  }
  ASSERT_EQ(connector_.calls.size(), 2u);
  Body(0, ": ping\n\n");
  Head(1);
  Body(1, "id: 1\ndata: b\n\n");
  EXPECT_TRUE(call(0).stopped);
  End(1);
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
}

// Guards against a sound stream that is cut because its pauses are long: each
// is within what the route allows.
TEST_F(ForwardRequestTest, SlowButSoundStreamIsNotCut) {
  for (const int gap_ms : {200, 250, 500, 600, 800, 1'000}) {
    auto config = std::make_shared<RouteConfig>(*context_.config);
    ++config->version;
    for (Route& it : config->routes) {
      it.gap_target = milliseconds(gap_ms);
    }
    context_.config = config;
    Send("/stream/1");
    const size_t i = connector_.calls.size() - 1;
    Head(i);
    for (int event = 0; event < 8; ++event) {
      Body(i, "id: " + std::to_string(event) + "\ndata: a\n\n");
      // One pass of a busy engine beyond the pause of the route.
      timers_.Advance(milliseconds(gap_ms + 90));
    }
    EXPECT_FALSE(call(i).stopped) << gap_ms;
    End(i);
    EXPECT_EQ(exchange_->ends, 1);
    EXPECT_FALSE(exchange_->aborted);
  }
}

// Guards against a silent stream that is cut though the retry budget allows no
// other attempt: the target may be slow, and its answer is still due.
TEST_F(ForwardRequestTest, SilentStreamIsKeptWithoutARetry) {
  Send("/stream/1");
  TakeAllRetries();
  Head(0);
  Body(0, "id: 0\ndata: a\n\n");
  timers_.Advance(std::chrono::seconds(3));
  EXPECT_FALSE(call(0).stopped);
  EXPECT_EQ(exchange_->ends, 0);
  Body(0, "id: 1\ndata: b\n\n");
  End(0);
  EXPECT_FALSE(exchange_->aborted);
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
}

// Guards against slow engines that nobody hears of: the time to the first event
// must reach placement, and once for each attempt.
TEST_F(ForwardRequestTest, FirstEventStatesItsTime) {
  Send("/stream/1");
  Head(0);
  timers_.Advance(milliseconds(20));
  EXPECT_EQ(placement_.pace_counters().samples, 0U);
  Body(0, "id: 0\ndata: a\n\n");
  Body(0, "id: 1\ndata: b\n\n");
  EXPECT_EQ(placement_.pace_counters().samples, 1U);
}

// Guards against a stalled stream that never ends: without a further attempt it
// ends at the deadline.
TEST_F(ForwardRequestTest, StalledStreamEndsAtTheDeadline) {
  Send("/stream/1");
  TakeAllRetries();
  Head(0);
  Body(0, "id: 0\ndata: a\n\n");
  for (int i = 0; i < 100; ++i) {
    timers_.Advance(milliseconds(100));
    if (!call(0).stopped) {
      Body(0, ":\n\n");
    }
  }
  EXPECT_TRUE(call(0).stopped);
  EXPECT_TRUE(exchange_->aborted);
}

// Guards against output that grows without a limit for a caller that reads
// slowly, and against cutting this caller.
TEST_F(ForwardRequestTest, SlowCallerPausesTheTarget) {
  Send("/stream/1");
  Head(0);
  exchange_->congested = true;
  Body(0, "id: 0\ndata: a\n\n");
  EXPECT_TRUE(call(0).paused);
  // The target is not silent: it is not read.
  timers_.Advance(std::chrono::seconds(2));
  EXPECT_FALSE(call(0).stopped);
  exchange_->congested = false;
  exchange_->on_drained();
  EXPECT_FALSE(call(0).paused);
  Body(0, "id: 1\ndata: b\n\n");
  End(0);
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
}

// Guards against an exception of a library that ends the process. Only the
// request fails, and what may have run is not reported as not run.
TEST_F(ForwardRequestTest, ExceptionEndsOneRequest) {
  Send("/once/1");
  const std::shared_ptr<FakeExchange> failing = exchange_;
  connector_.throws = true;
  Send("/once/2");
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_EQ(exchange_->status, 503u);
  connector_.throws = false;
  Head(0);
  Body(0, "whole");
  End(0);
  EXPECT_EQ(failing->status, 200u);
}

// Guards against a request without an answer because it could not be parsed.
TEST_F(ForwardRequestTest, RequestThatCannotStartIsRefused) {
  protocol_.throws = true;
  Send("/once/1");
  EXPECT_EQ(exchange_->status, 503u);
  EXPECT_NE(FindHeader(exchange_->headers, "Retry-After"), nullptr);
  EXPECT_TRUE(connector_.calls.empty());
}

// Guards against a call that is reported as not run although its target has
// answered: there was no memory for the response, and enough for the refusal.
TEST_F(ForwardRequestTest, AnswerThatCannotBeSentIsNotReportedAsNotRun) {
  Send("/once/1");
  exchange_->throws = true;
  exchange_->throws_once = true;
  Head(0);
  Body(0, "whole");
  End(0);
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_EQ(exchange_->status, 502u);
}

// Guards against a request that stays open for ever because its refusal could
// not be sent.
TEST_F(ForwardRequestTest, RequestWhoseRefusalFailsIsAborted) {
  exchange_throws_ = true;
  Send("/unknown/1");
  EXPECT_TRUE(exchange_->aborted);
}

// Guards against a request that is sent after its caller's deadline: the
// process was paused between the placement and the reservations' replies.
TEST_F(ForwardRequestTest, NothingIsSentAfterThePauseOfTheProcess) {
  memory_.defers = true;
  Send("/stream/1", {{"prompt", "1000000"}});
  ASSERT_FALSE(memory_.deferred.empty());
  timers_.SkipTo(timers_.Now() + std::chrono::seconds(11));
  for (const auto& it : std::exchange(memory_.deferred, {})) {
    it(true);
  }
  EXPECT_TRUE(connector_.calls.empty());
}

// Guards against a message to the leader for each event of a stream, which
// takes most of its processor time.
TEST_F(ForwardRequestTest, LeaderIsToldOfTheFirstEventOnly) {
  const InstanceId agent("agent");
  placement_.SetAgents({{agent, "", DataCentreId("dc")}}, timers_.Now());
  placement_.OnMessage({{agent, Incarnation(1)}, {}, {}, Heartbeat{}},
                       timers_.Now());
  Send("/stream/");
  PlacementReply reply;
  reply.number = std::get<PlacementAsk>(bus_.sent.back()).number;
  reply.verdict = PlacementVerdict::kPlaced;
  reply.target = TargetId("llm0");
  placement_.OnMessage({{agent, Incarnation(1)}, {}, {}, reply}, timers_.Now());
  bus_.sent.clear();
  Head(0);
  for (int i = 0; i < 5; ++i) {
    Body(0, "id: " + std::to_string(i) + "\ndata: a\n\n");
  }
  EXPECT_EQ(bus_.sent.size(), 1u);
  End(0);
  EXPECT_EQ(bus_.sent.size(), 2u);
}

// Guards against a stream that looks complete although its target crashed: an
// answer with neither a length nor chunks ends with its connection, and a
// resumed one may end before its first event.
TEST_F(ForwardRequestTest, ResumedStreamThatEndsWithoutLengthOrEventIsBroken) {
  Send("/stream/");
  Head(0);
  Body(0, "id: 0\ndata: a\n\n");
  End(0, ForwardCallResult::kBroken);
  ASSERT_EQ(connector_.calls.size(), 2u);
  Head(1);
  End(1);
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_TRUE(exchange_->aborted);
}

// Guards against an abort of a resumed stream that had no further event.
TEST_F(ForwardRequestTest, ResumedStreamWithoutFurtherEventsIsComplete) {
  Send("/stream/");
  Head(0);
  Body(0, "id: 0\ndata: a\n\n");
  End(0, ForwardCallResult::kBroken);
  Head(1, 200, {{"Transfer-Encoding", "chunked"}});
  End(1);
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_FALSE(exchange_->aborted);
}

// Guards against a stream without a length whose end inside an event is passed
// on as complete.
TEST_F(ForwardRequestTest, StreamThatEndsInsideAnEventIsResumed) {
  Send("/stream/");
  Head(0);
  Body(0, "id: 0\ndata: a\n\nid: 1\nda");
  End(0);
  ASSERT_EQ(connector_.calls.size(), 2u);
  EXPECT_EQ(*FindHeader(call(1).spec.headers, "last-event"), "0");
  Head(1);
  Body(1, "id: 1\ndata: b\n\n");
  End(1);
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\nid: 1\ndata: b\n\n");
  EXPECT_FALSE(exchange_->aborted);
}

// Guards against 502 for a caller that resumes behind the last event, and
// against sound targets that count as crashed for it.
TEST_F(ForwardRequestTest, ResumeBehindTheLastEventIsComplete) {
  Send("/stream/", {{"last-event", "7"}});
  Head(0, 200, {{"Transfer-Encoding", "chunked"}});
  End(0);
  EXPECT_EQ(connector_.calls.size(), 1u);
  EXPECT_EQ(exchange_->status, 200u);
  EXPECT_EQ(exchange_->ends, 1);
  // The end of a connection marks no end here.
  Send("/stream/", {{"last-event", "7"}});
  Head(1);
  End(1);
  EXPECT_EQ(connector_.calls.size(), 3u);
}

// Guards against a refusal of another attempt, which a faulty target wrote once
// more: the request that it seems to refuse may have run.
TEST_F(ForwardRequestTest, RefusalOfAnotherAttemptProvesNothing) {
  Send("/once/");
  call(0).handlers.on_head(503, {{"attempt", "earlier"}, {"not-run", "1"}});
  if (!call(0).stopped) {
    End(0);
  }
  EXPECT_EQ(connector_.calls.size(), 1u);
  EXPECT_EQ(exchange_->status, 502u);
}

class ErrorAfterBrokenStreamTest
    : public ForwardRequestTest,
      public testing::WithParamInterface<uint32_t> {};

INSTANTIATE_TEST_SUITE_P(Statuses,
                         ErrorAfterBrokenStreamTest,
                         testing::Values(204, 302, 400, 404, 429, 500, 503));

// Guards against the error of the target at which a broken stream resumes: its
// text, or its whole head, was found in the middle of the caller's stream, or
// the stream ended as if it were complete.
TEST_P(ErrorAfterBrokenStreamTest, StreamIsAborted) {
  Send("/stream/");
  Head(0);
  Body(0, "id: 0\ndata: a\n\n");
  End(0, ForwardCallResult::kBroken);
  ASSERT_EQ(connector_.calls.size(), 2u);
  Head(1, GetParam(), {{"Content-Length", "15"}});
  if (!call(1).stopped) {
    Body(1, "no such thing\n\n");
    End(1);
  }
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\n");
  EXPECT_EQ(exchange_->status, 200u);
  EXPECT_EQ(exchange_->ends, 1);
  EXPECT_TRUE(exchange_->aborted);
}

// Guards against the same with an error that has the status of a success.
TEST_F(ForwardRequestTest, TextAfterBrokenStreamIsNotAppended) {
  Send("/stream/");
  Head(0, 200, {{"Content-Type", "text/event-stream"}});
  Body(0, "id: 0\ndata: a\n\n");
  End(0, ForwardCallResult::kBroken);
  ASSERT_EQ(connector_.calls.size(), 2u);
  Head(1, 200, {{"Content-Type", "text/plain"}, {"Content-Length", "7"}});
  if (!call(1).stopped) {
    Body(1, "error\n\n");
    End(1);
  }
  EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\n");
  EXPECT_TRUE(exchange_->aborted);
}

// --- What targets say of themselves ---

// Guards against requests to a target that has said that it leaves, of both
// kinds of services: new ones, retries and resumed streams.
TEST_F(ForwardRequestTest, LeavingTargetGetsNoFurtherRequest) {
  for (const char* path : {"/stream/", "/read/"}) {
    Send(path);
    const std::string leaving = connector_.calls.back()->spec.address;
    const size_t first = connector_.calls.size() - 1;
    Head(first, 200, {{"leaving", "1"}});
    Body(first, "id: 0\ndata: a\n\n");
    End(first, ForwardCallResult::kBroken);
    for (int i = 0; i < 20; ++i) {
      EXPECT_NE(connector_.calls.back()->spec.address, leaving);
      End(connector_.calls.size() - 1, ForwardCallResult::kNotSent);
      timers_.Advance(milliseconds(700));
      Send(path);
    }
  }
}

// Guards against requests to a target that has turned one away and asked for a
// pause, and against a target that gets none after the pause.
TEST_F(ForwardRequestTest, BackOffOfATargetIsKept) {
  for (const char* path : {"/stream/", "/once/"}) {
    Send(path);
    const std::string refusing = connector_.calls.back()->spec.address;
    const size_t first = connector_.calls.size() - 1;
    Head(first, 503, {{"not-run", "1"}, {"back-off-ms", "3000"}});
    End(first);
    std::set<std::string> used;
    for (int i = 0; i < 29; ++i) {
      EXPECT_NE(connector_.calls.back()->spec.address, refusing);
      exchange_->on_gone();
      timers_.Advance(milliseconds(100));
      Send(path);
    }
    exchange_->on_gone();
    timers_.Advance(milliseconds(200));
    for (int i = 0; i < 40; ++i) {
      Send(path);
      used.insert(connector_.calls.back()->spec.address);
    }
    EXPECT_TRUE(used.contains(refusing)) << path;
  }
}

// Guards against a limit that retries and resumed streams exceed, without an
// agent: the entry is the only one and uses a twentieth of the rate of engines.
TEST_F(ForwardRequestTest, RetriesCountTowardsTheLimit) {
  for (int i = 0; i < 200; ++i) {
    Send("/read/");
    const size_t call = connector_.calls.size() - 1;
    Head(call, 200, {{"limit", "2"}});
    End(call,
        i % 2 == 0 ? ForwardCallResult::kComplete : ForwardCallResult::kBroken);
    timers_.Advance(milliseconds(100));
  }
  // 20 s, three targets, all limited after a few calls; the number of entries
  // is not known.
  EXPECT_LE(connector_.calls.size(), 15u);
}

// Guards against engines and leaders that do not learn a priority, against one
// that takes precedence over that of the account, and against headers where
// priorities do not differ.
TEST_F(ForwardRequestTest, PriorityReachesEnginesOfPrioritizedServices) {
  auto config = std::make_shared<RouteConfig>(*context_.config);
  config->routes[0].priority = Priority(3);
  config->keys["urgent"] = {ClientAccountId("urgent"), {}, Priority(1)};
  const auto sent = [&](const char* path, const char* key) {
    Send(path, {{"key", key}});
    const std::string* text =
        FindHeader(connector_.calls.back()->spec.headers, "priority");
    return text == nullptr ? "none" : *text;
  };
  context_.config = config;
  EXPECT_EQ(sent("/stream/", "k"), "none");
  config = std::make_shared<RouteConfig>(*config);
  config->prioritized_services = {ServiceId("llm"), ServiceId("orders")};
  context_.config = config;
  EXPECT_EQ(sent("/stream/", "k"), "3");
  EXPECT_EQ(sent("/stream/", "urgent"), "1");
  EXPECT_EQ(sent("/once/", "urgent"), "none");
  Head(3);
  End(3);
  EXPECT_NE(metrics_.ExpositionText().find(
                "burdockhatch_requests_by_priority_total{service=\"orders\","
                "priority=\"1\",result=\"served\"} 1"),
            std::string::npos);
}

// Guards against less urgent requests of plain services that go first when a
// target takes a request again, and against their starvation: two callers of
// each priority wait for targets that all state a limit, about ten requests a
// second for this entry.
TEST_F(ForwardRequestTest, RateOfPlainTargetsGoesToTheMoreUrgent) {
  auto config = std::make_shared<RouteConfig>(*context_.config);
  config->routes[2].priority = Priority(7);
  config->routes[3].priority = Priority(2);
  config->prioritized_services = {ServiceId("orders")};
  context_.config = config;
  for (size_t i = 0; i < 3; ++i) {
    Send("/once/");
    Head(i, 200, {{"limit", "4000"}});
    End(i);
  }
  for (const char* path : {"/once/w", "/once/w", "/read/w", "/read/w"}) {
    Send(path);
  }
  ASSERT_EQ(connector_.calls.size(), 3u);
  timers_.Advance(milliseconds(950));
  std::vector<std::string> order;
  for (size_t i = 3; i < connector_.calls.size(); ++i) {
    order.push_back(call(i).spec.path);
  }
  EXPECT_EQ(order, (std::vector<std::string>{"/read/w", "/read/w", "/once/w",
                                             "/once/w"}));
}

// Guards against helpers that leave: a part of a prompt is load as well.
TEST_F(ForwardRequestTest, LeavingTargetHelpsNoPrompt) {
  AddTargets("llm", 8);
  Send("/stream/", {{"prompt", "1000000"}});
  ASSERT_FALSE(connector_.calls.empty());
  TargetSignals leaving;
  leaving.is_leaving = true;
  placement_.OnResponse(TargetId("llm3"), 0, leaving, true, timers_.Now(),
                        timers_.Now());
  const std::string address = "llm3:80";
  for (int i = 0; i < 3; ++i) {
    exchange_->on_gone();
    const size_t calls = connector_.calls.size();
    Send("/stream/", {{"prompt", "1000000"}});
    ASSERT_EQ(connector_.calls.size(), calls + 1);
    EXPECT_NE(connector_.calls.back()->spec.address, address);
    for (const Header& it : connector_.calls.back()->spec.headers) {
      EXPECT_FALSE(it.value.starts_with(address)) << it.value;
    }
  }
}

// Guards against callers that wait although all targets have asked for a pause,
// and against a time to come back that is not theirs.
TEST_F(ForwardRequestTest, CallerHearsAtOnceWhenAllTargetsWantAPause) {
  TargetSignals refusal;
  refusal.back_off = std::chrono::seconds(4);
  for (int i = 0; i < 3; ++i) {
    placement_.OnResponse(TargetId("orders" + std::to_string(i)), 0, refusal,
                          false, timers_.Now(), timers_.Now());
  }
  Send("/once/");
  EXPECT_EQ(exchange_->status, 503u);
  ASSERT_NE(FindHeader(exchange_->headers, "Retry-After"), nullptr);
  const double wait = std::stod(*FindHeader(exchange_->headers, "Retry-After"));
  EXPECT_GE(wait, 4);
  EXPECT_LE(wait, 4.5);
  EXPECT_TRUE(connector_.calls.empty());
}

// Guards against one part of prompts that crashes target after target: each
// request with it, new or repeated, was sent to another one. Healthy requests
// with the same API key and first part are served.
TEST_F(ForwardRequestTest, StopsSendingPartThatCrashesTargets) {
  AddTargets("llm", 60);
  constexpr size_t kMaxCrashes = 5;
  constexpr size_t kMaxSendsAfterThem = 3;
  size_t crashes = 0;
  for (int i = 0; i < 20; ++i) {
    timers_.Advance(milliseconds(500));
    size_t sent = connector_.calls.size();
    Send("/stream/", {{"part", "poison"}});
    for (; sent < connector_.calls.size(); ++sent) {
      Head(sent);
      End(sent, ForwardCallResult::kBroken);
      ++crashes;
    }
    Send("/stream/", {{"part", "healthy"}});
    ASSERT_EQ(connector_.calls.size(), sent + 1);
    Head(sent);
    Body(sent, "id: 0\ndata: a\n\n");
    End(sent);
    EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\n");
  }
  EXPECT_LE(crashes, kMaxCrashes + kMaxSendsAfterThem);
}

// Guards against a request that takes down target after target as its client
// comes back, and against refusals of those that share its answered parts.
TEST_F(ForwardRequestTest, RequestThatCrashesTargetsIsKnownByItsOwnPart) {
  AddTargets("llm", 60);
  constexpr size_t kMaxCrashesPerRequest = 2;
  int sound = 0;
  const auto answer_sound = [&] {
    const size_t sent = connector_.calls.size();
    Send("/stream/",
         {{"part", "document"}, {"own", "sound" + std::to_string(sound++)}});
    ASSERT_EQ(connector_.calls.size(), sent + 1);
    Head(sent);
    Body(sent, "id: 0\ndata: a\n\n");
    End(sent);
    EXPECT_EQ(exchange_->text, "id: 0\ndata: a\n\n");
  };
  answer_sound();
  for (int request = 0; request < 3; ++request) {
    const std::string own = "deadly" + std::to_string(request);
    size_t crashes = 0;
    for (int attempt = 0; attempt < 10; ++attempt) {
      timers_.Advance(milliseconds(300));
      size_t sent = connector_.calls.size();
      Send("/stream/", {{"part", "document"}, {"own", own}});
      for (; sent < connector_.calls.size(); ++sent) {
        Head(sent);
        End(sent, ForwardCallResult::kBroken);
        ++crashes;
      }
      if (attempt % 3 == 2) {
        answer_sound();
      }
    }
    EXPECT_LE(crashes, kMaxCrashesPerRequest);
    EXPECT_EQ(exchange_->status, 503u);
    EXPECT_NE(exchange_->text.find("part_blocked"), std::string::npos);
    answer_sound();
  }
}

// The load: requests that reach an entry right after its start. Guards against
// refusing what can be served as soon as the lists are read.
TEST_F(ForwardRequestTest, RequestWaitsForTheFirstLists) {
  const RouteConfigPtr config = std::exchange(context_.config, nullptr);
  context_.max_startup_wait = milliseconds(1'500);
  Send("/once/1");
  EXPECT_EQ(exchange_->ends, 0);
  context_.config = config;
  ResumeWaitingRequests(context_);
  EXPECT_EQ(connector_.calls.size(), 0u);  // The target list is missing.
  context_.has_target_list = true;
  ResumeWaitingRequests(context_);
  ASSERT_EQ(connector_.calls.size(), 1u);
  EXPECT_EQ(*FindHeader(call(0).spec.headers, "account"), "acme");
  Head(0);
  End(0);
  EXPECT_EQ(exchange_->status, 200u);
  EXPECT_TRUE(context_.awaiting_lists.empty());
}

// The failure: the store is away when the process starts. Guards against
// requests that wait until their time is over, and against callers that come
// back while it is still away.
TEST_F(ForwardRequestTest, WaitForTheFirstListsIsBounded) {
  context_.config = nullptr;
  context_.max_startup_wait = milliseconds(1'500);
  Send("/once/1", {{"time-left", "2000"}});
  const std::shared_ptr<FakeExchange> hasty = exchange_;
  Send("/once/1");
  timers_.Advance(milliseconds(499));
  EXPECT_EQ(hasty->ends, 0);
  timers_.Advance(milliseconds(1));
  EXPECT_EQ(hasty->status, 503u);
  timers_.Advance(milliseconds(1'000));
  EXPECT_EQ(exchange_->status, 503u);
  EXPECT_GE(std::stod(*FindHeader(exchange_->headers, "Retry-After")), 1.0);
  EXPECT_TRUE(context_.awaiting_lists.empty());
  EXPECT_TRUE(context_.open_requests.empty());
}

// Guards against a request that is sent after its caller has left, or that
// outlives a planned stop, because it was not registered while it waited.
TEST_F(ForwardRequestTest, WaitForTheFirstListsEndsWithCallerAndProcess) {
  const RouteConfigPtr config = std::exchange(context_.config, nullptr);
  context_.max_startup_wait = milliseconds(1'500);
  Send("/once/1");
  std::exchange(exchange_->on_gone, nullptr)();
  Send("/once/1");
  EXPECT_EQ(EndOpenRequests(context_), 1u);
  EXPECT_EQ(exchange_->status, 503u);
  context_.config = config;
  context_.has_target_list = true;
  ResumeWaitingRequests(context_);
  EXPECT_TRUE(connector_.calls.empty());
}

// The load: a fleet restarts, and its retry budget is used up by the targets
// that the old list names. Guards against failing a request that a target of
// the next list can serve.
TEST_F(ForwardRequestTest, RequestWaitsForAnotherListThanAStaleOne) {
  context_.max_startup_wait = milliseconds(1'500);
  context_.has_target_list = true;
  TakeAllRetries();
  Send("/stream/1");
  Head(0, 421);
  End(0);
  EXPECT_EQ(exchange_->ends, 0);
  ResumeWaitingRequests(context_);
  EXPECT_EQ(connector_.calls.size(), 1u);  // There is no budget yet.
  context_.retry_budget = RequestRetryBudget(RequestRetryLimits());
  ResumeWaitingRequests(context_);
  EXPECT_EQ(connector_.calls.size(), 2u);
  Head(1, 421);
  TakeAllRetries();
  End(1);
  timers_.Advance(milliseconds(1'000));
  EXPECT_EQ(exchange_->status, 503u);
}

}  // namespace
}  // namespace burdockhatch
