// Calls to the platform's store: which are saved while nothing changes, while
// only targets change, and while the store is away.
#include "src/long_watch_feed.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "src/feed_follower.h"
#include "src/revision_ledger.h"
#include "tests/manual_timers.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A store of three lists with one revision counter. Watches that are open hear
// of changes at once, unless their connections are silent.
class FakeStore : public FleetFeed {
 public:
  explicit FakeStore(Timers* timers) : timers_(timers) {}

  void List(FeedKind kind, const std::string&, Callback done) override {
    ++calls;
    if (is_away) {
      done(Refusal());
      return;
    }
    FeedReply reply = Reply({});
    for (const Change& it : changes_) {
      if (it.kind == kind) {
        reply.items.push_back(it.item);
      }
    }
    done(std::move(reply));
  }
  void Watch(FeedKind kind,
             StoreRevision after,
             Duration wait,
             Callback done) override {
    ++calls;
    calls_of[static_cast<size_t>(kind)]++;
    if (is_away) {
      done(Refusal());
      return;
    }
    auto open = std::make_shared<Open>();
    open->kind = kind;
    open->after = after.revision;
    open->done = std::move(done);
    if (!ChangesAfter(kind, after.revision).empty() || wait == Duration(0)) {
      Answer(*open);
      return;
    }
    open->timer =
        timers_->Schedule(wait, [this, open = open.get()] { Answer(*open); });
    open_.push_back(std::move(open));
  }
  void WatchEncoded(FeedKind,
                    StoreRevision,
                    Duration,
                    std::function<void(EncodedFeedReply)>) override {}
  FeedReply Decode(FeedKind, const std::string&) const override { return {}; }

  void MakeChange(FeedKind kind) {
    revision_ += revision_step;
    changes_.push_back({kind, revision_, FeedRemoval{"x"}});
    const auto open = open_;
    for (const auto& it : open) {
      if (it->done && it->kind == kind &&
          std::find(silent.begin(), silent.end(), kind) == silent.end()) {
        Answer(*it);
      }
    }
  }
  void FailOpenWatches() {
    const auto open = open_;
    for (const auto& it : open) {
      if (it->done) {
        it->timer.reset();
        std::exchange(it->done, nullptr)(Refusal());
      }
    }
  }

  int calls = 0;
  std::array<int, kFeedKindCount> calls_of{};
  bool is_away = false;
  bool refuses = true;  // While it is away; else its calls get no answer.
  uint64_t revision_step = 1;
  // Kinds whose open watches do not hear of changes now.
  std::vector<FeedKind> silent;

 private:
  struct Change {
    FeedKind kind;
    uint64_t revision;
    FeedItem item;
  };
  struct Open {
    FeedKind kind = FeedKind::kRoutes;
    uint64_t after = 0;
    Callback done;
    std::unique_ptr<Timer> timer;
  };

  FeedReply Refusal() const {
    FeedReply reply;
    reply.is_refusal = refuses;
    return reply;
  }
  std::vector<Change> ChangesAfter(FeedKind kind, uint64_t after) const {
    std::vector<Change> found;
    for (const Change& it : changes_) {
      if (it.kind == kind && it.revision > after) {
        found.push_back(it);
      }
    }
    return found;
  }
  FeedReply Reply(const std::vector<Change>& changes) const {
    FeedReply reply;
    reply.status = FeedStatus::kOk;
    reply.revision = revision_;
    for (const Change& it : changes) {
      reply.items.push_back(it.item);
      reply.changes.push_back(it.revision);
    }
    return reply;
  }
  void Answer(Open& open) {
    if (open.done) {
      std::exchange(open.done,
                    nullptr)(Reply(ChangesAfter(open.kind, open.after)));
    }
  }

  Timers* timers_;
  uint64_t revision_ = 7;
  std::vector<Change> changes_;
  std::vector<std::shared_ptr<Open>> open_;
};

