// What targets say of themselves as one process knows it, the rates that
// follow, and the calls of plain services, which each entry places alone.
#include "src/target_signals.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/service_balancer.h"
#include "src/shared_rate.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

TargetSignals Limit(double rate) {
  TargetSignals signals;
  signals.requests_per_s = rate;
  return signals;
}
TargetSignals Leaving() {
  TargetSignals signals;
  signals.is_leaving = true;
  return signals;
}
TargetSignals BackOff(Duration back_off) {
  TargetSignals signals;
  signals.back_off = back_off;
  return signals;
}

class TargetSignalTableTest : public testing::Test {
 protected:
  // A response to a request that was sent `age` ago.
  void Respond(TargetSignalTable& table,
               const TargetSignals& signals,
               Duration age = milliseconds(10),
               bool is_answer = true) {
    table.OnResponse(target_, kStart, signals, is_answer, now_ - age, now_);
  }
  std::optional<double> RateOf(const TargetSignalTable& table) const {
    return table.RateOf(target_, kStart);
  }

  static constexpr uint64_t kStart = 7;
  const TargetId target_{"t"};
  Time now_{seconds(100)};
  TargetSignalTable table_;
  TargetSignalTable other_;
};

// Guards against a limit that ends by an answer that is older than the limit,
// or that need not come from the target's application.
TEST_F(TargetSignalTableTest, LimitEndsByLaterAnswersOnly) {
  Respond(table_, Limit(2));
  EXPECT_EQ(RateOf(table_), 2);
  now_ += milliseconds(100);
  Respond(table_, {}, milliseconds(150));
  EXPECT_EQ(RateOf(table_), 2);
  Respond(table_, {}, milliseconds(10), false);
  EXPECT_EQ(RateOf(table_), 2);
  TargetSignals unreadable;
  unreadable.has_unreadable_rate = true;
  Respond(table_, unreadable);
  EXPECT_EQ(RateOf(table_), 2);
  EXPECT_EQ(table_.counters().unreadable, 1u);
  Respond(table_, {}, milliseconds(10));
  EXPECT_EQ(RateOf(table_), std::nullopt);
  EXPECT_EQ(table_.counters().limit_ends, 1u);
}

// Guards against a target that is never asked again because it states a rate
// of zero.
TEST_F(TargetSignalTableTest, RateOfZeroLeavesSomeRequests) {
  Respond(table_, Limit(0));
  EXPECT_EQ(RateOf(table_), TargetSignalTable::kMinRequestsPerS);
}

// Guards against a new start of a target that is held to what its predecessor
// said, and against the late word of a predecessor.
TEST_F(TargetSignalTableTest, StartsOfATargetAreToldApart) {
  Respond(table_, Leaving());
  EXPECT_TRUE(table_.IsLeaving(target_, kStart, now_));
  EXPECT_FALSE(table_.IsLeaving(target_, kStart + 1, now_));
  table_.OnResponse(target_, kStart + 1, Limit(3), true, now_, now_);
  EXPECT_EQ(table_.RateOf(target_, kStart + 1), 3);
  Respond(table_, Leaving());
  EXPECT_FALSE(table_.IsLeaving(target_, kStart, now_));
  EXPECT_EQ(table_.RateOf(target_, kStart + 1), 3);
}

