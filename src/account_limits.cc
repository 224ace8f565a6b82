#include "src/account_limits.h"

#include <algorithm>

#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Demand is measured over windows of this length.
constexpr Duration kDemandWindow = std::chrono::seconds(1);
// Weight of the last window in the moving average of the demand.
constexpr double kDemandSmoothing = 0.5;
// Entries request more than the measured demand, so that demand can grow before
// the lease is renewed.
constexpr double kDemandHeadroom = 1.25;
constexpr Duration kShareRenewalInterval = std::chrono::milliseconds(1500);
constexpr Duration kLimitsUpdateInterval = std::chrono::milliseconds(100);
constexpr Duration kIdleAccountTimeout = std::chrono::seconds(10);
// A home entry that leaves a request unanswered for longer than this is taken
// to be unresponsive.
constexpr Duration kHomeResponseTimeout = std::chrono::seconds(2);
// Without a lease, callers are told to retry after at most this time: the
// requested share usually arrives by then.
constexpr Duration kExpectedShareDelay = std::chrono::milliseconds(250);
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(10);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(60);

double ToSeconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

bool IsHomeUnresponsive(const AccountLimits& limits,
                        const InstanceId& home_entry,
                        Time now) {
  const auto request_state = limits.share_requests.find(home_entry);
  return request_state != limits.share_requests.end() &&
         !request_state->second.unanswered.empty() &&
         now - request_state->second.unanswered.front().second >
             kHomeResponseTimeout;
}

// Once the current window is over, adds it to the moving average of the demand
// and starts the next one.
void CloseDemandWindow(LimitBucket& bucket, Time now) {
  const Duration length = now - bucket.window_start;
  if (length < kDemandWindow) {
    return;
  }
  const double rate = bucket.window_tokens / ToSeconds(length);
  bucket.demand += kDemandSmoothing * (rate - bucket.demand);
  bucket.window_tokens = 0;
  bucket.window_start = now;
}

// Returns the bucket size at `rate`. The burst is divided like the rate, so
// that all entries together stay within the burst of the account.
double BurstTokensAtRate(const ClientAccountConfig& config, int64_t rate) {
  const double limit =
      static_cast<double>(std::max<int64_t>(config.limit.value(), 1));
  const double fraction = static_cast<double>(rate) / limit;
  return std::max(1.0, static_cast<double>(config.burst.value()) * fraction);
}

void Refill(LimitBucket& bucket,
            const ClientAccountConfig& config,
            int64_t rate,
            Time now) {
  const double added =
      static_cast<double>(rate) * ToSeconds(now - bucket.refilled_at);
  bucket.tokens =
      std::min(bucket.tokens + added, BurstTokensAtRate(config, rate));
  bucket.refilled_at = now;
}

// Returns a new bucket, filled to the burst that an entry without a lease is
// allowed.
LimitBucket MakeBucket(const ClientAccountConfig& config,
                       int64_t live_entry_count,
                       Time now) {
  const int64_t even_share =
      config.limit.value() / std::max<int64_t>(live_entry_count, 1);
  LimitBucket bucket;
  bucket.tokens =
      BurstTokensAtRate(config, even_share * kUnleasedPercent / 100);
  bucket.refilled_at = now;
  bucket.window_start = now;
  bucket.share_request_due = true;
  return bucket;
}

Duration TimeUntilOneToken(const LimitBucket& bucket, int64_t rate) {
  const double missing = 1 - bucket.tokens;
  const double seconds =
      missing / static_cast<double>(std::max<int64_t>(rate, 1));
  if (seconds > ToSeconds(kMaxRetryAfter)) {
    return kMaxRetryAfter;
  }
  return std::max(kMinRetryAfter,
                  Duration(static_cast<int64_t>(seconds * 1e6)));
}

// Returns the largest unexpired share of an entry. If a newer grant is lost,
// the entry goes on using an older and larger one until that expires.
int64_t LargestUnexpiredGrant(const HomeLease& lease, Time now) {
  int64_t share = 0;
  for (const GrantedShare& it : lease.grants) {
    share = it.until > now ? std::max(share, it.share) : share;
  }
  return share;
}

