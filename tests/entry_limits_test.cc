// Rate limits of client accounts over several entries, with a faulty network
// between them.
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

ClientAccountId Account() {
  return ClientAccountId("account");
}

// Entries that share one account. They have no targets, so an admitted request
// waits; only admission is looked at.
class ShareNet {
 public:
  ShareNet(uint64_t seed, int entries) : random_(seed) {
    config_.version = ConfigVersion(1);
    config_.models[ModelId("model")] = {};
    config_.accounts[Account()] = {TokensPerSecond(kLimit), Tokens(2 * kLimit),
                                   true};
    for (int i = 0; i < entries; ++i) {
      AddEntry("entry-" + std::to_string(i));
    }
    PushAll();
  }

  void AddEntry(const std::string& name) {
    EntryOptions options;
    options.self = {InstanceId(name), Incarnation(1)};
    cores_.push_back(std::make_unique<EntryCore>(options));
    names_.emplace_back(name);
  }

  void PushAll() {
    std::vector<InstanceInfo> list;
    for (const InstanceId& it : names_) {
      InstanceInfo info;
      info.instance = it;
      info.address = "127.0.0.1:1";
      if (!gone_.contains(it)) {
        list.push_back(info);
      }
    }
    for (auto& core : cores_) {
      core->OnConfig(std::make_shared<FleetConfig>(config_), now_);
      core->OnInstances(list, now_);
    }
  }

