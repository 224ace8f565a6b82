// Tests how soon all entries of a fleet stop sending a part that crashes
// targets: entries with leaders, and entries of the product's own interface.
#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "src/config_distributor.h"
#include "src/crash_blame.h"
#include "src/placement_client.h"
#include "src/placement_leader.h"
#include "src/random.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Limits: crashes by one part, and further sends later than kReactionTime after
// these.
constexpr size_t kMaxCrashes = 5;
constexpr size_t kMaxLateSends = 3;
constexpr Duration kReactionTime = seconds(3);

// Targets that a request may take down which crashes them by itself, and its
// client's attempts: each runs on up to kAttempts targets.
constexpr size_t kMaxCrashesByRequest = 3;
constexpr int kClientAttempts = 6;
constexpr int kAttempts = 2;
constexpr Duration kReturnDelay = milliseconds(300);

constexpr PartKey kFirst(1);
constexpr PartKey kPoison(66);

// Entries that place requests through leaders, over a network with a delay of
// 1 to 4 ms. A target crashes 50 ms after the head of an answer to a prompt
// with kPoison, and is back 3 s later under another id.
class LeaderFleet {
 public:
  static constexpr int kAgents = 3;
  static constexpr int kTargets = 40;

  LeaderFleet(int entries, uint64_t seed) : random_(seed) {
    for (int i = 0; i < kTargets; ++i) {
      targets_.push_back(NextTarget());
    }
    for (int i = 0; i < kAgents; ++i) {
      agents_.emplace_back();
      StartAgent(i);
    }
    for (int i = 0; i < entries; ++i) {
      entries_.push_back(std::make_unique<Entry>());
      entries_.back()->bus.fleet = this;
      entries_.back()->bus.index = i;
      StartEntry(i);
    }
    PublishTargets();
  }

  // Loses the state of an agent. It is silent for `down`.
  void KillAgent(int index, Duration down) {
    agents_[index].leader.reset();
    At(now_ + down, [this, index] { StartAgent(index); });
  }
  void RestartEntry(int index) { StartEntry(index); }

  // Lets the leader seen by each entry differ: agent `index` is unreachable for
  // the entries with odd numbers.
  void HideAgentFromOddEntries(int index) { hidden_agent_ = index; }

  void Send(bool poison) {
    const int entry = static_cast<int>(random_.UniformBelow(entries_.size()));
    SendFrom(entry, poison, 2);
  }

  // Requests with kFirst and a mark of their own, whose clients come back
  // through any entry.
  void SendMarked(bool deadly) {
    Work work;
    work.poison = deadly;
    work.mark = PartKey(next_mark_++);
    work.returns_left = kClientAttempts;
    Return(work);
  }
  void RunMarked(Duration length, int deadly_per_s, int sound_per_s) {
    const Time end = now_ + length;
    while (now_ < end) {
      const double roll = random_.UniformReal() * 1'000;
      if (roll < deadly_per_s + sound_per_s) {
        SendMarked(roll < deadly_per_s);
      }
      Run(milliseconds(1), 0, 0);
    }
  }

  // Crashes under the deadly request that took down most targets.
  size_t most_crashes_by_request() const {
    size_t most = 0;
    for (const auto& [mark, crashes] : crashes_by_mark_) {
      most = std::max(most, crashes);
    }
    return most;
  }
  size_t deadly_requests() const { return crashes_by_mark_.size(); }
  size_t sound_blocked() const { return sound_blocked_; }
  // Sound requests whose clients came back as often as they do, in vain.
  size_t sound_given_up() const { return sound_given_up_; }

  void Run(Duration length, int poison_per_s, int healthy_per_s) {
    const Time end = now_ + length;
    while (now_ < end) {
      now_ += milliseconds(1);
      const double roll = random_.UniformReal() * 1'000;
      if (roll < poison_per_s) {
        Send(true);
      } else if (roll < poison_per_s + healthy_per_s) {
        Send(false);
      }
      while (!events_.empty() && events_.begin()->first <= now_) {
        auto node = events_.extract(events_.begin());
        node.mapped()();
      }
      if (now_.time_since_epoch().count() % 10'000 == 0) {
        for (const auto& it : entries_) {
          it->client->Tick(now_);
        }
        for (const Agent& it : agents_) {
          if (it.leader) {
            it.leader->Tick(now_);
          }
        }
      }
    }
  }

  // Lets targets crash without a part that is to blame.
  void CrashTargets(size_t count) {
    for (size_t i = 0; i < count && !targets_.empty(); ++i) {
      Crash(targets_[random_.UniformBelow(targets_.size())]);
    }
  }

