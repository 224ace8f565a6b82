#include "src/account_limits.h"

#include <algorithm>

#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

constexpr Duration kDemandWindow = std::chrono::seconds(1);
constexpr double kDemandSmoothing = 0.5;
// Asked for above the demand seen, so that growth is not held back by a lease.
constexpr double kDemandHeadroom = 1.25;
constexpr Duration kShareRenewal = std::chrono::milliseconds(1500);
constexpr Duration kFirstShareDelay = std::chrono::milliseconds(100);
constexpr Duration kIdleAccount = std::chrono::seconds(10);
// A home entry that has left this many requests of a lease unanswered does not
// answer.
constexpr Duration kHomePatience = std::chrono::seconds(2);
// Hint for a caller of an account whose share has been asked for.
constexpr Duration kShareArrival = std::chrono::milliseconds(250);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

bool HomeIsSilent(const AccountLimits& limits,
                  const InstanceId& home,
                  Time now) {
  const auto link = limits.links.find(home);
  return link != limits.links.end() && !link->second.unanswered.empty() &&
         now - link->second.unanswered.front().second > kHomePatience;
}

void CloseDemandWindow(LimitBucket& bucket, Time now) {
  const Duration length = now - bucket.window_start;
  if (length < kDemandWindow) {
    return;
  }
  const double rate = bucket.window_tokens / Seconds(length);
  bucket.demand += kDemandSmoothing * (rate - bucket.demand);
  bucket.window_tokens = 0;
  bucket.window_start = now;
}

// The burst is shared like the rate, so that all entries together keep within
// the burst of the account.
double CapacityOf(const ClientAccountConfig& config, int64_t rate) {
  const double limit =
      static_cast<double>(std::max<int64_t>(config.limit.value(), 1));
  const double part = static_cast<double>(rate) / limit;
  return std::max(1.0, static_cast<double>(config.burst.value()) * part);
}

void Refill(LimitBucket& bucket,
            const ClientAccountConfig& config,
            int64_t rate,
            Time now) {
  const double added =
      static_cast<double>(rate) * Seconds(now - bucket.refilled);
  bucket.tokens = std::min(bucket.tokens + added, CapacityOf(config, rate));
  bucket.refilled = now;
}

// A new bucket holds the burst of an entry without a share.
LimitBucket NewBucket(const ClientAccountConfig& config,
                      int64_t entries,
                      Time now) {
  const int64_t even = config.limit.value() / std::max<int64_t>(entries, 1);
  LimitBucket bucket;
  bucket.tokens = CapacityOf(config, even * kUnleasedPercent / 100);
  bucket.refilled = now;
  bucket.window_start = now;
  bucket.wants_share = true;
  return bucket;
}

Duration TimeUntilPositive(const LimitBucket& bucket, int64_t rate) {
  const double missing = 1 - bucket.tokens;
  const double seconds =
      missing / static_cast<double>(std::max<int64_t>(rate, 1));
  if (seconds > Seconds(kMaxRetryAfter)) {
    return kMaxRetryAfter;
  }
  return std::max(kMinRetryAfter,
                  Duration(static_cast<int64_t>(seconds * 1e6)));
}

// An entry may use an older, larger grant until it expires if the newer one was
// lost, so the largest unexpired grant counts.
int64_t CountedShare(const HomeLease& lease, Time now) {
  int64_t share = 0;
  for (const GrantedShare& it : lease.grants) {
    share = it.until > now ? std::max(share, it.share) : share;
  }
  return share;
}

void ForgetOldLeases(HomeAccount& home, Time now) {
  for (auto& [entry, lease] : home.leases) {
    std::erase_if(lease.grants,
                  [&](const GrantedShare& it) { return it.until <= now; });
  }
  std::erase_if(home.leases, [&](const auto& it) {
    return it.second.grants.empty() &&
           now - it.second.asked_at > kShareLeaseTime;
  });
}

// An entry that has been restarted takes over from its former run, which cannot
// use its lease any more. Otherwise the new run would get no share until that
// lease ends.
void ForgetEarlierRuns(HomeAccount& home, const PeerId& requester) {
  std::erase_if(home.leases, [&](const auto& it) {
    return it.first.instance == requester.instance &&
           it.first.incarnation < requester.incarnation;
  });
}