  // Asks entry `index` to admit `tokens`; returns whether it did.
  bool Ask(size_t index, int64_t tokens) {
    RequestSpec spec;
    spec.request = {7, ++next_request_};
    spec.account = Account();
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
      DeliverTo(it);
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

  int64_t RateOf(size_t index) {
    const EntryTables& tables = cores_[index]->tables();
    const auto bucket = tables.limits.buckets.find(Account());
    return AllowedRate(
        tables.limits, bucket->second, config_.accounts[Account()],
        FindHomeEntry(tables, Account()), CountLiveEntries(tables), now_);
  }

  InstanceId Home() { return FindHomeEntry(cores_[0]->tables(), Account()); }
  size_t IndexOf(const InstanceId& name) {
    return static_cast<size_t>(std::find(names_.begin(), names_.end(), name) -
                               names_.begin());
  }
  void Silence(const InstanceId& name) { silent_.insert(name); }
  void RemoveFromList(const InstanceId& name) { gone_.insert(name); }

  Time now() const { return now_; }
  int64_t admitted() const { return admitted_; }
  int share_requests() const { return share_requests_; }
  bool HasLease(size_t index) {
    const EntryTables& tables = cores_[index]->tables();
    const auto bucket = tables.limits.buckets.find(Account());
    return bucket != tables.limits.buckets.end() &&
           bucket->second.lease_until > now_;
  }
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
      if (const auto* send = std::get_if<SendToAgent>(&it)) {
        Post(names_[index], *send);
      }
    }
  }

  void Post(const InstanceId& from, const SendToAgent& send) {
    share_requests_ += std::holds_alternative<ShareRequest>(send.body) ? 1 : 0;
    const int copies = random_.Unit() < lost         ? 0
                       : random_.Unit() < duplicated ? 2
                                                     : 1;
    for (int i = 0; i < copies; ++i) {
      Packet packet;
      packet.to = send.to.instance;
      packet.message.sender = {from, Incarnation(1)};
      packet.message.receiver = send.to.incarnation;
      packet.message.body = send.body;
      const uint64_t range = random_.Unit() < late ? 6'000'000 : 4'000;
      packet.at = now_ + Duration(static_cast<int64_t>(random_.Below(range)));
      packets_.push_back(packet);
    }
  }

  void DeliverTo(const Packet& packet) {
    if (silent_.contains(packet.to)) {
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
  std::set<InstanceId> silent_;
  std::set<InstanceId> gone_;
  uint64_t next_request_ = 0;
  int64_t admitted_ = 0;
  int share_requests_ = 0;
};

void CheckShares(ShareNet& net) {
  CheckSharesWithinLimit(net.Cores(), Account(), kLimit, net.now());
  for (const EntryCore* it : net.Cores()) {
    EXPECT_LE(TotalGrantedRate(it->tables().limits, Account(), net.now()),
              kLimit * kMaxLeasedPercent / 100);
  }
}

class EntryLimitsFaultsTest : public testing::TestWithParam<uint64_t> {};

// Guards against entries that together use more than the home entry may grant,
// when requests and grants are lost, late, duplicated or crossed and demand
// moves between the entries.
TEST_P(EntryLimitsFaultsTest, SharesStayWithinTheLimit) {
  ShareNet net(GetParam(), 5);
  net.lost = 0.2;
  net.late = 0.2;
  net.duplicated = 0.3;
  Random random(GetParam());
  size_t busy = 0;
  for (int i = 0; i < 6000; ++i) {
    busy = i % 300 == 0 ? random.Below(5) : busy;
    net.Ask(random.Below(3) == 0 ? random.Below(5) : busy, 200);
    net.Step();
    CheckShares(net);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         EntryLimitsFaultsTest,
                         testing::Range<uint64_t>(1, 9));

// Guards against share traffic for accounts that no caller uses any more: at
// the design scale most accounts at an entry are used once within a lease.
TEST(EntryLimitsTest, UnusedAccountIsNotRenewed) {
  ShareNet net(1, 2);
  const size_t entry = 1 - net.IndexOf(net.Home());
  ASSERT_TRUE(net.Ask(entry, 1));
  for (int i = 0; i < 1000; ++i) {
    net.Step();
  }
  EXPECT_EQ(net.share_requests(), 1);
}

// Guards against a share that is never asked for again when the only request
// for it is lost.
TEST(EntryLimitsTest, LostRequestForAnUnusedAccountIsRepeated) {
  ShareNet net(1, 2);
  const size_t entry = 1 - net.IndexOf(net.Home());
  net.lost = 1;
  ASSERT_TRUE(net.Ask(entry, 1));
  for (int i = 0; i < 100; ++i) {
    net.Step();
  }
  EXPECT_FALSE(net.HasLease(entry));
  net.lost = 0;
  for (int i = 0; i < 200; ++i) {
    net.Step();
  }
  EXPECT_TRUE(net.HasLease(entry));
}

// Guards against a limit that entries exceed in the long run, and against one
// that they cannot use.
TEST(EntryLimitsTest, AdmitsAboutTheLimitWhenAllEntriesAreBusy) {
  ShareNet net(1, 4);
  for (int i = 0; i < 3000; ++i) {
    for (size_t entry = 0; entry < 4; ++entry) {
      net.Ask(entry, 100);
    }
    net.Step();
    CheckShares(net);
  }
  EXPECT_LE(net.admitted(), 30 * kLimit + 2 * kLimit);
  EXPECT_GE(net.admitted(), 30 * kLimit * 6 / 10);
}

// Guards against a large account that is held to an even share while only one
// entry has its traffic.
TEST(EntryLimitsTest, SharesFollowTheDemand) {
  ShareNet net(1, 4);
  for (int i = 0; i < 1500; ++i) {
    net.Ask(0, 100);
    net.Ask(0, 100);
    net.Step();
  }
  EXPECT_GE(net.RateOf(0), kLimit * 6 / 10);
  for (int i = 0; i < 1500; ++i) {
    net.Ask(1, 100);
    net.Ask(1, 100);
    net.Step();
    CheckShares(net);
  }
  EXPECT_GE(net.RateOf(1), kLimit * 6 / 10);
}

// Guards against an entry that admits the whole limit before it has a share.
TEST(EntryLimitsTest, WithoutAShareAnEntryUsesATenthOfAnEvenPart) {
  ShareNet net(1, 5);
  net.lost = 1;
  const size_t other = net.IndexOf(net.Home()) == 0 ? 1 : 0;
  for (int i = 0; i < 100; ++i) {
    net.Ask(other, 100);
    net.Step();
  }
  EXPECT_EQ(net.RateOf(other), kLimit / 5 / 10);
}

// Guards against an account that comes to a stop when its home entry dies.
TEST(EntryLimitsTest, WithASilentHomeAnEntryUsesAnEvenPart) {
  ShareNet net(1, 5);
  const size_t other = net.IndexOf(net.Home()) == 0 ? 1 : 0;
  for (int i = 0; i < 300; ++i) {
    net.Ask(other, 100);
    net.Step();
  }
  net.Silence(net.Home());
  for (int i = 0; i < 800; ++i) {
    net.Ask(other, 100);
    net.Step();
  }
  EXPECT_EQ(net.RateOf(other), kLimit / 5);
}

// Guards against more than twice the limit while an old home entry's leases and
// a new one's grants overlap.
TEST(EntryLimitsTest, ChangeOfHomeAtMostDoublesTheLimit) {
  ShareNet net(1, 5);
  const InstanceId home = net.Home();
  for (int i = 0; i < 2000; ++i) {
    for (size_t entry = 0; entry < 5; ++entry) {
      net.Ask(entry, 100);
    }
    if (i == 1000) {
      net.RemoveFromList(home);
      net.Silence(home);
      net.PushAll();
    }
    net.Step();
    int64_t total = 0;
    for (size_t entry = 0; entry < 5; ++entry) {
      total += net.RateOf(entry);
    }
    EXPECT_LE(total, 2 * kLimit) << i;
  }
}

// Guards against a prompt that no bucket is ever large enough for.
TEST(EntryLimitsTest, APromptLargerThanTheBurstIsAdmittedAndPaidOff) {
  ShareNet net(1, 1);
  EXPECT_TRUE(net.Ask(0, 100'000));
  EXPECT_FALSE(net.Ask(0, 10));
  for (int i = 0; i < 3000; ++i) {
    net.Step();
  }
  EXPECT_TRUE(net.Ask(0, 10));
}

// Guards against a budget that never ends or never recovers.
TEST(RetryBudgetTest, AllowsATenthOfTheAdmittedRequests) {
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