// Guards against targets that are shut out for good: by a long back-off, or
// because they once said that they leave.
TEST_F(TargetSignalTableTest, NoTargetIsShutOutForGood) {
  TargetSignalTable table({true, seconds(20), seconds(30)});
  Respond(table, BackOff(minutes(1'000)));
  EXPECT_TRUE(table.IsShut(target_, kStart, now_ + seconds(19)));
  EXPECT_FALSE(table.IsShut(target_, kStart, now_ + seconds(21)));
  Respond(table, Leaving());
  EXPECT_TRUE(table.IsShut(target_, kStart, now_ + seconds(29)));
  EXPECT_FALSE(table.IsShut(target_, kStart, now_ + seconds(31)));
}

// Guards against reports whose order decides what is known, and against a
// back-off of one entry that keeps the others away.
TEST_F(TargetSignalTableTest, NewestStatementOfSeveralReportsHolds) {
  Respond(table_, Limit(2));
  TargetSignals refusal = Limit(2);
  refusal.back_off = seconds(5);
  Respond(table_, refusal);
  const SignalReport early = table_.Export(now_);
  now_ += seconds(1);
  Respond(table_, Limit(4));
  const SignalReport late = table_.Export(now_);
  EXPECT_FALSE(other_.Merge(late, now_).empty());
  EXPECT_EQ(RateOf(other_), 4);
  // Ages are as of the time of sending.
  SignalReport aged = early;
  aged.records[0].statement_age += seconds(1);
  EXPECT_TRUE(other_.Merge(aged, now_).empty());
  EXPECT_EQ(RateOf(other_), 4);
  EXPECT_FALSE(other_.IsShut(target_, kStart, now_));
  // The end of the limit reaches others too.
  now_ += seconds(1);
  Respond(table_, {});
  EXPECT_FALSE(other_.Merge(table_.TakeChanges(now_), now_).empty());
  EXPECT_EQ(RateOf(other_), std::nullopt);
}

// Guards against a message for each answer of a limited target, and against a
// statement that is lost for good with one message.
TEST_F(TargetSignalTableTest, RepeatedStatementsAreReportedOnceInAWhile) {
  int reports = 0;
  for (int i = 0; i < 1'000; ++i) {
    now_ += milliseconds(10);
    Respond(table_, Limit(i % 2 == 0 ? 2 : 2.05), Duration(0));
    reports += table_.TakeChanges(now_).empty() ? 0 : 1;
  }
  EXPECT_GE(reports, 2);
  EXPECT_LE(reports, 4);
}

// Guards against settings that turn the feature off in part.
TEST_F(TargetSignalTableTest, DisabledTableKnowsNothing) {
  TargetSignalTable table({false, minutes(10), minutes(5)});
  Respond(table, Limit(1));
  Respond(table, Leaving());
  Respond(table_, Limit(1));
  EXPECT_TRUE(table.Merge(table_.Export(now_), now_).empty());
  EXPECT_EQ(RateOf(table), std::nullopt);
  EXPECT_FALSE(table.IsShut(target_, kStart, now_));
}

// Guards against memory that grows with the number of targets seen.
TEST_F(TargetSignalTableTest, OldStatementsAreForgotten) {
  for (int i = 0; i < 100; ++i) {
    table_.OnResponse(TargetId("t" + std::to_string(i)), 0, Limit(1), true,
                      now_, now_);
  }
  EXPECT_EQ(table_.CountLimited(), 100u);
  now_ += minutes(11);
  table_.Prune(now_);
  EXPECT_EQ(table_.CountLimited(), 0u);
  EXPECT_TRUE(table_.Export(now_).empty());
}

// Guards against a wait that outlasts a rise of the rate, or is cut to nothing
// by its fall.
TEST(SharedRateTest, WaitFollowsTheRate) {
  Time now{seconds(100)};
  SharedRate rate;
  EXPECT_TRUE(rate.IsOpen(now));
  rate.OnRequest(now);
  EXPECT_TRUE(rate.IsOpen(now));
  rate.Set(1, 0.5, now);
  EXPECT_EQ(rate.next_request(), now + milliseconds(500));
  now += milliseconds(500);
  rate.OnRequest(now);
  EXPECT_EQ(rate.next_request(), now + seconds(1));
  rate.Set(4, 0, now);
  EXPECT_EQ(rate.next_request(), now + milliseconds(250));
  rate.Set(0.5, 0, now);
  EXPECT_EQ(rate.next_request(), now + seconds(2));
  rate.Set(std::nullopt, 0, now);
  EXPECT_TRUE(rate.IsOpen(now));
}

// Entries that share three targets of a plain service, which no agent places.
class PlainServiceSignalTest : public testing::TestWithParam<int> {
 protected:
  PlainServiceSignalTest() {
    for (int i = 0; i < 3; ++i) {
      TargetRecord record;
      record.target = TargetId("t" + std::to_string(i));
      record.service = ServiceId("orders");
      record.address = "10.0.0." + std::to_string(i) + ":80";
      record.slots = 6;
      directory_.Put(record, 1, now_);
    }
    for (int i = 0; i < GetParam(); ++i) {
      entries_.push_back(
          {ServiceBalancer(static_cast<uint64_t>(i)), TargetSignalTable()});
    }
  }

  struct Entry {
    ServiceBalancer balancer;
    TargetSignalTable signals;
  };

  std::optional<TargetId> Call(Entry& entry) {
    ServiceBalancer::ChoiceParams params;
    params.entry_count = static_cast<uint32_t>(GetParam());
    params.signals = &entry.signals;
    const auto target = entry.balancer.BeginCall(
        directory_.UsableTargets(ServiceId("orders"), now_), params, now_);
    if (target) {
      entry.balancer.EndCall(*target, CallOutcome::kAnswered, milliseconds(1),
                             now_);
    }
    return target;
  }

  // All entries that have a call to place do so in each step, 5 a second each
  // and at most 200 a second in all. Returns the most calls of a target in 4 s.
  size_t RunAll(Duration duration, const TargetSignals& signals) {
    std::map<TargetId, std::deque<Time>> calls;
    size_t most = 0;
    const Duration step = milliseconds(GetParam() > 40 ? 5 * GetParam() : 200);
    for (const Time end = now_ + duration; now_ < end; now_ += step) {
      for (Entry& it : entries_) {
        const auto target = Call(it);
        if (!target) {
          continue;
        }
        it.signals.OnResponse(*target, 0, signals, true, now_, now_);
        std::deque<Time>& times = calls[*target];
        times.push_back(now_);
        while (now_ - times.front() >= seconds(4)) {
          times.pop_front();
        }
        most = std::max(most, times.size());
        ++total_;
      }
    }
    return most;
  }

  Time now_{seconds(100)};
  FleetDirectory directory_;
  std::vector<Entry> entries_;
  size_t total_ = 0;
};

INSTANTIATE_TEST_SUITE_P(Entries,
                         PlainServiceSignalTest,
                         testing::Values(1, 10, 100, 1'000));

// Guards against a plain service that states a limit and gets it from each
// entry. No entry may use up another one's part.
TEST_P(PlainServiceSignalTest, LimitIsShared) {
  constexpr double kLimit = 3;
  for (Entry& it : entries_) {
    for (const char* target : {"t0", "t1", "t2"}) {
      it.signals.OnResponse(TargetId(target), 0, Limit(kLimit), true, now_,
                            now_);
    }
  }
  EXPECT_LE(RunAll(seconds(30), Limit(kLimit)), 1.5 * kLimit * 4 + 5);
  EXPECT_GT(total_, 0u);
}

// Guards against calls to services that leave or that asked for a pause, and
// against services that are not called again after it.
TEST_P(PlainServiceSignalTest, LeavingAndBackOffAreKept) {
  Entry& entry = entries_.front();
  entry.signals.OnResponse(TargetId("t0"), 0, Leaving(), false, now_, now_);
  entry.signals.OnResponse(TargetId("t1"), 0, BackOff(seconds(3)), false, now_,
                           now_);
  for (int i = 0; i < 29; ++i) {
    EXPECT_EQ(Call(entry), TargetId("t2"));
    now_ += milliseconds(100);
  }
  // Only the one whose pause has ended is left.
  now_ += milliseconds(200);
  entry.signals.OnResponse(TargetId("t2"), 0, Leaving(), false, now_, now_);
  EXPECT_EQ(Call(entry), TargetId("t1"));
}

// Guards against callers that wait, or hear a wrong time, when all services
// have asked for a pause.
TEST_P(PlainServiceSignalTest, TellsWhenATargetOpens) {
  Entry& entry = entries_.front();
  ServiceBalancer::ChoiceParams params;
  params.entry_count = static_cast<uint32_t>(GetParam());
  params.signals = &entry.signals;
  const auto usable = directory_.UsableTargets(ServiceId("orders"), now_);
  EXPECT_EQ(entry.balancer.FindShutTargets(usable, params, now_), std::nullopt);
  for (int i = 0; i < 3; ++i) {
    entry.signals.OnResponse(TargetId("t" + std::to_string(i)), 0,
                             BackOff(seconds(2 + i)), false, now_, now_);
  }
  EXPECT_EQ(Call(entry), std::nullopt);
  const auto shut = entry.balancer.FindShutTargets(usable, params, now_);
  ASSERT_TRUE(shut);
  EXPECT_EQ(shut->OpenAt(0), now_ + seconds(2));
}

}  // namespace
}  // namespace burdockhatch