// The largest level such that granting each entry the smaller of its demand and
// the level stays within `total`.
int64_t FairLevel(const HomeAccount& home, int64_t total) {
  std::vector<int64_t> demands;
  for (const auto& [entry, lease] : home.leases) {
    demands.push_back(lease.demand);
  }
  std::sort(demands.begin(), demands.end());
  int64_t left = total;
  int64_t count = static_cast<int64_t>(demands.size());
  for (const int64_t it : demands) {
    if (it * count >= left) {
      return left / count;
    }
    left -= it;
    --count;
  }
  return total;
}

// An even part, for each live entry, of what the entries together do not ask
// for. It is granted on top, so that demand can grow within a lease. Entries
// that have not asked yet keep their part: dividing by the leases alone gave
// nearly everything to the first to ask and nothing to the last for a lease.
int64_t ExtraShare(const HomeAccount& home,
                   int64_t level,
                   int64_t total,
                   int64_t entries) {
  int64_t left = total;
  for (const auto& [entry, lease] : home.leases) {
    left -= std::min(lease.demand, level);
  }
  const auto leases = static_cast<int64_t>(home.leases.size());
  return std::max<int64_t>(left, 0) / std::max(leases, entries);
}

int64_t GrantOne(HomeAccount& home,
                 const PeerId& requester,
                 int64_t demand,
                 int64_t limit,
                 int64_t entries,
                 Time now) {
  ForgetOldLeases(home, now);
  ForgetEarlierRuns(home, requester);
  HomeLease& lease = home.leases[requester];
  lease.demand = std::max<int64_t>(demand, 0);
  lease.asked_at = now;
  const int64_t total = limit * kMaxLeasedPercent / 100;
  int64_t others = 0;
  for (const auto& [entry, it] : home.leases) {
    others += entry == requester ? 0 : CountedShare(it, now);
  }
  const int64_t level = FairLevel(home, total);
  const int64_t wanted =
      std::min(lease.demand, level) + ExtraShare(home, level, total, entries);
  const int64_t share =
      std::clamp<int64_t>(wanted, 0, std::max<int64_t>(total - others, 0));
  lease.grants.push_back({share, now + kShareLeaseTime});
  return share;
}

// What is to be asked of one home entry.
struct ShareNeeds {
  ShareRequest request;
  bool first = false;  // Some account has no share yet.
};

const InstanceId& CachedHome(const EntryTables& tables,
                             const ClientAccountId& account,
                             LimitBucket& bucket) {
  if (bucket.home_version != tables.entries_version) {
    bucket.home = FindHomeEntry(tables, account);
    bucket.home_version = tables.entries_version;
  }
  return bucket.home;
}

// Debt counts as demand over one lease, so that it is paid off.
TokensPerSecond DemandOf(const LimitBucket& bucket) {
  const double open = bucket.window_tokens / Seconds(kDemandWindow);
  const double debt = std::max(0.0, -bucket.tokens) / Seconds(kShareLeaseTime);
  const double demand = std::max(bucket.demand, open) * kDemandHeadroom + debt;
  return TokensPerSecond(static_cast<int64_t>(demand) + 1);
}

// An account that no caller has used since its share was asked for needs no
// renewal. Most accounts at an entry are used once within a lease; renewing
// their shares until they are forgotten made up most of the share traffic.
// While the home entry owes an answer, the request is repeated.
bool NeedsRenewal(const AccountLimits& limits,
                  const LimitBucket& bucket,
                  const InstanceId& home) {
  if (bucket.wants_share || bucket.tokens < 0 ||
      bucket.last_asked >= bucket.share_asked_at) {
    return true;
  }
  const auto link = limits.links.find(home);
  return link == limits.links.end() || !link->second.unanswered.empty();
}