  size_t crashes() const { return crash_times_.size(); }
  uint64_t blocks() const {
    uint64_t blocks = 0;
    for (const Agent& it : agents_) {
      blocks += it.leader ? it.leader->blame().counters().blocks : 0;
    }
    for (const auto& it : entries_) {
      blocks += it->client->blame().counters().blocks;
    }
    return blocks;
  }
  size_t reports() const { return reports_; }
  // Reports that tell of requests by their own marks.
  size_t mark_reports() const { return mark_reports_; }
  size_t healthy_refused() const { return healthy_refused_; }
  // Share of the healthy requests since the last call that began at their first
  // attempt.
  double TakeFirstAttemptShare() {
    const double share = static_cast<double>(std::exchange(healthy_begun_, 0)) /
                         static_cast<double>(std::exchange(healthy_sent_, 0));
    return share;
  }
  size_t healthy_answered() const { return healthy_answered_; }
  // Sends with the part later than kReactionTime after the fifth crash.
  size_t late_sends() const {
    if (crash_times_.size() < kMaxCrashes) {
      return 0;
    }
    const Time limit = crash_times_[kMaxCrashes - 1] + kReactionTime;
    return static_cast<size_t>(
        std::count_if(poison_sends_.begin(), poison_sends_.end(),
                      [&](Time at) { return at > limit; }));
  }
  size_t blocked_entries(Time now) const {
    return static_cast<size_t>(
        std::count_if(entries_.begin(), entries_.end(), [&](const auto& it) {
          return it->client->blame().Check({kFirst, kPoison}, 0, now).verdict ==
                 CrashBlame::Verdict::kBlocked;
        }));
  }
  Time now() const { return now_; }

 private:
  struct EntryBus : PlacementBus {
    void Send(const InstanceId& to, MessageBody body) override {
      fleet->Deliver(index, to, std::move(body));
    }
    void Connect(const InstanceId&, const std::string&) override {}
    void Disconnect(const InstanceId&) override {}

    LeaderFleet* fleet = nullptr;
    int index = 0;
  };
  struct Entry {
    EntryBus bus;
    uint64_t incarnation = 0;
    std::unique_ptr<PlacementClient> client;
  };
  struct Agent {
    uint64_t incarnation = 0;
    std::unique_ptr<PlacementLeader> leader;
  };
  struct Work {
    int entry = 0;
    uint64_t incarnation = 0;  // Of the entry.
    uint64_t number = 0;
    bool poison = false;
    int attempts_left = 0;
    PartKey mark;
    int returns_left = 0;  // Attempts that the client will make.
    bool has_head = false;
    bool has_event = false;
  };

  static InstanceId EntryName(int index) {
    return InstanceId("entry-" + std::to_string(index));
  }
  static InstanceId AgentName(int index) {
    return InstanceId("agent-" + std::to_string(index));
  }

