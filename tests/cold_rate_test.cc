// The rate of requests to a cold target, over any number of entries and
// leaders.
#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "src/placement_client.h"
#include "src/random.h"
#include "src/service_balancer.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kColdRate = 14;
// What a target that turns cold tolerates in one second.
constexpr size_t kToleratedPerSecond = 26;

// Counts events in a sliding second.
class SlidingSecond {
 public:
  void Add(Time now) {
    times_.push_back(now);
    while (now - times_.front() >= seconds(1)) {
      times_.pop_front();
    }
    most_ = std::max(most_, times_.size());
    ++total_;
  }
  size_t most() const { return most_; }
  size_t total() const { return total_; }

 private:
  std::deque<Time> times_;
  size_t most_ = 0;
  size_t total_ = 0;
};

// Entries and agents that exchange messages without delay. All work goes to one
// cold target.
class ColdFleet {
 public:
  explicit ColdFleet(int entry_count) {
    for (int i = 0; i < entry_count; ++i) {
      entries_.push_back(std::make_unique<Entry>(this, i));
      SetTargets(*entries_.back()->client);
    }
  }

  int size() const { return static_cast<int>(entries_.size()); }
  const SlidingSecond& placed() const { return placed_; }

  // Restarts an agent, which forgets what it has placed.
  void RestartAgent(const std::string& name) {
    ++incarnations_[name];
    schedulers_[name] = PlacementScheduler();
  }
  void StopAgent(const std::string& name) { schedulers_.erase(name); }

  void SetAgents(int entry, const std::vector<std::string>& names) {
    std::vector<AgentEndpoint> agents;
    for (const std::string& it : names) {
      agents.push_back({InstanceId(it), "10.0.0.1:7000", DataCentreId("dc")});
    }
    entries_[static_cast<size_t>(entry)]->client->SetAgents(agents, now_);
  }

  // Each entry has one request in each step.
  void Run(Duration duration, Duration step = milliseconds(50)) {
    for (const Time end = now_ + duration; now_ < end; now_ += step) {
      for (const auto& it : entries_) {
        it->client->Tick(now_);
        Deliver();
        Request(*it->client);
        Deliver();
      }
    }
  }

 private:
  struct Entry : PlacementBus {
    Entry(ColdFleet* fleet, int number)
        : fleet(fleet),
          self{InstanceId("entry-" + std::to_string(number)), Incarnation(1)},
          client(std::make_unique<PlacementClient>(self, Heartbeat{}, this)) {}

    void Send(const InstanceId& to, MessageBody body) override {
      fleet->in_flight_.push_back({this, to.value(), std::move(body)});
    }
    void Connect(const InstanceId&, const std::string&) override {}
    void Disconnect(const InstanceId&) override {}

    ColdFleet* fleet;
    PeerId self;
    std::unique_ptr<PlacementClient> client;
  };

  struct InFlight {
    Entry* from;
    std::string to;
    MessageBody body;
  };

  void SetTargets(PlacementClient& client) const {
    TargetList list;
    list.service = ServiceId("llm");
    list.revision = 1;
    list.cold_requests_per_s = kColdRate;
    list.targets.push_back(
        {TargetId("cold"), "10.0.0.1:80", DataCentreId("dc"), seconds(600)});
    client.SetTargets(list, now_);
  }

  void Request(PlacementClient& client) {
    PlacementAsk ask;
    ask.number = client.NextNumber();
    ask.service = ServiceId("llm");
    ask.prompt = Tokens(100);
    ask.time_left = milliseconds(40);
    const uint64_t number = ask.number;
    client.RequestPlacement(
        ask,
        [this, number, &client](const PlacementReply& reply) {
          if (reply.verdict == PlacementVerdict::kPlaced) {
            placed_.Add(now_);
            ended_.push_back({&client, number});
          }
        },
        now_);
  }

  void Deliver() {
    while (!in_flight_.empty() || !ended_.empty()) {
      if (!ended_.empty()) {
        const auto [client, number] = ended_.front();
        ended_.pop_front();
        client->ReportEvent(number, PlacementEvent::kEnded, TargetId(), now_);
        continue;
      }
      InFlight message = std::move(in_flight_.front());
      in_flight_.pop_front();
      const auto it = schedulers_.find(message.to);
      if (it == schedulers_.end()) {
        message.from->client->OnUnreachable(InstanceId(message.to), now_);
        continue;
      }
      HandleAt(it->second, message);
    }
  }

  void HandleAt(PlacementScheduler& scheduler, const InFlight& message) {
    const PeerId& entry = message.from->self;
    const PeerId agent{InstanceId(message.to),
                       Incarnation(incarnations_[message.to])};
    if (const auto* ask = std::get_if<PlacementAsk>(&message.body)) {
      scheduler.RequestPlacement(entry, *ask, now_);
    } else if (const auto* it = std::get_if<PlacementChange>(&message.body)) {
      scheduler.ApplyChange(entry, *it, now_);
    } else if (const auto* it = std::get_if<TargetList>(&message.body)) {
      scheduler.SetTargets(*it, now_);
    } else if (std::holds_alternative<Heartbeat>(message.body)) {
      message.from->client->OnMessage({agent, {}, {}, Heartbeat{}}, now_);
    }
    for (const auto& decision : scheduler.TakeDecisions()) {
      for (const auto& it : entries_) {
        if (it->self == decision.entry) {
          it->client->OnMessage({agent, {}, {}, decision.reply}, now_);
        }
      }
    }
  }