std::map<InstanceId, ShareNeeds> CollectDemands(EntryTables& tables, Time now) {
  std::map<InstanceId, ShareNeeds> needs;
  const int64_t entries = CountLiveEntries(tables);
  for (auto& [account, bucket] : tables.limits.buckets) {
    const InstanceId& home = CachedHome(tables, account, bucket);
    const ClientAccountConfig& config = tables.config->accounts.at(account);
    CloseDemandWindow(bucket, now);
    Refill(bucket, config,
           AllowedRate(tables.limits, bucket, config, home, entries, now), now);
    if (!NeedsRenewal(tables.limits, bucket, home)) {
      continue;
    }
    ShareNeeds& need = needs[home];
    need.request.demands.push_back({account, DemandOf(bucket)});
    need.first = need.first || bucket.wants_share;
  }
  return needs;
}

void SendShareRequest(EntryTables& tables,
                      const InstanceId& home,
                      ShareRequest request,
                      Time now) {
  AccountLimits& limits = tables.limits;
  ShareLink& link = limits.links[home];
  link.next_request = now + kShareRenewal;
  request.number = ++link.last_number;
  link.unanswered.emplace_back(request.number, now);
  for (const AccountDemand& it : request.demands) {
    LimitBucket& bucket = limits.buckets[it.account];
    bucket.wants_share = false;
    bucket.share_asked_at = now;
  }
  if (home == tables.options.self.instance) {
    const ShareGrant grant =
        GrantShares(limits, *tables.config, tables.options.self, request,
                    CountLiveEntries(tables), now);
    ApplyShareGrant(limits, home, grant, now);
    return;
  }
  EntryPeer& peer = tables.entries[home];
  if (!peer.connected) {
    peer.connected = true;
    tables.actions.push_back(ConnectPeer{home, peer.info.address});
  }
  tables.actions.push_back(
      SendToAgent{{home, peer.incarnation}, std::move(request)});
}

void ForgetIdleAccounts(EntryTables& tables, Time now) {
  std::erase_if(tables.limits.buckets, [&](const auto& it) {
    const LimitBucket& bucket = it.second;
    return !tables.config->accounts.contains(it.first) ||
           (now - bucket.last_asked > kIdleAccount && bucket.tokens >= 0 &&
            bucket.lease_until <= now);
  });
  for (auto& [account, home] : tables.limits.homes) {
    ForgetOldLeases(home, now);
  }
  std::erase_if(tables.limits.homes,
                [](const auto& it) { return it.second.leases.empty(); });
}

// A request older than a lease can bring no share any more. The oldest stays
// while the home entry is silent, as the sign of it.
void ForgetOldRequests(ShareLink& link, Time now) {
  while (link.unanswered.size() > 1 &&
         now - link.unanswered.front().second > kShareLeaseTime) {
    link.unanswered.pop_front();
  }
}

}  // namespace

int64_t AllowedRate(const AccountLimits& limits,
                    const LimitBucket& bucket,
                    const ClientAccountConfig& config,
                    const InstanceId& home,
                    int64_t entries,
                    Time now) {
  if (bucket.lease_until > now) {
    return bucket.share;
  }
  const int64_t even = config.limit.value() / std::max<int64_t>(entries, 1);
  if (bucket.had_share && HomeIsSilent(limits, home, now)) {
    return even;
  }
  return even * kUnleasedPercent / 100;
}

RateLimitResult TryTakeTokens(AccountLimits& limits,
                              const ClientAccountId& account,
                              const ClientAccountConfig& config,
                              Tokens cost,
                              const InstanceId& home,
                              int64_t entries,
                              Time now) {
  LimitBucket& bucket =
      limits.buckets.try_emplace(account, NewBucket(config, entries, now))
          .first->second;
  bucket.last_asked = now;
  bucket.window_tokens += static_cast<double>(cost.value());
  CloseDemandWindow(bucket, now);
  const int64_t rate = AllowedRate(limits, bucket, config, home, entries, now);
  bucket.wants_share = bucket.wants_share || bucket.lease_until <= now;
  Refill(bucket, config, rate, now);
  if (bucket.tokens < 1) {
    const Duration wait = TimeUntilPositive(bucket, rate);
    const bool leased = bucket.lease_until > now;
    bucket.wants_share = true;
    return {false, leased ? wait : std::min(wait, kShareArrival)};
  }
  bucket.tokens -= static_cast<double>(cost.value());
  return {true, {}};
}

