// Tests of the rate limits of client accounts that several entries share over a
// network that loses, delays and duplicates messages, and of retry budgets.
#include <gtest/gtest.h>

#include <memory>
#include <set>

#include "src/account_limits.h"
#include "src/retry_budget.h"
#include "tests/entry_invariants.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int64_t kLimit = 10'000;

ClientAccountId TestAccount() {
  return ClientAccountId("account");
}

// Simulated network of entries that share the limit of one account. There are
// no targets, so admitted requests only wait: the tests check admission alone.
class LimitNetwork {
 public:
  LimitNetwork(uint64_t seed, int entries) : random_(seed) {
    config_.version = ConfigVersion(1);
    config_.models[ModelId("model")] = {};
    config_.accounts[TestAccount()] = {TokensPerSecond(kLimit),
                                       Tokens(2 * kLimit), true};
    for (int i = 0; i < entries; ++i) {
      AddEntry("entry-" + std::to_string(i));
    }
    PushConfigAndInstances();
  }

  void AddEntry(const std::string& name) {
    EntryOptions options;
    options.self = {InstanceId(name), Incarnation(1)};
    cores_.push_back(std::make_unique<EntryCore>(options));
    names_.emplace_back(name);
  }

  void PushConfigAndInstances() {
    std::vector<InstanceInfo> list;
    for (const InstanceId& it : names_) {
      InstanceInfo info;
      info.instance = it;
      info.address = "127.0.0.1:1";
      if (!unlisted_.contains(it)) {
        list.push_back(info);
      }
    }
    for (auto& core : cores_) {
      core->OnConfig(std::make_shared<FleetConfig>(config_), now_);
      core->OnInstances(list, now_);
    }
  }

  // Submits a request of `tokens` to entry `index`. Returns whether it was
  // admitted.
  bool RequestAdmission(size_t index, int64_t tokens) {
    RequestSpec spec;
    spec.request = {7, ++next_request_};
    spec.account = TestAccount();
    spec.model = ModelId("model");
    spec.prompt_tokens = Tokens(tokens);
    spec.deadline = now_ + milliseconds(20);
    const RequestId request = spec.request;
    cores_[index]->OnRequest(std::move(spec), now_);
    const bool admitted = cores_[index]->tables().requests.contains(request);
    admitted_ += admitted ? tokens : 0;
    TakeActions(index);
    return admitted;
  }

  void Step() {
    now_ += milliseconds(10);
    std::vector<Packet> due;
    std::erase_if(packets_, [&](const Packet& it) {
      if (it.at <= now_) {
        due.push_back(it);
      }
      return it.at <= now_;
    });
    for (const Packet& it : due) {
      Deliver(it);
    }
    for (size_t i = 0; i < cores_.size(); ++i) {
      cores_[i]->Tick(now_);
      TakeActions(i);
    }
  }

  std::vector<EntryCore*> Cores() {
    std::vector<EntryCore*> all;
    for (auto& it : cores_) {
      all.push_back(it.get());
    }
    return all;
  }

  int64_t AllowedRateOf(size_t index) {
    const EntryTables& tables = cores_[index]->tables();
    const auto bucket = tables.limits.buckets.find(TestAccount());
    return AllowedRate(
        tables.limits, bucket->second, config_.accounts[TestAccount()],
        FindHomeEntry(tables, TestAccount()), CountLiveEntries(tables), now_);
  }

  InstanceId HomeEntry() {
    return FindHomeEntry(cores_[0]->tables(), TestAccount());
  }
  size_t IndexOf(const InstanceId& name) {
    return static_cast<size_t>(std::find(names_.begin(), names_.end(), name) -
                               names_.begin());
  }
  void StopDelivery(const InstanceId& name) { unreachable_.insert(name); }
  void Unlist(const InstanceId& name) { unlisted_.insert(name); }

  Time now() const { return now_; }
  int64_t admitted() const { return admitted_; }
  int share_requests() const { return share_requests_; }
  bool HasLease(size_t index) {
    const EntryTables& tables = cores_[index]->tables();
    const auto bucket = tables.limits.buckets.find(TestAccount());
    return bucket != tables.limits.buckets.end() &&
           bucket->second.lease_until > now_;
  }
  // Probabilities of a fault per message.
  double lost = 0;
  double late = 0;
  double duplicated = 0;

 private:
  struct Packet {
    Time at;
    InstanceId to;
    Message message;
  };

