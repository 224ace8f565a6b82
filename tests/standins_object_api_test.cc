// Tests the fake object API. A fake that is less strict than the platform would
// hide faults of the system.
#include "standins/fake_object_api.h"

#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "tests/standins_test_util.h"

namespace burdockhatch {
namespace {

using standins::FakeObjectApi;
using standins::FakeObjectApiOptions;

constexpr uint64_t kOneHourMs = 3'600'000;

class FakeObjectApiTest : public ::testing::Test {
 protected:
  explicit FakeObjectApiTest(FakeObjectApiOptions options = {})
      : api_(std::move(options)), client_(api_.address()) {}

  HttpReply Put(const std::string& path, const std::string& value) {
    return client_.Send("PUT", path, value);
  }
  HttpReply Get(const std::string& path) { return client_.Send("GET", path); }

  FakeServerThread<FakeObjectApi> api_;
  TestClient client_;
};

uint64_t VersionOf(const HttpReply& reply) {
  return reply.etag.size() > 2
             ? std::stoull(reply.etag.substr(1, reply.etag.size() - 2))
             : 0;
}

// Guards against versions that start again after a deletion, which would make
// a stale conditional update succeed.
TEST_F(FakeObjectApiTest, VersionsGrowOverDeletion) {
  const HttpReply first = Put("/objects/k/n", "1");
  EXPECT_EQ(first.http_status, 201u);
  const HttpReply second = Put("/objects/k/n", "2");
  EXPECT_EQ(second.http_status, 200u);
  EXPECT_GT(VersionOf(second), VersionOf(first));
  EXPECT_EQ(client_.Send("DELETE", "/objects/k/n").http_status, 204u);
  EXPECT_EQ(Get("/objects/k/n").http_status, 404u);
  EXPECT_GT(VersionOf(Put("/objects/k/n", "3")), VersionOf(second));
}

// Guards against an update that is applied although the object has changed.
TEST_F(FakeObjectApiTest, ConditionalUpdatesAreRefusedOnOtherVersions) {
  const HttpReply created =
      client_.Send("PUT", "/objects/k/n", "1", {{"If-None-Match", "*"}});
  ASSERT_EQ(created.http_status, 201u);
  EXPECT_EQ(client_.Send("PUT", "/objects/k/n", "2", {{"If-None-Match", "*"}})
                .http_status,
            412u);
  const HttpReply updated =
      client_.Send("PUT", "/objects/k/n", "2", {{"If-Match", created.etag}});
  EXPECT_EQ(updated.http_status, 200u);
  for (const std::string& tag :
       {created.etag, std::string("nonsense"), std::string("\"99\"")}) {
    const HttpReply refused =
        client_.Send("PUT", "/objects/k/n", "3", {{"If-Match", tag}});
    EXPECT_EQ(refused.http_status, 412u) << tag;
    EXPECT_EQ(client_.Send("DELETE", "/objects/k/n", "", {{"If-Match", tag}})
                  .http_status,
              412u);
  }
  EXPECT_EQ(
      client_.Send("PUT", "/objects/k/other", "3", {{"If-Match", "\"1\""}})
          .http_status,
      412u);
  const HttpReply read = Get("/objects/k/n");
  EXPECT_EQ(read.body, "2");
  EXPECT_EQ(read.etag, updated.etag);
  EXPECT_EQ(client_.ReadStat("conflicts"), 8);
}

TEST_F(FakeObjectApiTest, NamesMayContainSlashesAndAreListedByKind) {
  Put("/objects/claims/desk/0", "a");
  Put("/objects/claims/desk/1", "b");
  Put("/objects/config/fleet", "c");
  EXPECT_EQ(Get("/objects/claims").body, R"({"names":["desk/0","desk/1"]})");
  EXPECT_EQ(Get("/objects/claims/desk/1").body, "b");
}

// Guards against a fake that stores documents which are too large for the
// platform.
TEST_F(FakeObjectApiTest, ValuesAboveOneMegabyteAreRefused) {
  EXPECT_EQ(Put("/objects/k/n", std::string(1 << 20, 'x')).http_status, 201u);
  EXPECT_EQ(Put("/objects/k/n", std::string((1 << 20) + 1, 'x')).http_status,
            413u);
}

TEST_F(FakeObjectApiTest, WatchAnswersTheNextVersion) {
  const uint64_t version = VersionOf(Put("/objects/k/n", "1"));
  EXPECT_EQ(Get("/watch/k/n?after=0&wait_ms=0").body, "1");
  const std::string path = "/watch/k/n?after=" + std::to_string(version);
  EXPECT_EQ(Get(path + "&wait_ms=1").http_status, 304u);
  auto pending = client_.SendAsync(MakeTestCall("GET", path));
  ASSERT_TRUE(
      WaitUntil([&] { return client_.ReadStat("pending_watches") == 1; }));
  Put("/objects/k/other", "x");
  Put("/objects/k/n", "2");
  const HttpReply reply = pending.get();
  EXPECT_EQ(reply.http_status, 200u);
  EXPECT_EQ(reply.body, "2");
  EXPECT_GT(VersionOf(reply), version);
}

// Guards against an outage that leaves established watches working.
TEST_F(FakeObjectApiTest, OutageBreaksPendingWatchesAndCalls) {
  Put("/objects/k/n", "1");
  auto pending = client_.SendAsync(
      MakeTestCall("GET", "/watch/k/n?after=9&wait_ms=60000"));
  ASSERT_TRUE(
      WaitUntil([&] { return client_.ReadStat("pending_watches") == 1; }));
  client_.SetFaults(R"({"down":true})");
  EXPECT_EQ(pending.get().status, CallStatus::kUnknown);
  EXPECT_EQ(Put("/objects/k/n", "2").status, CallStatus::kUnknown);
  client_.SetFaults(R"({"down":false})");
  EXPECT_EQ(Get("/objects/k/n").body, "1");
}

TEST_F(FakeObjectApiTest, RefusedConnectionsAreNotSent) {
  client_.SetFaults(R"({"refuse_ms":300})");
  EXPECT_EQ(Put("/objects/k/n", "1").status, CallStatus::kNotSent);
  EXPECT_TRUE(WaitUntil([&] { return client_.ReadStat("writes") == 0; }));
}

TEST_F(FakeObjectApiTest, CloseBeforeHasNoEffect) {
  client_.SetFaults(R"({"close_before":1})");
  EXPECT_EQ(Put("/objects/k/n", "1").status, CallStatus::kUnknown);
  client_.SetFaults(R"({"reset":true})");
  EXPECT_EQ(Get("/objects/k/n").http_status, 404u);
}

TEST_F(FakeObjectApiTest, LostAndCutAnswersHaveTheirEffect) {
  for (const std::string fault : {"lose_answer", "cut_answer"}) {
    client_.SetFaults("{\"" + fault + "\":1}");
    EXPECT_EQ(Put("/objects/k/" + fault, "1").status, CallStatus::kUnknown);
    client_.SetFaults(R"({"reset":true})");
    EXPECT_EQ(Get("/objects/k/" + fault).body, "1") << fault;
  }
}

TEST_F(FakeObjectApiTest, HangingCallsEndWithTheFault) {
  client_.SetFaults(R"({"hang":true})");
  HttpCall call = MakeTestCall("PUT", "/objects/k/n");
  call.timeout = std::chrono::milliseconds(50);
  EXPECT_EQ(client_.SendAsync(call).get().status, CallStatus::kUnknown);
  auto pending = client_.SendAsync(MakeTestCall("PUT", "/objects/k/n"));
  client_.SetFaults(R"({"hang":null})");
  // The call was closed when the fault ended, or arrived after that.
  const HttpReply reply = pending.get();
  EXPECT_TRUE(reply.status == CallStatus::kUnknown || reply.http_status == 201);
}

TEST_F(FakeObjectApiTest, DelayComesBeforeTheAnswer) {
  client_.SetFaults(R"({"delay_ms":50})");
  const auto start = std::chrono::steady_clock::now();
  EXPECT_EQ(Put("/objects/k/n", "1").http_status, 201u);
  EXPECT_GE(std::chrono::steady_clock::now() - start,
            std::chrono::milliseconds(50));
}

TEST_F(FakeObjectApiTest, ThrottleAnswers429WithoutEffect) {
  client_.SetFaults(R"({"throttle":true})");
  EXPECT_EQ(Put("/objects/k/n", "1").http_status, 429u);
  EXPECT_EQ(Get("/instances").http_status, 429u);
  EXPECT_EQ(client_.ReadStat("throttled"), 2);
  EXPECT_EQ(client_.ReadStat("writes"), 0);
}

// Guards against a test that passes because its misspelt fault never occurs.
TEST_F(FakeObjectApiTest, UnknownAndMalformedFaultsAreRefused) {
  for (const std::string text :
       {R"({"dwon":true})", "[]", "{", R"({"down":"yes"})"}) {
    EXPECT_EQ(client_.Send("POST", "/faults", text).http_status, 400u) << text;
  }
  EXPECT_EQ(Get("/faults").body, "{}");
}

class LimitedObjectApiTest : public FakeObjectApiTest {
 protected:
  // Allows one call; the next one would be allowed only after 1,000 seconds.
  LimitedObjectApiTest()
      : FakeObjectApiTest(
            {.max_reads_per_s = 0.001, .max_writes_per_s = 0.001}) {}
};

TEST_F(LimitedObjectApiTest, RatesOfReadsAndWritesAreLimitedApart) {
  EXPECT_EQ(Put("/objects/k/n", "1").http_status, 201u);
  EXPECT_EQ(Put("/objects/k/n", "2").http_status, 429u);
  EXPECT_EQ(Get("/objects/k/n").body, "1");
  EXPECT_EQ(Get("/objects/k/n").http_status, 429u);
  EXPECT_EQ(Get("/watch/k/n").http_status, 429u);
  EXPECT_EQ(client_.ReadStat("throttled"), 3);
}

constexpr const char* kInstances =
    R"({"instances":[{"instance":"e1","role":"entry","state":"live"}]})";

class InstanceListTest : public FakeObjectApiTest {
 protected:
  explicit InstanceListTest(uint64_t lag_ms = 0)
      : FakeObjectApiTest(
            {.instance_lag_ms = lag_ms, .instances = kInstances}) {}
};

TEST_F(InstanceListTest, ChangesGetANewVersion) {
  const HttpReply first = Get("/instances");
  EXPECT_EQ(
      first.body,
      R"({"version":1,"instances":[{"instance":"e1","role":"entry","state":"live"}]})");
  EXPECT_EQ(
      client_.Send("GET", "/instances", "", {{"If-None-Match", first.etag}})
          .http_status,
      304u);
  Put("/instances/a1", R"({"role":"agent","state":"leaving"})");
  EXPECT_EQ(client_.Send("DELETE", "/instances/e1").http_status, 204u);
  const HttpReply second =
      client_.Send("GET", "/instances", "", {{"If-None-Match", first.etag}});
  EXPECT_EQ(
      second.body,
      R"({"version":3,"instances":[{"role":"agent","state":"leaving","instance":"a1"}]})");
}

TEST_F(InstanceListTest, FrozenListDoesNotChange) {
  client_.SetFaults(R"({"freeze_instances":true})");
  EXPECT_EQ(client_.Send("DELETE", "/instances/e1").http_status, 204u);
  EXPECT_EQ(Get("/instances").etag, "\"1\"");
  client_.SetFaults(R"({"freeze_instances":false})");
  EXPECT_EQ(Get("/instances").etag, "\"2\"");
}

class LaggingInstanceListTest : public InstanceListTest {
 protected:
  LaggingInstanceListTest() : InstanceListTest(kOneHourMs) {}
};

TEST_F(LaggingInstanceListTest, ChangesShowOnlyAfterTheLag) {
  EXPECT_EQ(client_.Send("DELETE", "/instances/e1").http_status, 204u);
  EXPECT_EQ(Get("/instances").etag, "\"1\"");
}

TEST(FakeObjectApiOptionsTest, InvalidInstancesAreRefused) {
  boost::asio::io_context io;
  for (const std::string text : {"[]", "{", R"({"instances":[{}]})"}) {
    EXPECT_THROW(FakeObjectApi(io, {.instances = text}), std::runtime_error);
  }
}

}  // namespace
}  // namespace burdockhatch