ShareGrant GrantShares(AccountLimits& limits,
                       const FleetConfig& config,
                       const PeerId& requester,
                       const ShareRequest& request,
                       int64_t entries,
                       Time now) {
  ShareGrant grant;
  grant.number = request.number;
  grant.lease = kShareLeaseTime;
  for (const AccountDemand& it : request.demands) {
    const auto account = config.accounts.find(it.account);
    if (account == config.accounts.end()) {
      continue;
    }
    const int64_t share =
        GrantOne(limits.homes[it.account], requester, it.demand.value(),
                 account->second.limit.value(), entries, now);
    grant.shares.push_back({it.account, TokensPerSecond(share)});
  }
  return grant;
}

void ApplyShareGrant(AccountLimits& limits,
                     const InstanceId& home,
                     const ShareGrant& grant,
                     Time now) {
  const auto found = limits.links.find(home);
  if (found == limits.links.end()) {
    return;
  }
  ShareLink& link = found->second;
  std::optional<Time> sent_at;
  while (!link.unanswered.empty() &&
         link.unanswered.front().first <= grant.number) {
    if (link.unanswered.front().first == grant.number) {
      sent_at = link.unanswered.front().second;
    }
    link.unanswered.pop_front();
  }
  if (!sent_at) {
    return;
  }
  link.last_answered = grant.number;
  const Time until = *sent_at + std::min(grant.lease, kShareLeaseTime);
  for (const AccountShare& it : grant.shares) {
    const auto bucket = limits.buckets.find(it.account);
    if (bucket != limits.buckets.end() && until > now) {
      bucket->second.share = it.share.value();
      bucket->second.lease_until = until;
      bucket->second.had_share = true;
    }
  }
}

InstanceId FindHomeEntry(const EntryTables& tables,
                         const ClientAccountId& account) {
  const uint64_t key = StableHash(account.value());
  const InstanceId& self = tables.options.self.instance;
  const InstanceId* best = &self;
  uint64_t best_score = RendezvousScore(key, StableHash(self.value()));
  for (const auto& [instance, peer] : tables.entries) {
    if (peer.leaving || peer.info.state == InstanceState::kLeaving) {
      continue;
    }
    const uint64_t score = RendezvousScore(key, peer.hash);
    if (score > best_score || (score == best_score && instance < *best)) {
      best = &instance;
      best_score = score;
    }
  }
  return *best;
}

int64_t CountLiveEntries(const EntryTables& tables) {
  int64_t count = 1;
  for (const auto& [instance, peer] : tables.entries) {
    count += !peer.leaving && peer.info.state == InstanceState::kLive ? 1 : 0;
  }
  return count;
}

void UpdateAccountLimits(EntryTables& tables, Time now) {
  if (!tables.config || now < tables.limits.next_update) {
    return;
  }
  tables.limits.next_update = now + kFirstShareDelay;
  ForgetIdleAccounts(tables, now);
  for (auto& [home, needs] : CollectDemands(tables, now)) {
    ShareLink& link = tables.limits.links[home];
    ForgetOldRequests(link, now);
    const bool first = needs.first && link.unanswered.empty();
    if (first || now >= link.next_request) {
      SendShareRequest(tables, home, std::move(needs.request), now);
    }
  }
}

void OnShareRequest(EntryTables& tables,
                    const PeerId& sender,
                    const ShareRequest& request,
                    Time now) {
  if (!tables.config) {
    return;
  }
  tables.actions.push_back(
      SendToAgent{sender, GrantShares(tables.limits, *tables.config, sender,
                                      request, CountLiveEntries(tables), now)});
}

int64_t TotalGrantedRate(const AccountLimits& limits,
                         const ClientAccountId& account,
                         Time now) {
  const auto home = limits.homes.find(account);
  if (home == limits.homes.end()) {
    return 0;
  }
  int64_t total = 0;
  for (const auto& [entry, lease] : home->second.leases) {
    total += CountedShare(lease, now);
  }
  return total;
}

}  // namespace burdockhatch