void RemoveExpiredLeases(HomeAccount& home, Time now) {
  for (auto& [entry, lease] : home.leases) {
    std::erase_if(lease.grants,
                  [&](const GrantedShare& it) { return it.until <= now; });
  }
  std::erase_if(home.leases, [&](const auto& it) {
    return it.second.grants.empty() &&
           now - it.second.asked_at > kShareLeaseTime;
  });
}

// Removes the leases of earlier incarnations of the requester, which can no
// longer use them. Otherwise a restarted entry would get no share until the
// lease of its previous incarnation expires.
void RemoveLeasesOfEarlierIncarnations(HomeAccount& home,
                                       const PeerId& requester) {
  std::erase_if(home.leases, [&](const auto& it) {
    return it.first.instance == requester.instance &&
           it.first.incarnation < requester.incarnation;
  });
}

// Returns the max-min fair level: the largest level for which the sum of
// min(demand, level) over all entries stays within `total`.
int64_t MaxMinFairLevel(const HomeAccount& home, int64_t total) {
  std::vector<int64_t> demands;
  for (const auto& [entry, lease] : home.leases) {
    demands.push_back(lease.demand);
  }
  std::sort(demands.begin(), demands.end());
  int64_t remaining = total;
  int64_t count = static_cast<int64_t>(demands.size());
  for (const int64_t it : demands) {
    if (it * count >= remaining) {
      return remaining / count;
    }
    remaining -= it;
    --count;
  }
  return total;
}

// Returns each live entry's even part of the leasable rate that no entry has
// requested. It is granted on top of the demand, so that demand can grow within
// a lease. It is divided by the number of live entries and not only by the
// entries with a lease: otherwise the first entry to ask got nearly everything,
// and the last one nothing for a whole lease.
int64_t UnclaimedSharePerEntry(const HomeAccount& home,
                               int64_t level,
                               int64_t total,
                               int64_t live_entry_count) {
  int64_t remaining = total;
  for (const auto& [entry, lease] : home.leases) {
    remaining -= std::min(lease.demand, level);
  }
  const auto leases = static_cast<int64_t>(home.leases.size());
  return std::max<int64_t>(remaining, 0) / std::max(leases, live_entry_count);
}

int64_t GrantAccountShare(HomeAccount& home,
                          const PeerId& requester,
                          int64_t demand,
                          int64_t limit,
                          int64_t live_entry_count,
                          Time now) {
  RemoveExpiredLeases(home, now);
  RemoveLeasesOfEarlierIncarnations(home, requester);
  HomeLease& lease = home.leases[requester];
  lease.demand = std::max<int64_t>(demand, 0);
  lease.asked_at = now;
  const int64_t total = limit * kMaxLeasedPercent / 100;
  int64_t granted_to_others = 0;
  for (const auto& [entry, it] : home.leases) {
    granted_to_others +=
        entry == requester ? 0 : LargestUnexpiredGrant(it, now);
  }
  const int64_t level = MaxMinFairLevel(home, total);
  const int64_t wanted =
      std::min(lease.demand, level) +
      UnclaimedSharePerEntry(home, level, total, live_entry_count);
  const int64_t share = std::clamp<int64_t>(
      wanted, 0, std::max<int64_t>(total - granted_to_others, 0));
  lease.grants.push_back({share, now + kShareLeaseTime});
  return share;
}

// Share request that collects the accounts of one home entry.
struct PendingShareRequest {
  ShareRequest request;
  // Whether an account in it lacks a share, or has one that is too small.
  bool is_urgent = false;
};

const InstanceId& CachedHomeEntry(const EntryTables& tables,
                                  const ClientAccountId& account,
                                  LimitBucket& bucket) {
  if (bucket.home_version != tables.entries_version) {
    bucket.home = FindHomeEntry(tables, account);
    bucket.home_version = tables.entries_version;
  }
  return bucket.home;
}

// Returns the rate to request for an account. A negative token balance is
// added to the demand, spread over one lease, so that it can be refilled.
TokensPerSecond EstimatedDemand(const LimitBucket& bucket) {
  const double window_rate = bucket.window_tokens / ToSeconds(kDemandWindow);
  const double debt =
      std::max(0.0, -bucket.tokens) / ToSeconds(kShareLeaseTime);
  const double demand =
      std::max(bucket.demand, window_rate) * kDemandHeadroom + debt;
  return TokensPerSecond(static_cast<int64_t>(demand) + 1);
}