class LongWatchFeedTest : public testing::Test {
 protected:
  void Start() {
    for (int i = 0; i < kFeedKindCount; ++i) {
      followers_.push_back(std::make_unique<FeedFollower>(
          static_cast<FeedKind>(i), &feed_, &timers_, 1,
          [this, i](FeedUpdate update) {
            if (!update.is_snapshot) {
              updates_[static_cast<size_t>(i)] +=
                  static_cast<int>(update.items.size());
            }
          }));
      followers_.back()->Start();
    }
  }
  int updates(FeedKind kind) const {
    return updates_[static_cast<size_t>(kind)];
  }
  int calls(FeedKind kind) const {
    return store_.calls_of[static_cast<size_t>(kind)];
  }

  ManualTimers timers_;
  FakeStore store_{&timers_};
  LongWatchFeed feed_{&store_, &timers_};
  std::array<int, kFeedKindCount> updates_{};
  std::vector<std::unique_ptr<FeedFollower>> followers_;
};

// Load: a minute without a change. Without long watches these are 67 calls. Of
// the lists beside the targets each is listed once, watched each 15 s and
// checked once before the first proof.
TEST_F(LongWatchFeedTest, CalmTakesTheCallsOfOneListOnly) {
  Start();
  timers_.Advance(seconds(60));
  EXPECT_LE(calls(FeedKind::kTargets), 27);
  EXPECT_LE(calls(FeedKind::kRoutes), 6);
  EXPECT_LE(calls(FeedKind::kWithdrawals), 6);
}

// Load: targets that change each half second, as in a release.
TEST_F(LongWatchFeedTest, ChangesOfTargetsTakeNoChecksOfOtherLists) {
  Start();
  for (int i = 0; i < 120; ++i) {
    store_.MakeChange(FeedKind::kTargets);
    timers_.Advance(milliseconds(500));
  }
  EXPECT_EQ(updates(FeedKind::kTargets), 120);
  EXPECT_LE(calls(FeedKind::kRoutes), 5);
  EXPECT_LE(calls(FeedKind::kWithdrawals), 5);
}

TEST_F(LongWatchFeedTest, ChangesArriveAtOnce) {
  Start();
  timers_.Advance(seconds(5));
  store_.MakeChange(FeedKind::kRoutes);
  store_.MakeChange(FeedKind::kWithdrawals);
  EXPECT_EQ(updates(FeedKind::kRoutes), 1);
  EXPECT_EQ(updates(FeedKind::kWithdrawals), 1);
}

