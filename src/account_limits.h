// Distributed rate limits of client accounts. A share of a limit is a rate in
// tokens per second. The home entry of an account leases shares to all entries
// that request one, including itself: it grants each share until an expiry
// time. An entry admits requests from a token bucket that refills at the rate
// of its share; the bucket's size is the same part of the account's burst as
// the share is of the limit.
#ifndef SRC_ACCOUNT_LIMITS_H_
#define SRC_ACCOUNT_LIMITS_H_

#include <utility>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

inline constexpr Duration kShareLeaseTime = std::chrono::seconds(5);
// The home entry leases out at most this part of a limit. The rest is left for
// entries without a lease.
inline constexpr int64_t kMaxLeasedPercent = 90;
// Part of an even share of the limit that an entry without a lease may use.
inline constexpr int64_t kUnleasedPercent = 10;

struct RateLimitResult {
  bool admitted = false;
  Duration retry_after{0};
};

// Takes `cost` from the account's bucket at this entry. A bucket with at least
// one token admits the request and may become negative; otherwise a prompt
// larger than the burst would never be admitted. `live_entry_count` includes
// this entry.
RateLimitResult TryTakeTokens(AccountLimits& limits,
                              const ClientAccountId& account,
                              const ClientAccountConfig& config,
                              Tokens cost,
                              const InstanceId& home_entry,
                              int64_t live_entry_count,
                              Time now);

// Returns the rate, in tokens per second, at which this entry may admit
// requests of the account at `now`.
int64_t AllowedRate(const AccountLimits& limits,
                    const LimitBucket& bucket,
                    const ClientAccountConfig& config,
                    const InstanceId& home_entry,
                    int64_t live_entry_count,
                    Time now);

// Grants leases to `requester` at the home entry. The unexpired shares of all
// entries together never exceed kMaxLeasedPercent of the limit.
// `live_entry_count` includes this entry.
ShareGrant GrantShares(AccountLimits& limits,
                       const FleetConfig& config,
                       const PeerId& requester,
                       const ShareRequest& request,
                       int64_t live_entry_count,
                       Time now);

// Stores the shares of a grant received from `home_entry`. The lease starts
// when the request was sent. A grant that matches no outstanding request is
// ignored.
void ApplyShareGrant(AccountLimits& limits,
                     const InstanceId& home_entry,
                     const ShareGrant& grant,
                     Time now);

// Returns the home entry of an account: the entry with the highest rendezvous
// score among the known entries that are not leaving, including this one.
InstanceId FindHomeEntry(const EntryTables& tables,
                         const ClientAccountId& account);

// Returns the number of live entries, including this one. Entries that are
// leaving by the instance list or by their own messages do not count.
int64_t CountLiveEntries(const EntryTables& tables);

// Sends the share requests that are due, which also renews the leases of
// accounts in use before they expire, and removes the state of accounts without
// traffic.
void UpdateAccountLimits(EntryTables& tables, Time now);

// Answers a share request from another entry.
void OnShareRequest(EntryTables& tables,
                    const PeerId& sender,
                    const ShareRequest& request,
                    Time now);

// Returns the sum, in tokens per second, of the unexpired shares of the account
// that this entry has granted as its home, including this entry's own share.
int64_t TotalGrantedRate(const AccountLimits& limits,
                         const ClientAccountId& account,
                         Time now);

}  // namespace burdockhatch

#endif  // SRC_ACCOUNT_LIMITS_H_