  void TakeActions(size_t index) {
    for (EntryAction& it : cores_[index]->TakeActions()) {
      if (const auto* send = std::get_if<SendMessage>(&it)) {
        Post(names_[index], *send);
      }
    }
  }

  void Post(const InstanceId& from, const SendMessage& send) {
    share_requests_ += std::holds_alternative<ShareRequest>(send.body) ? 1 : 0;
    const int copies = random_.UniformReal() < lost         ? 0
                       : random_.UniformReal() < duplicated ? 2
                                                            : 1;
    for (int i = 0; i < copies; ++i) {
      Packet packet;
      packet.to = send.to.instance;
      packet.message.sender = {from, Incarnation(1)};
      packet.message.receiver = send.to.incarnation;
      packet.message.body = send.body;
      const uint64_t range = random_.UniformReal() < late ? 6'000'000 : 4'000;
      packet.at =
          now_ + Duration(static_cast<int64_t>(random_.UniformBelow(range)));
      packets_.push_back(packet);
    }
  }

  void Deliver(const Packet& packet) {
    if (unreachable_.contains(packet.to)) {
      return;
    }
    const size_t index = IndexOf(packet.to);
    cores_[index]->OnMessage(packet.message, now_);
    TakeActions(index);
  }

  Random random_;
  Time now_{seconds(10)};
  FleetConfig config_;
  std::vector<std::unique_ptr<EntryCore>> cores_;
  std::vector<InstanceId> names_;
  std::vector<Packet> packets_;
  std::set<InstanceId> unreachable_;
  std::set<InstanceId> unlisted_;
  uint64_t next_request_ = 0;
  int64_t admitted_ = 0;
  int share_requests_ = 0;
};

void CheckShareBounds(LimitNetwork& network) {
  CheckSharesWithinLimit(network.Cores(), TestAccount(), kLimit, network.now());
  for (const EntryCore* it : network.Cores()) {
    EXPECT_LE(
        TotalGrantedRate(it->tables().limits, TestAccount(), network.now()),
        kLimit * kMaxLeasedPercent / 100);
  }
}

class EntryLimitsFaultsTest : public testing::TestWithParam<uint64_t> {};