// Guards against a configuration that is not in force because the connection of
// its watch went silent.
TEST_F(LongWatchFeedTest, ChangeThatAWatchHidesIsFoundInTime) {
  Start();
  for (int i = 0; i < 20; ++i) {
    timers_.Advance(milliseconds(730));
    store_.silent = {FeedKind::kRoutes};
    store_.MakeChange(FeedKind::kRoutes);
    store_.silent.clear();
    timers_.Advance(milliseconds(2'450));
    EXPECT_EQ(updates(FeedKind::kRoutes), i + 1);
  }
}

// The same beside changes of targets, which each show that something changed.
TEST_F(LongWatchFeedTest, HiddenChangeIsFoundBesideOthers) {
  Start();
  timers_.Advance(seconds(4));
  for (int i = 0; i < 20; ++i) {
    store_.silent = {FeedKind::kRoutes};
    store_.MakeChange(FeedKind::kRoutes);
    store_.silent.clear();
    for (int j = 0; j < 8; ++j) {
      store_.MakeChange(FeedKind::kTargets);
      timers_.Advance(milliseconds(310));
    }
    EXPECT_EQ(updates(FeedKind::kRoutes), i + 1);
  }
}

// Guards against proofs by a store whose revisions have gaps: each list is then
// checked as often as its follower asks, and no more often.
TEST_F(LongWatchFeedTest, GapsInTheRevisionsProveNothing) {
  store_.revision_step = 2;
  Start();
  for (int i = 0; i < 120; ++i) {
    store_.MakeChange(FeedKind::kTargets);
    timers_.Advance(milliseconds(500));
  }
  EXPECT_GE(calls(FeedKind::kRoutes), 20);
  EXPECT_LE(calls(FeedKind::kRoutes), 32);
}

// Load: a store that refuses all calls for a minute. Without holding calls back
// these are some 400.
TEST_F(LongWatchFeedTest, OneListTriesAStoreThatRefuses) {
  Start();
  timers_.Advance(seconds(5));
  store_.is_away = true;
  store_.FailOpenWatches();
  const int before = store_.calls;
  timers_.Advance(seconds(60));
  EXPECT_LE(store_.calls - before, 240);
  store_.is_away = false;
  store_.MakeChange(FeedKind::kRoutes);
  store_.MakeChange(FeedKind::kTargets);
  timers_.Advance(milliseconds(600));
  EXPECT_EQ(updates(FeedKind::kRoutes), 1);
  EXPECT_EQ(updates(FeedKind::kTargets), 1);
  for (const auto& it : followers_) {
    EXPECT_EQ(it->unavailable_since(), Time());
  }
}

// Guards against targets that are read late after a cut because the calls of
// other lists had no answer.
TEST_F(LongWatchFeedTest, CallsWithoutAnAnswerHoldNothingBack) {
  Start();
  store_.refuses = false;
  store_.is_away = true;
  store_.FailOpenWatches();
  timers_.Advance(seconds(10));
  EXPECT_EQ(feed_.stats().refusals_shared, 0u);
  store_.is_away = false;
  timers_.Advance(milliseconds(600));
  for (const auto& it : followers_) {
    EXPECT_EQ(it->unavailable_since(), Time());
  }
}

// Guards against a list that is followed no more because another one alone
// cannot be read.
TEST_F(LongWatchFeedTest, RefusalOfOneListStopsNoOther) {
  Start();
  int answers = 0;
  int refusals = 0;
  const auto refuse_targets = [&] {
    store_.is_away = true;
    feed_.Watch(FeedKind::kTargets, {}, Duration(0), [](const FeedReply&) {});
    store_.is_away = false;
  };
  for (int i = 0; i < 3; ++i) {
    refuse_targets();
    feed_.Watch(FeedKind::kRoutes, {}, Duration(0), [&](const FeedReply& it) {
      ++(it.status == FeedStatus::kFailed ? refusals : answers);
    });
  }
  EXPECT_EQ(refusals, LongWatchFeed::kMaxSharedRefusals);
  EXPECT_EQ(answers, 1);
  // Without an outcome the call is made after a while.
  refuse_targets();
  feed_.Watch(FeedKind::kRoutes, {}, Duration(0),
              [&](const FeedReply&) { ++answers; });
  EXPECT_EQ(answers, 1);
  timers_.Advance(LongWatchFeed::kMaxHold);
  EXPECT_EQ(answers, 2);
}

TEST(RevisionLedgerTest, RevisionsOfAnotherEpochProveNothing) {
  RevisionLedger ledger;
  const StoreRevision known{7, StoreEpoch(1)};
  ledger.OnReceived(FeedKind::kRoutes, known);
  ledger.OnReply(FeedKind::kTargets, known, {}, Time(seconds(1)));
  EXPECT_TRUE(ledger.IsConfirmed(FeedKind::kRoutes, known, seconds(2),
                                 Time(seconds(2))));
  EXPECT_FALSE(ledger.IsConfirmed(FeedKind::kRoutes, known, seconds(2),
                                  Time(seconds(3))));
  ledger.OnReply(FeedKind::kTargets, {5, StoreEpoch(2)}, {}, Time(seconds(2)));
  EXPECT_FALSE(ledger.IsComplete(FeedKind::kRoutes, known));
  EXPECT_FALSE(ledger.IsComplete(FeedKind::kRoutes, {5, StoreEpoch(2)}));
  // A late reply of the former epoch.
  ledger.OnReply(FeedKind::kTargets, known, {}, Time(seconds(2)));
  EXPECT_FALSE(ledger.IsComplete(FeedKind::kRoutes, known));
}

}  // namespace
}  // namespace burdockhatch