// Returns false for an account that no caller has used since its share was
// requested. Most accounts at an entry are used once within a lease; renewing
// their shares until their state was removed made up most of the share traffic.
// The request is repeated as long as the home entry has not answered it.
bool NeedsShareRequest(const AccountLimits& limits,
                       const LimitBucket& bucket,
                       const InstanceId& home_entry) {
  if (bucket.share_request_due || bucket.tokens < 0 ||
      bucket.last_request_at >= bucket.share_requested_at) {
    return true;
  }
  const auto request_state = limits.share_requests.find(home_entry);
  return request_state == limits.share_requests.end() ||
         !request_state->second.unanswered.empty();
}

// Updates all buckets and returns the requests to send, by home entry.
std::map<InstanceId, PendingShareRequest> CollectShareRequests(
    EntryTables& tables,
    Time now) {
  std::map<InstanceId, PendingShareRequest> requests;
  const int64_t live_entry_count = CountLiveEntries(tables);
  for (auto& [account, bucket] : tables.limits.buckets) {
    const InstanceId& home_entry = CachedHomeEntry(tables, account, bucket);
    const ClientAccountConfig& config = tables.config->accounts.at(account);
    CloseDemandWindow(bucket, now);
    Refill(bucket, config,
           AllowedRate(tables.limits, bucket, config, home_entry,
                       live_entry_count, now),
           now);
    if (!NeedsShareRequest(tables.limits, bucket, home_entry)) {
      continue;
    }
    PendingShareRequest& pending = requests[home_entry];
    pending.request.demands.push_back({account, EstimatedDemand(bucket)});
    pending.is_urgent = pending.is_urgent || bucket.share_request_due;
  }
  return requests;
}

void SendShareRequest(EntryTables& tables,
                      const InstanceId& home_entry,
                      ShareRequest request,
                      Time now) {
  AccountLimits& limits = tables.limits;
  ShareRequestState& request_state = limits.share_requests[home_entry];
  request_state.next_request = now + kShareRenewalInterval;
  request.number = ++request_state.last_request_number;
  request_state.unanswered.emplace_back(request.number, now);
  for (const AccountDemand& it : request.demands) {
    LimitBucket& bucket = limits.buckets[it.account];
    bucket.share_request_due = false;
    bucket.share_requested_at = now;
  }
  if (home_entry == tables.options.self.instance) {
    const ShareGrant grant =
        GrantShares(limits, *tables.config, tables.options.self, request,
                    CountLiveEntries(tables), now);
    ApplyShareGrant(limits, home_entry, grant, now);
    return;
  }
  EntryPeer& peer = tables.entries[home_entry];
  if (!peer.connected) {
    peer.connected = true;
    tables.actions.push_back(ConnectPeer{home_entry, peer.info.address});
  }
  tables.actions.push_back(
      SendMessage{{home_entry, peer.incarnation}, std::move(request)});
}

void RemoveIdleAccounts(EntryTables& tables, Time now) {
  std::erase_if(tables.limits.buckets, [&](const auto& it) {
    const LimitBucket& bucket = it.second;
    return !tables.config->accounts.contains(it.first) ||
           (now - bucket.last_request_at > kIdleAccountTimeout &&
            bucket.tokens >= 0 && bucket.lease_until <= now);
  });
  for (auto& [account, home] : tables.limits.homes) {
    RemoveExpiredLeases(home, now);
  }
  std::erase_if(tables.limits.homes,
                [](const auto& it) { return it.second.leases.empty(); });
}

// Removes requests that are older than a lease, because the shares granted by
// an answer would already have expired. One request is always kept, because
// IsHomeUnresponsive() uses its age.
void RemoveExpiredRequests(ShareRequestState& request_state, Time now) {
  while (request_state.unanswered.size() > 1 &&
         now - request_state.unanswered.front().second > kShareLeaseTime) {
    request_state.unanswered.pop_front();
  }
}

}  // namespace