// Guards against entries whose shares together exceed what the home entry may
// grant, when requests and grants are lost, delayed, duplicated or reordered
// and the demand moves between entries.
TEST_P(EntryLimitsFaultsTest, SharesStayWithinTheLimit) {
  LimitNetwork network(GetParam(), 5);
  network.lost = 0.2;
  network.late = 0.2;
  network.duplicated = 0.3;
  Random random(GetParam());
  size_t busy = 0;
  for (int i = 0; i < 6000; ++i) {
    busy = i % 300 == 0 ? random.UniformBelow(5) : busy;
    network.RequestAdmission(
        random.UniformBelow(3) == 0 ? random.UniformBelow(5) : busy, 200);
    network.Step();
    CheckShareBounds(network);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         EntryLimitsFaultsTest,
                         testing::Range<uint64_t>(1, 9));

// Guards against share requests for accounts that no caller uses any more. At
// the design scale most accounts at an entry are used once within a lease.
TEST(EntryLimitsTest, ShareOfAnUnusedAccountIsNotRenewed) {
  LimitNetwork network(1, 2);
  const size_t entry = 1 - network.IndexOf(network.HomeEntry());
  ASSERT_TRUE(network.RequestAdmission(entry, 1));
  for (int i = 0; i < 1000; ++i) {
    network.Step();
  }
  EXPECT_EQ(network.share_requests(), 1);
}

// Guards against a share that is never requested again after the only request
// for it was lost.
TEST(EntryLimitsTest, LostRequestForAnUnusedAccountIsRepeated) {
  LimitNetwork network(1, 2);
  const size_t entry = 1 - network.IndexOf(network.HomeEntry());
  network.lost = 1;
  ASSERT_TRUE(network.RequestAdmission(entry, 1));
  for (int i = 0; i < 100; ++i) {
    network.Step();
  }
  EXPECT_FALSE(network.HasLease(entry));
  network.lost = 0;
  for (int i = 0; i < 200; ++i) {
    network.Step();
  }
  EXPECT_TRUE(network.HasLease(entry));
}

// Guards against entries that exceed the limit in the long run, and against
// entries that cannot use most of it.
TEST(EntryLimitsTest, BusyEntriesTogetherAdmitAboutTheLimit) {
  LimitNetwork network(1, 4);
  for (int i = 0; i < 3000; ++i) {
    for (size_t entry = 0; entry < 4; ++entry) {
      network.RequestAdmission(entry, 100);
    }
    network.Step();
    CheckShareBounds(network);
  }
  EXPECT_LE(network.admitted(), 30 * kLimit + 2 * kLimit);
  EXPECT_GE(network.admitted(), 30 * kLimit * 6 / 10);
}

// Guards against an account that is limited to an even share although only one
// entry receives its requests.
TEST(EntryLimitsTest, SharesFollowDemand) {
  LimitNetwork network(1, 4);
  for (int i = 0; i < 1500; ++i) {
    network.RequestAdmission(0, 100);
    network.RequestAdmission(0, 100);
    network.Step();
  }
  EXPECT_GE(network.AllowedRateOf(0), kLimit * 6 / 10);
  for (int i = 0; i < 1500; ++i) {
    network.RequestAdmission(1, 100);
    network.RequestAdmission(1, 100);
    network.Step();
    CheckShareBounds(network);
  }
  EXPECT_GE(network.AllowedRateOf(1), kLimit * 6 / 10);
}

// Guards against an entry that admits the whole limit before it has a lease.
TEST(EntryLimitsTest, EntryWithoutALeaseUsesATenthOfAnEvenShare) {
  LimitNetwork network(1, 5);
  network.lost = 1;
  const size_t other = network.IndexOf(network.HomeEntry()) == 0 ? 1 : 0;
  for (int i = 0; i < 100; ++i) {
    network.RequestAdmission(other, 100);
    network.Step();
  }
  EXPECT_EQ(network.AllowedRateOf(other), kLimit / 5 / 10);
}

// Guards against an account whose requests are refused after its home entry
// fails.
TEST(EntryLimitsTest, EntryUsesAnEvenShareWhenTheHomeEntryIsUnresponsive) {
  LimitNetwork network(1, 5);
  const size_t other = network.IndexOf(network.HomeEntry()) == 0 ? 1 : 0;
  for (int i = 0; i < 300; ++i) {
    network.RequestAdmission(other, 100);
    network.Step();
  }
  network.StopDelivery(network.HomeEntry());
  for (int i = 0; i < 800; ++i) {
    network.RequestAdmission(other, 100);
    network.Step();
  }
  EXPECT_EQ(network.AllowedRateOf(other), kLimit / 5);
}

// Guards against allowing more than twice the limit while leases of the old
// home entry and of the new one overlap.
TEST(EntryLimitsTest, ChangeOfHomeAtMostDoublesTheLimit) {
  LimitNetwork network(1, 5);
  const InstanceId home = network.HomeEntry();
  for (int i = 0; i < 2000; ++i) {
    for (size_t entry = 0; entry < 5; ++entry) {
      network.RequestAdmission(entry, 100);
    }
    if (i == 1000) {
      network.Unlist(home);
      network.StopDelivery(home);
      network.PushConfigAndInstances();
    }
    network.Step();
    int64_t total = 0;
    for (size_t entry = 0; entry < 5; ++entry) {
      total += network.AllowedRateOf(entry);
    }
    EXPECT_LE(total, 2 * kLimit) << i;
  }
}

// Guards against a prompt larger than the burst that is refused forever, and
// against a bucket that never recovers from it.
TEST(EntryLimitsTest, PromptLargerThanTheBurstIsAdmitted) {
  LimitNetwork network(1, 1);
  EXPECT_TRUE(network.RequestAdmission(0, 100'000));
  EXPECT_FALSE(network.RequestAdmission(0, 10));
  for (int i = 0; i < 3000; ++i) {
    network.Step();
  }
  EXPECT_TRUE(network.RequestAdmission(0, 10));
}

// Guards against a retry budget that is never used up or never recovers.
TEST(RetryBudgetTest, AllowsRetriesForATenthOfTheAdmittedRequests) {
  RetryBudgets budgets;
  const ClientAccountId account("a");
  int initial = 0;
  for (int i = 0; i < 1000; ++i) {
    initial += TryTakeRetry(budgets, account) ? 1 : 0;
  }
  EXPECT_EQ(initial, kInitialRetryCredit / kCreditPerRetry);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    AddRetryCredit(budgets, account);
    retries += TryTakeRetry(budgets, account) ? 1 : 0;
  }
  EXPECT_EQ(retries, 100);
}

}  // namespace
}  // namespace burdockhatch