  Time now_{seconds(100)};
  std::vector<std::unique_ptr<Entry>> entries_;
  std::map<std::string, PlacementScheduler> schedulers_;
  std::map<std::string, uint64_t> incarnations_;
  std::deque<InFlight> in_flight_;
  std::deque<std::pair<PlacementClient*, uint64_t>> ended_;
  SlidingSecond placed_;
};

class ColdRateTest : public testing::TestWithParam<int> {};

INSTANTIATE_TEST_SUITE_P(EntryCounts,
                         ColdRateTest,
                         testing::Values(10, 100, 1'000));

// Guards against entries that start together without an agent and each send
// their first request to a cold target at once: in a test run with 103 entries
// it got 33 requests in a second, of which it tolerates 26.
TEST_P(ColdRateTest, EntriesWithoutAgentStayWithinTheRate) {
  ColdFleet fleet(GetParam());
  fleet.Run(seconds(3));
  EXPECT_LE(fleet.placed().most(), kToleratedPerSecond);
}

// Guards against agents that all lead while the entries, just started, still
// learn the target list: each leader used the target's whole share.
TEST_P(ColdRateTest, ChangingLeadersStayWithinTheRate) {
  ColdFleet fleet(GetParam());
  Random random(static_cast<uint64_t>(GetParam()));
  std::vector<std::string> names;
  for (int i = 0; i < 12; ++i) {
    names.push_back("agent-" + std::to_string(10 + i));
    fleet.RestartAgent(names.back());
  }
  // The agents register in an order that is not the order of preference. Each
  // entry reads the list with a lag of its own.
  std::vector<std::string> registered = names;
  for (size_t i = registered.size(); i > 1; --i) {
    std::swap(registered[i - 1], registered[random.UniformBelow(i)]);
  }
  constexpr int kAgentsWithinLag = 3;
  for (int known = 1; known <= 12 + kAgentsWithinLag; ++known) {
    for (int i = 0; i < fleet.size(); ++i) {
      const int lag =
          static_cast<int>(random.UniformBelow(kAgentsWithinLag + 1));
      const int seen = std::clamp(known - lag, 0, 12);
      std::vector<std::string> agents(registered.begin(),
                                      registered.begin() + seen);
      std::sort(agents.begin(), agents.end());
      fleet.SetAgents(i, agents);
    }
    fleet.Run(milliseconds(120), milliseconds(40));
  }
  EXPECT_LE(fleet.placed().most(), kToleratedPerSecond);
  // Leaders that stay use the target.
  fleet.Run(seconds(4));
  EXPECT_LE(fleet.placed().most(), kToleratedPerSecond);
  EXPECT_GT(fleet.placed().total(), 0u);
}

// Guards against an agent that has restarted and repeats the rate that its
// predecessor has used, and against entries that lose all agents.
TEST_P(ColdRateTest, RestartedAndLostAgentsStayWithinTheRate) {
  ColdFleet fleet(GetParam());
  const std::vector<std::string> names = {"a", "b", "c"};
  for (const std::string& it : names) {
    fleet.RestartAgent(it);
  }
  for (int i = 0; i < fleet.size(); ++i) {
    fleet.SetAgents(i, names);
  }
  fleet.Run(seconds(4));
  const size_t placed_by_leader = fleet.placed().total();
  EXPECT_GT(placed_by_leader, 0u);
  for (const std::string& it : names) {
    fleet.RestartAgent(it);
    fleet.Run(milliseconds(200));
  }
  for (const std::string& it : names) {
    fleet.StopAgent(it);
  }
  const size_t placed_with_agents = fleet.placed().total();
  fleet.Run(seconds(10), milliseconds(100));
  EXPECT_LE(fleet.placed().most(), kToleratedPerSecond);
  // The entries know their number and use their share of the target.
  EXPECT_GT(fleet.placed().total(), placed_with_agents);
}

// Guards against entries that each call a cold plain service at once.
TEST_P(ColdRateTest, PlainServiceStaysWithinTheRate) {
  const int entry_count = GetParam();
  Time now{seconds(100)};
  FleetDirectory directory;
  TargetRecord record;
  record.target = TargetId("cold");
  record.service = ServiceId("orders");
  record.address = "10.0.0.1:80";
  record.slots = 6;
  record.cold_left = seconds(60);
  directory.Put(record, 1, now);
  std::vector<ServiceBalancer> balancers;
  for (int i = 0; i < entry_count; ++i) {
    balancers.emplace_back(static_cast<uint64_t>(i));
  }
  ServiceBalancer::ChoiceParams params;
  params.cold_requests_per_s = kColdRate;
  SlidingSecond calls;
  // The entries first do not know their number.
  for (int step = 0; step < 200; ++step) {
    if (step == 60) {
      params.entry_count = static_cast<uint32_t>(entry_count);
    }
    for (ServiceBalancer& it : balancers) {
      const auto target = it.BeginCall(
          directory.UsableTargets(ServiceId("orders"), now), params, now);
      if (target) {
        calls.Add(now);
        it.EndCall(*target, CallOutcome::kAnswered, milliseconds(1), now);
      }
    }
    now += milliseconds(50);
  }
  EXPECT_LE(calls.most(), kToleratedPerSecond);
  EXPECT_GT(calls.total(), 0u);
}

}  // namespace
}  // namespace burdockhatch