int64_t AllowedRate(const AccountLimits& limits,
                    const LimitBucket& bucket,
                    const ClientAccountConfig& config,
                    const InstanceId& home_entry,
                    int64_t live_entry_count,
                    Time now) {
  if (bucket.lease_until > now) {
    return bucket.share;
  }
  const int64_t even_share =
      config.limit.value() / std::max<int64_t>(live_entry_count, 1);
  if (bucket.share_received && IsHomeUnresponsive(limits, home_entry, now)) {
    return even_share;
  }
  return even_share * kUnleasedPercent / 100;
}

RateLimitResult TryTakeTokens(AccountLimits& limits,
                              const ClientAccountId& account,
                              const ClientAccountConfig& config,
                              Tokens cost,
                              const InstanceId& home_entry,
                              int64_t live_entry_count,
                              Time now) {
  LimitBucket& bucket =
      limits.buckets
          .try_emplace(account, MakeBucket(config, live_entry_count, now))
          .first->second;
  bucket.last_request_at = now;
  bucket.window_tokens += static_cast<double>(cost.value());
  CloseDemandWindow(bucket, now);
  const int64_t rate =
      AllowedRate(limits, bucket, config, home_entry, live_entry_count, now);
  bucket.share_request_due =
      bucket.share_request_due || bucket.lease_until <= now;
  Refill(bucket, config, rate, now);
  if (bucket.tokens < 1) {
    const Duration wait = TimeUntilOneToken(bucket, rate);
    const bool leased = bucket.lease_until > now;
    bucket.share_request_due = true;
    return {false, leased ? wait : std::min(wait, kExpectedShareDelay)};
  }
  bucket.tokens -= static_cast<double>(cost.value());
  return {true, {}};
}

ShareGrant GrantShares(AccountLimits& limits,
                       const FleetConfig& config,
                       const PeerId& requester,
                       const ShareRequest& request,
                       int64_t live_entry_count,
                       Time now) {
  ShareGrant grant;
  grant.number = request.number;
  grant.lease = kShareLeaseTime;
  for (const AccountDemand& it : request.demands) {
    const auto account = config.accounts.find(it.account);
    if (account == config.accounts.end()) {
      continue;
    }
    const int64_t share = GrantAccountShare(
        limits.homes[it.account], requester, it.demand.value(),
        account->second.limit.value(), live_entry_count, now);
    grant.shares.push_back({it.account, TokensPerSecond(share)});
  }
  return grant;
}

void ApplyShareGrant(AccountLimits& limits,
                     const InstanceId& home_entry,
                     const ShareGrant& grant,
                     Time now) {
  const auto found = limits.share_requests.find(home_entry);
  if (found == limits.share_requests.end()) {
    return;
  }
  ShareRequestState& request_state = found->second;
  std::optional<Time> sent_at;
  while (!request_state.unanswered.empty() &&
         request_state.unanswered.front().first <= grant.number) {
    if (request_state.unanswered.front().first == grant.number) {
      sent_at = request_state.unanswered.front().second;
    }
    request_state.unanswered.pop_front();
  }
  if (!sent_at) {
    return;
  }
  request_state.last_answered = grant.number;
  const Time until = *sent_at + std::min(grant.lease, kShareLeaseTime);
  for (const AccountShare& it : grant.shares) {
    const auto bucket = limits.buckets.find(it.account);
    if (bucket != limits.buckets.end() && until > now) {
      bucket->second.share = it.share.value();
      bucket->second.lease_until = until;
      bucket->second.share_received = true;
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
  tables.limits.next_update = now + kLimitsUpdateInterval;
  RemoveIdleAccounts(tables, now);
  for (auto& [home_entry, pending] : CollectShareRequests(tables, now)) {
    ShareRequestState& request_state = tables.limits.share_requests[home_entry];
    RemoveExpiredRequests(request_state, now);
    const bool send_now = pending.is_urgent && request_state.unanswered.empty();
    if (send_now || now >= request_state.next_request) {
      SendShareRequest(tables, home_entry, std::move(pending.request), now);
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
      SendMessage{sender, GrantShares(tables.limits, *tables.config, sender,
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
    total += LargestUnexpiredGrant(lease, now);
  }
  return total;
}

}  // namespace burdockhatch