  void At(Time time, std::function<void()> event) {
    events_.emplace(time, std::move(event));
  }
  void CountReport(const MessageBody& body) {
    const auto* report = std::get_if<BlameReport>(&body);
    if (report == nullptr) {
      return;
    }
    ++reports_;
    mark_reports_ += std::any_of(report->records.begin(), report->records.end(),
                                 [](const auto& it) { return it.is_own_mark; })
                         ? 1
                         : 0;
  }
  Duration Delay() {
    return Duration(static_cast<int64_t>(1'000 + random_.UniformBelow(3'000)));
  }
  // Messages from one process to another arrive in order.
  using Link = std::pair<InstanceId, InstanceId>;
  Time Arrival(const Link& link) {
    Time& last = last_arrivals_[link];
    last = std::max(last, now_ + Delay());
    return last;
  }
  TargetId NextTarget() {
    return TargetId("t" + std::to_string(next_target_++));
  }

  bool IsHidden(int agent, int entry) const {
    return agent == hidden_agent_ && entry % 2 == 1;
  }

  void StartAgent(int index) {
    Agent& agent = agents_[static_cast<size_t>(index)];
    const uint64_t incarnation = ++agent.incarnation;
    agent.leader = std::make_unique<PlacementLeader>(
        Heartbeat{Role::kAgent, DataCentreId("dc"), "", false},
        CrashBlameLimits(),
        [this, index, incarnation](const PeerId& to, MessageBody body) {
          const int entry = std::stoi(to.instance.value().substr(6));
          if (IsHidden(index, entry)) {
            return;
          }
          CountReport(body);
          At(Arrival({AgentName(index), EntryName(entry)}),
             [this, index, incarnation, entry, to, body = std::move(body)] {
               Entry& it = *entries_[static_cast<size_t>(entry)];
               if (it.incarnation == to.incarnation.value()) {
                 it.client->OnMessage(
                     {{AgentName(index), Incarnation(incarnation)},
                      to.incarnation,
                      {},
                      body},
                     now_);
               }
             });
        });
  }

  void StartEntry(int index) {
    Entry& entry = *entries_[static_cast<size_t>(index)];
    ++entry.incarnation;
    entry.client = std::make_unique<PlacementClient>(
        PeerId{EntryName(index), Incarnation(entry.incarnation)}, Heartbeat{},
        &entry.bus);
    entry.client->SetTargets(MakeList(), now_);
    std::vector<AgentEndpoint> agents;
    for (int i = 0; i < kAgents; ++i) {
      agents.push_back({AgentName(i), "", DataCentreId("dc")});
    }
    entry.client->SetAgents(std::move(agents), now_);
  }

  void Deliver(int entry, const InstanceId& to, MessageBody body) {
    const int agent = std::stoi(to.value().substr(6));
    if (IsHidden(agent, entry)) {
      return;
    }
    CountReport(body);
    const uint64_t incarnation =
        entries_[static_cast<size_t>(entry)]->incarnation;
    At(Arrival({EntryName(entry), to}), [this, entry, incarnation, agent,
                                         body = std::move(body)] {
      Agent& it = agents_[static_cast<size_t>(agent)];
      if (it.leader) {
        it.leader->OnMessage(
            {{EntryName(entry), Incarnation(incarnation)}, {}, {}, body}, now_);
      }
    });
  }

  TargetList MakeList() const {
    TargetList list;
    list.service = ServiceId("llm");
    list.revision = revision_;
    // Enough for all requests while half of the targets are down, so that a
    // request that is refused was refused because of its parts.
    list.cost.slots = 128;
    for (const TargetId& it : targets_) {
      list.targets.push_back({it, it.value(), DataCentreId("dc"), Duration(0)});
    }
    return list;
  }
  void PublishTargets() {
    ++revision_;
    for (const auto& it : entries_) {
      it->client->SetTargets(MakeList(), now_);
    }
  }

  void SendFrom(int index, bool poison, int attempts) {
    Work work;
    work.entry = index;
    work.poison = poison;
    work.attempts_left = attempts;
    SendWork(work);
  }

  // The client sends its request to any entry, if it has not given up.
  void Return(Work work) {
    if (work.returns_left == 0) {
      sound_given_up_ += work.poison ? 0 : 1;
      return;
    }
    --work.returns_left;
    work.entry = static_cast<int>(random_.UniformBelow(entries_.size()));
    work.attempts_left = kAttempts;
    SendWork(work);
  }

  void SendWork(Work work) {
    const int index = work.entry;
    const bool poison = work.poison;
    const int attempts = work.attempts_left;
    Entry& entry = *entries_[static_cast<size_t>(index)];
    PlacementAsk ask;
    ask.service = ServiceId("llm");
    ask.prompt = Tokens(5'000);
    ask.output = Tokens(500);
    ask.first_event_left = milliseconds(300);
    ask.gap_target = milliseconds(200);
    ask.time_left = seconds(10);
    ask.parts = poison && work.mark == PartKey() ? PartKeys{kFirst, kPoison}
                                                 : PartKeys{kFirst};
    ask.own_mark = work.mark;
    ask.number = entry.client->NextNumber();
    work.incarnation = entry.incarnation;
    work.number = ask.number;
    work.has_head = work.has_event = false;
    healthy_sent_ += !poison && attempts == 2 ? 1 : 0;
    entry.client->RequestPlacement(
        ask,
        [this, work](const PlacementReply& reply) { OnPlaced(work, reply); },
        now_);
  }

  void OnPlaced(const Work& work, const PlacementReply& reply) {
    if (reply.verdict != PlacementVerdict::kPlaced) {
      healthy_refused_ += work.poison ? 0 : 1;
      sound_blocked_ +=
          !work.poison && reply.verdict == PlacementVerdict::kBlocked ? 1 : 0;
      if (work.mark != PartKey()) {
        At(now_ + kReturnDelay, [this, work] { Return(work); });
      }
      return;
    }
    if (work.poison) {
      poison_sends_.push_back(now_);
    }
    const TargetId target = reply.target;
    const uint64_t id = next_work_++;
    if (std::find(targets_.begin(), targets_.end(), target) == targets_.end()) {
      // A target without work goes down unnoticed until it is tried.
      const TargetId failed = work.mark == PartKey() ? TargetId() : target;
      At(now_ + milliseconds(1), [this, work, failed] {
        Report(work, PlacementEvent::kTargetFailed, failed);
        Retry(work);
      });
      return;
    }
    running_[target][id] = work;
    At(now_ + milliseconds(60), [this, target, id] {
      if (Work* it = Find(target, id)) {
        it->has_head = true;
      }
    });
    At(now_ + milliseconds(110), [this, target, id] { Begin(target, id); });
    At(now_ + milliseconds(1'500), [this, target, id] { End(target, id); });
  }

  Work* Find(const TargetId& target, uint64_t id) {
    const auto works = running_.find(target);
    if (works == running_.end()) {
      return nullptr;
    }
    const auto it = works->second.find(id);
    return it == works->second.end() ? nullptr : &it->second;
  }

  void Report(const Work& work, PlacementEvent event, const TargetId& failed) {
    Entry& entry = *entries_[static_cast<size_t>(work.entry)];
    if (entry.incarnation == work.incarnation) {
      entry.client->ReportEvent(work.number, event, failed, now_);
    }
  }

  void Begin(const TargetId& target, uint64_t id) {
    Work* work = Find(target, id);
    if (work == nullptr) {
      return;
    }
    if (work->poison) {
      crashes_by_mark_[work->mark] += work->mark != PartKey() ? 1 : 0;
      Crash(target);
      return;
    }
    work->has_event = true;
    healthy_begun_ += work->attempts_left == 2 ? 1 : 0;
    Report(*work, PlacementEvent::kFirstEvent, TargetId());
  }

  void End(const TargetId& target, uint64_t id) {
    if (Work* work = Find(target, id)) {
      Report(*work, PlacementEvent::kEnded, TargetId());
      ++healthy_answered_;
      running_[target].erase(id);
    }
  }

  void Crash(const TargetId& target) {
    crash_times_.push_back(now_);
    const std::map<uint64_t, Work> works = std::move(running_[target]);
    running_.erase(target);
    std::erase(targets_, target);
    for (const auto& [id, work] : works) {
      const Duration news = Delay();
      At(now_ + news, [this, target, work = work] {
        const PlacementEvent event =
            work.has_event  ? PlacementEvent::kBrokenAfterStart
            : work.has_head ? PlacementEvent::kBrokenAtStart
                            : PlacementEvent::kBrokenUnanswered;
        Report(work, event, target);
        Retry(work);
      });
    }
    At(now_ + seconds(3), [this] {
      targets_.push_back(NextTarget());
      PublishTargets();
    });
  }

  // Like an entry, whose callers repeat their request as well.
  void Retry(const Work& work) {
    const Entry& entry = *entries_[static_cast<size_t>(work.entry)];
    if (work.attempts_left > 1 && entry.incarnation == work.incarnation) {
      Work next = work;
      --next.attempts_left;
      SendWork(next);
    } else if (work.mark != PartKey()) {
      At(now_ + kReturnDelay, [this, work] { Return(work); });
    }
  }

  Random random_;
  Time now_{seconds(100)};
  std::multimap<Time, std::function<void()>> events_;
  std::vector<TargetId> targets_;
  std::vector<Agent> agents_;
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<TargetId, std::map<uint64_t, Work>> running_;
  std::map<Link, Time> last_arrivals_;
  uint64_t revision_ = 1;
  int next_target_ = 0;
  uint64_t next_work_ = 1;
  int hidden_agent_ = -1;
  std::vector<Time> crash_times_;
  std::vector<Time> poison_sends_;
  std::map<PartKey, size_t> crashes_by_mark_;  // Of deadly requests.
  uint64_t next_mark_ = 1'000;
  size_t sound_blocked_ = 0;
  size_t sound_given_up_ = 0;
  size_t reports_ = 0;
  size_t mark_reports_ = 0;
  size_t healthy_refused_ = 0;
  size_t healthy_sent_ = 0;
  size_t healthy_begun_ = 0;
  size_t healthy_answered_ = 0;
};

// Number of entries, and seed.
using FleetParam = std::tuple<int, uint64_t>;

class LeaderFleetTest : public testing::TestWithParam<FleetParam> {
 protected:
  static int entries() { return std::get<0>(GetParam()); }
  static uint64_t seed() { return std::get<1>(GetParam()); }

  static void ExpectWithinLimits(const LeaderFleet& fleet) {
    EXPECT_LE(fleet.crashes(), kMaxCrashes);
    EXPECT_LE(fleet.late_sends(), kMaxLateSends);
    EXPECT_EQ(fleet.healthy_refused(), 0u);
    EXPECT_GT(fleet.healthy_answered(), 0u);
  }
};

INSTANTIATE_TEST_SUITE_P(Entries,
                         LeaderFleetTest,
                         testing::Combine(testing::Values(10, 100, 1'000),
                                          testing::Values(1, 2)));

// Guards against a part that crashes targets as often as there are entries.
TEST_P(LeaderFleetTest, PartIsBlockedForAllEntries) {
  LeaderFleet fleet(entries(), seed());
  fleet.Run(seconds(3), 0, 100);
  fleet.Run(seconds(12), 5, 100);
  ExpectWithinLimits(fleet);
  EXPECT_EQ(fleet.blocked_entries(fleet.now()), static_cast<size_t>(entries()));
}

// Guards against healthy requests that are held back or refused because they
// share their first part with requests that crash targets.
TEST_P(LeaderFleetTest, HealthyRequestsAreServedAsBefore) {
  LeaderFleet fleet(entries(), seed());
  fleet.Run(seconds(4), 0, 100);
  const double before = fleet.TakeFirstAttemptShare();
  // More of the requests with the first part are poison than healthy.
  fleet.Run(2 * kReactionTime, 100, 60);
  fleet.TakeFirstAttemptShare();
  fleet.Run(seconds(6), 100, 60);
  EXPECT_GE(fleet.TakeFirstAttemptShare(), 0.5 * before);
  EXPECT_EQ(fleet.healthy_refused(), 0u);
  EXPECT_LE(fleet.late_sends(), kMaxLateSends);
}

// Guards against blame of a hot part for crashes that have another cause: one
// after the other, and half of the targets at one moment.
TEST_P(LeaderFleetTest, OrdinaryCrashesBlameNoPart) {
  LeaderFleet fleet(entries(), seed());
  fleet.Run(seconds(2), 0, 200);
  for (int i = 0; i < 40; ++i) {
    fleet.CrashTargets(i == 20 ? LeaderFleet::kTargets / 2 : 1);
    fleet.Run(milliseconds(250), 0, 200);
  }
  EXPECT_GE(fleet.crashes(), 40u);
  EXPECT_EQ(fleet.blocks(), 0u);
  EXPECT_EQ(fleet.healthy_refused(), 0u);
}

// Guards against a leader that takes the evidence or the block along when it
// is lost.
TEST_P(LeaderFleetTest, BlockOutlivesLeaders) {
  LeaderFleet fleet(entries(), seed());
  fleet.Run(seconds(3), 0, 100);
  while (fleet.crashes() < 1) {
    fleet.Run(milliseconds(10), 5, 100);
  }
  fleet.KillAgent(0, seconds(2));
  fleet.Run(seconds(4), 5, 100);
  fleet.KillAgent(0, seconds(2));
  fleet.Run(milliseconds(200), 5, 100);
  fleet.KillAgent(1, seconds(2));
  fleet.Run(seconds(6), 5, 100);
  ExpectWithinLimits(fleet);
}

// Guards against entries that start anew, with an empty memory.
TEST_P(LeaderFleetTest, BlockOutlivesEntries) {
  LeaderFleet fleet(entries(), seed());
  fleet.Run(seconds(3), 0, 100);
  fleet.Run(seconds(2), 5, 100);
  for (int i = 0; i < entries(); ++i) {
    fleet.RestartEntry(i);
    fleet.Run(milliseconds(i % 10 == 0 ? 10 : 1), 5, 100);
  }
  fleet.Run(seconds(3), 5, 100);
  ExpectWithinLimits(fleet);
}

// Guards against a rolling restart that loses the block: first all entries,
// then the leaders.
TEST_P(LeaderFleetTest, BlockOutlivesARollingRestart) {
  LeaderFleet fleet(entries(), seed());
  fleet.Run(seconds(3), 0, 100);
  fleet.Run(seconds(3), 5, 100);
  for (int i = 0; i < entries(); ++i) {
    fleet.RestartEntry(i);
    fleet.Run(milliseconds(i % 10 == 0 ? 10 : 1), 5, 100);
  }
  fleet.Run(seconds(1), 5, 100);
  for (int i = 0; i < LeaderFleet::kAgents; ++i) {
    fleet.KillAgent(i, seconds(1));
    fleet.Run(seconds(2), 5, 100);
  }
  ExpectWithinLimits(fleet);
}

// Guards against two leaders that each learn of their own entries' crashes
// only.
TEST_P(LeaderFleetTest, BlockReachesEntriesOfAnotherLeader) {
  LeaderFleet fleet(entries(), seed());
  fleet.HideAgentFromOddEntries(0);
  fleet.Run(seconds(3), 0, 100);
  const size_t reports = fleet.reports();
  fleet.Run(seconds(12), 5, 100);
  EXPECT_LE(fleet.crashes(), kMaxCrashes);
  EXPECT_LE(fleet.late_sends(), kMaxLateSends);
  EXPECT_EQ(fleet.healthy_refused(), 0u);
  // Each of the leaders tells all entries of each crash, of the block and of
  // the first part's answers, and half of the entries tell their leader.
  EXPECT_LE(fleet.reports() - reports, 24 * static_cast<size_t>(entries()));
}

// Requests that each crash every target they run on, all of whose parts sound
// requests share.
class DeadlyRequestFleetTest : public LeaderFleetTest {
 protected:
  static constexpr int kDeadlyPerS = 2;
  static constexpr int kSoundPerS = 100;
  // Reports of suspicions; independent of the number of entries.
  static constexpr size_t kMaxMarkReportsPerCrash = 20;

  static void ExpectRequestsAreBlocked(const LeaderFleet& fleet) {
    EXPECT_GT(fleet.deadly_requests(), 4u);
    EXPECT_LE(fleet.most_crashes_by_request(), kMaxCrashesByRequest);
    EXPECT_EQ(fleet.sound_blocked(), 0u);
    EXPECT_EQ(fleet.sound_given_up(), 0u);
    EXPECT_GT(fleet.healthy_answered(), 100u);
  }
};

INSTANTIATE_TEST_SUITE_P(Entries,
                         DeadlyRequestFleetTest,
                         testing::Combine(testing::Values(10, 100, 1'000),
                                          testing::Values(1, 2)));

// Guards against a request that takes down a target at each entry that its
// client comes back to, and against refusals of requests that share its parts.
TEST_P(DeadlyRequestFleetTest, RequestIsBlockedAtAllEntries) {
  LeaderFleet fleet(entries(), seed());
  fleet.RunMarked(seconds(2), 0, kSoundPerS);
  fleet.RunMarked(seconds(8), kDeadlyPerS, kSoundPerS);
  ExpectRequestsAreBlocked(fleet);
  // Each entry is told once of a block, and only agents of a suspicion.
  EXPECT_LE(fleet.mark_reports(),
            fleet.deadly_requests() * static_cast<size_t>(entries()) +
                fleet.crashes() * kMaxMarkReportsPerCrash);
}

// Guards against evidence that is lost with a leader.
TEST_P(DeadlyRequestFleetTest, BlockOutlivesLeaders) {
  LeaderFleet fleet(entries(), seed());
  fleet.RunMarked(seconds(2), 0, kSoundPerS);
  fleet.RunMarked(seconds(2), kDeadlyPerS, kSoundPerS);
  for (int i = 0; i < LeaderFleet::kAgents; ++i) {
    fleet.KillAgent(i, seconds(2));
    fleet.RunMarked(seconds(4), kDeadlyPerS, kSoundPerS);
  }
  ExpectRequestsAreBlocked(fleet);
}

// Guards against evidence that is lost with an entry.
TEST_P(DeadlyRequestFleetTest, BlockOutlivesEntries) {
  LeaderFleet fleet(entries(), seed());
  fleet.RunMarked(seconds(2), 0, kSoundPerS);
  for (int i = 0; i < 20; ++i) {
    fleet.RestartEntry(i % entries());
    fleet.RunMarked(milliseconds(250), kDeadlyPerS, kSoundPerS);
  }
  ExpectRequestsAreBlocked(fleet);
}

// Guards against two leaders that each need crashes of their own.
TEST_P(DeadlyRequestFleetTest, RequestIsBlockedByTwoLeaders) {
  LeaderFleet fleet(entries(), seed());
  fleet.HideAgentFromOddEntries(0);
  fleet.RunMarked(seconds(3), 0, kSoundPerS);
  fleet.RunMarked(seconds(8), kDeadlyPerS, kSoundPerS);
  ExpectRequestsAreBlocked(fleet);
}

// Guards against blocks of requests that ordinary crashes cut off, and against
// a storm of messages about them.
TEST_P(DeadlyRequestFleetTest, OrdinaryCrashesBlockNoRequest) {
  LeaderFleet fleet(entries(), seed());
  fleet.RunMarked(seconds(2), 0, 200);
  for (int i = 0; i < 40; ++i) {
    fleet.CrashTargets(i == 20 ? LeaderFleet::kTargets / 2 : 1);
    fleet.RunMarked(milliseconds(250), 0, 200);
  }
  EXPECT_EQ(fleet.blocks(), 0u);
  EXPECT_EQ(fleet.sound_blocked(), 0u);
  EXPECT_LE(fleet.mark_reports(), fleet.crashes() * kMaxMarkReportsPerCrash);
}

// Entries that exchange reports with their heartbeat peers. All requests with
// kPoison crash their engine 150 ms after they were offered.
class GossipFleet {
 public:
  static constexpr uint64_t kTargets = 20;

  GossipFleet(int entries, uint64_t seed) : random_(seed) {
    std::vector<InstanceInfo> instances;
    for (int i = 0; i < entries; ++i) {
      InstanceInfo info;
      info.instance = Name(i);
      info.role = Role::kEntry;
      info.address = "127.0.0.1:" + std::to_string(1'000 + i);
      info.data_centre = DataCentreId("dc");
      instances.push_back(info);
    }
    for (int i = 0; i < entries; ++i) {
      ConfigDistributorOptions options;
      options.self = {Name(i), Incarnation(1)};
      options.seed = static_cast<uint64_t>(i);
      ConfigDistributor distributor(options, now_);
      distributor.OnInstances(instances, now_);
      distributor.Tick(now_);
      std::vector<int> peers;
      for (const InstanceId& it : distributor.heartbeat_peers()) {
        peers.push_back(std::stoi(it.value().substr(6)));
      }
      peers_.push_back(std::move(peers));
      blames_.emplace_back();
    }
  }

  void Run(Duration length, int poison_per_s) {
    const Time end = now_ + length;
    while (now_ < end) {
      now_ += milliseconds(1);
      if (random_.UniformReal() * 1'000 < poison_per_s) {
        Offer(static_cast<int>(random_.UniformBelow(blames_.size())), 2);
      }
      while (!events_.empty() && events_.begin()->first <= now_) {
        auto node = events_.extract(events_.begin());
        node.mapped()();
      }
    }
  }

  // Requests that crash by themselves; all entries know answers with kFirst.
  // Their clients come back through any entry.
  void RunDeadly(Duration length, int deadly_per_s) {
    const Time end = now_ + length;
    while (now_ < end) {
      now_ += milliseconds(1);
      if (now_.time_since_epoch() % seconds(1) == Duration(0)) {
        for (CrashBlame& it : blames_) {
          it.OnAnswer({kFirst}, now_);
        }
      }
      if (random_.UniformReal() * 1'000 < deadly_per_s) {
        OfferDeadly(AnyEntry(), PartKey(next_mark_++), kAttempts,
                    kClientAttempts);
      }
      while (!events_.empty() && events_.begin()->first <= now_) {
        auto node = events_.extract(events_.begin());
        node.mapped()();
      }
    }
  }
  size_t most_crashes_by_request() const {
    size_t most = 0;
    for (const auto& [mark, crashes] : crashes_by_mark_) {
      most = std::max(most, crashes);
    }
    return most;
  }
  // Entries at which a sound request with kFirst may be sent at once.
  size_t CountServing() const {
    return static_cast<size_t>(
        std::count_if(blames_.begin(), blames_.end(), [&](const auto& it) {
          const auto decision = it.Check({kFirst}, 0, now_, PartKey(9));
          return decision.verdict == CrashBlame::Verdict::kSend &&
                 !decision.is_trial;
        }));
  }

  // Healthy requests that share the first part and one of `sessions` further
  // ones, while a target crashes every half second.
  void RunHealthy(Duration length, int requests_per_s, uint64_t sessions) {
    const Time end = now_ + length;
    while (now_ < end) {
      now_ += milliseconds(1);
      if (random_.UniformReal() * 1'000 < requests_per_s) {
        SendHealthy(static_cast<int>(random_.UniformBelow(blames_.size())),
                    PartKey(100 + random_.UniformBelow(sessions)));
      }
      if (now_.time_since_epoch() % milliseconds(500) == Duration(0)) {
        CrashTarget(random_.UniformBelow(kTargets));
      }
      while (!events_.empty() && events_.begin()->first <= now_) {
        auto node = events_.extract(events_.begin());
        node.mapped()();
      }
    }
  }

  size_t crashes() const { return crashes_; }
  size_t messages() const { return messages_; }
  size_t CountBlocked() const {
    return static_cast<size_t>(std::count_if(
        blames_.begin(), blames_.end(),
        [&](const auto& it) { return it.CountBlocked(now_) > 0; }));
  }

 private:
  static InstanceId Name(int index) {
    return InstanceId("entry-" + std::to_string(index));
  }
  CrashBlame& blame(int index) { return blames_[static_cast<size_t>(index)]; }

  void Offer(int index, int attempts) {
    const uint64_t trial = next_trial_++;
    switch (blame(index).Check({kFirst, kPoison}, trial, now_).verdict) {
      case CrashBlame::Verdict::kBlocked:
        return;
      case CrashBlame::Verdict::kWait:
        events_.emplace(now_ + milliseconds(20),
                        [this, index, attempts] { Offer(index, attempts); });
        return;
      case CrashBlame::Verdict::kSend:
        break;
    }
    blame(index).OnSent({kFirst, kPoison}, trial, now_);
    const Time sent = now_;
    events_.emplace(
        now_ + milliseconds(150), [this, index, attempts, trial, sent] {
          ++crashes_;
          blame(index).OnCrash({kFirst, kPoison}, std::to_string(crashes_),
                               sent, CrashEvidence::kAtStart, now_);
          blame(index).EndTrial(trial);
          Spread(index);
          if (attempts > 1) {
            Offer(index, attempts - 1);
          }
        });
  }

  int AnyEntry() {
    return static_cast<int>(random_.UniformBelow(blames_.size()));
  }

  void OfferDeadly(int index, PartKey mark, int attempts, int returns) {
    const uint64_t trial = next_trial_++;
    const CrashBlame::Verdict verdict =
        blame(index).Check({kFirst}, trial, now_, mark).verdict;
    if (verdict == CrashBlame::Verdict::kWait) {
      events_.emplace(now_ + milliseconds(20), [=, this] {
        OfferDeadly(index, mark, attempts, returns);
      });
      return;
    }
    if (verdict == CrashBlame::Verdict::kBlocked || attempts == 0) {
      if (returns > 1) {
        events_.emplace(now_ + kReturnDelay, [=, this] {
          OfferDeadly(AnyEntry(), mark, kAttempts, returns - 1);
        });
      }
      return;
    }
    blame(index).OnSent({kFirst}, trial, now_, mark);
    const Time sent = now_;
    events_.emplace(now_ + milliseconds(150), [=, this] {
      ++crashes_;
      ++crashes_by_mark_[mark];
      blame(index).OnCrash({kFirst}, std::to_string(crashes_), sent,
                           CrashEvidence::kAtStart, now_, mark);
      blame(index).EndTrial(trial);
      Spread(index);
      OfferDeadly(index, mark, attempts - 1, returns);
    });
  }

  struct HealthyWork {
    int entry = 0;
    PartKey session;
    uint64_t trial = 0;
    Time sent_at{};
  };

  void SendHealthy(int index, PartKey session) {
    const HealthyWork work{index, session, next_trial_++, now_};
    const PartKeys parts{kFirst, session};
    EXPECT_NE(blame(index).Check(parts, work.trial, now_).verdict,
              CrashBlame::Verdict::kBlocked);
    blame(index).OnSent(parts, work.trial, now_);
    const uint64_t target = random_.UniformBelow(kTargets);
    healthy_[target][work.trial] = work;
    events_.emplace(now_ + milliseconds(150), [this, target, work, parts] {
      if (healthy_[target].erase(work.trial) == 1) {
        blame(work.entry).OnAnswer(parts, now_);
        blame(work.entry).EndTrial(work.trial);
        Spread(work.entry);
      }
    });
  }

  // The request that was sent first is taken for the cause.
  void CrashTarget(uint64_t target) {
    ++crashes_;
    CrashEvidence evidence = CrashEvidence::kAtStart;
    for (const auto& [trial, work] : std::exchange(healthy_[target], {})) {
      blame(work.entry)
          .OnCrash({kFirst, work.session}, std::to_string(target), work.sent_at,
                   std::exchange(evidence, CrashEvidence::kUnanswered), now_);
      blame(work.entry).EndTrial(trial);
      Spread(work.entry);
      SendHealthy(work.entry, work.session);
    }
  }

  void Spread(int index) {
    const BlameReport news = blame(index).TakeChanges(now_);
    if (news.empty()) {
      return;
    }
    for (const int peer : peers_[static_cast<size_t>(index)]) {
      ++messages_;
      events_.emplace(now_ + milliseconds(2 + random_.UniformBelow(3)),
                      [this, peer, news] {
                        blame(peer).Merge(news, now_);
                        Spread(peer);
                      });
    }
  }

  Random random_;
  Time now_{seconds(100)};
  std::multimap<Time, std::function<void()>> events_;
  std::vector<std::vector<int>> peers_;
  std::vector<CrashBlame> blames_;
  std::map<uint64_t, std::map<uint64_t, HealthyWork>> healthy_;  // By target.
  std::map<PartKey, size_t> crashes_by_mark_;
  uint64_t next_mark_ = 1'000;
  uint64_t next_trial_ = 1;
  size_t crashes_ = 0;
  size_t messages_ = 0;
};

class GossipFleetTest : public testing::TestWithParam<FleetParam> {};

INSTANTIATE_TEST_SUITE_P(Entries,
                         GossipFleetTest,
                         testing::Combine(testing::Values(10, 100, 1'000),
                                          testing::Values(1, 2)));

// Guards against entries without leaders that each need crashes of their own,
// and against reports that never stop going round.
TEST_P(GossipFleetTest, PartIsBlockedAtAllEntries) {
  const auto [entries, seed] = GetParam();
  GossipFleet fleet(entries, seed);
  fleet.Run(seconds(10), 5);
  EXPECT_EQ(fleet.CountBlocked(), static_cast<size_t>(entries));
  EXPECT_LE(fleet.crashes(), kMaxCrashes + kMaxLateSends);
  const size_t messages = fleet.messages();
  // Each crash and the block go once along each edge, in both directions.
  EXPECT_LE(messages, fleet.crashes() * static_cast<size_t>(entries) * 24);
  fleet.Run(seconds(5), 5);
  EXPECT_EQ(fleet.messages(), messages);
}

// Guards against a request that takes down an engine through each entry that
// its client comes back to.
TEST_P(GossipFleetTest, DeadlyRequestIsBlockedAtAllEntries) {
  const auto [entries, seed] = GetParam();
  GossipFleet fleet(entries, seed);
  fleet.RunDeadly(seconds(1), 0);
  fleet.RunDeadly(seconds(6), 2);
  EXPECT_GT(fleet.crashes(), 10u);
  EXPECT_LE(fleet.most_crashes_by_request(), kMaxCrashesByRequest);
  EXPECT_EQ(fleet.CountServing(), static_cast<size_t>(entries));
  EXPECT_LE(fleet.messages(),
            fleet.crashes() * static_cast<size_t>(entries) * 24);
}

// Guards against blame of a hot part and of sessions for crashes that have
// another cause.
TEST_P(GossipFleetTest, OrdinaryCrashesBlameNoPart) {
  const auto [entries, seed] = GetParam();
  GossipFleet fleet(entries, seed);
  fleet.RunHealthy(seconds(20), 200, 30);
  EXPECT_GE(fleet.crashes(), 40u);
  EXPECT_EQ(fleet.CountBlocked(), 0u);
}

}  // namespace
}  // namespace burdockhatch
