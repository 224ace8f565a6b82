// Rate limits of client accounts. Each account has a home entry that leases
// shares of the limit to the entries that ask; an entry admits requests from a
// token bucket that its share fills.
#ifndef SRC_ACCOUNT_LIMITS_H_
#define SRC_ACCOUNT_LIMITS_H_

#include <utility>
#include <vector>

#include "src/entry_tables.h"

namespace burdockhatch {

inline constexpr Duration kShareLeaseTime = std::chrono::seconds(5);
// The home entry keeps the rest of the limit for entries without a share.
inline constexpr int64_t kMaxLeasedPercent = 90;
inline constexpr int64_t kUnleasedPercent = 10;

struct RateLimitResult {
  bool admitted = false;
  Duration retry_after{0};
};

// Takes `cost` from the account's bucket at this entry. A bucket that holds
// anything admits the request and goes into debt, so that a prompt larger than
// the burst is not refused for ever. `entries` is the number of entries known,
// this one included.
RateLimitResult TryTakeTokens(AccountLimits& limits,
                              const ClientAccountId& account,
                              const ClientAccountConfig& config,
                              Tokens cost,
                              const InstanceId& home,
                              int64_t entries,
                              Time now);

// The rate at which this entry may admit requests of the account now.
int64_t AllowedRate(const AccountLimits& limits,
                    const LimitBucket& bucket,
                    const ClientAccountConfig& config,
                    const InstanceId& home,
                    int64_t entries,
                    Time now);

// Home side: answers a request. The unexpired shares of all entries together
// never exceed kMaxLeasedPercent of the limit. `entries` is the number of live
// entries, this one included.
ShareGrant GrantShares(AccountLimits& limits,
                       const FleetConfig& config,
                       const PeerId& requester,
                       const ShareRequest& request,
                       int64_t entries,
                       Time now);

// Takes over the shares of a grant. The lease counts from when the request was
// sent; a grant that answers no outstanding request is dropped.
void ApplyShareGrant(AccountLimits& limits,
                     const InstanceId& home,
                     const ShareGrant& grant,
                     Time now);

// The home entry of an account: first by rendezvous hash among live entries.
InstanceId FindHomeEntry(const EntryTables& tables,
                         const ClientAccountId& account);

// Entries that are live by the instance list, this one included.
int64_t CountLiveEntries(const EntryTables& tables);

// Sends the requests that are due, renews leases in time, and forgets accounts
// without traffic.
void UpdateAccountLimits(EntryTables& tables, Time now);

// An answer or request of another entry.
void OnShareRequest(EntryTables& tables,
                    const PeerId& sender,
                    const ShareRequest& request,
                    Time now);

// Tokens a second granted to others and to this entry, not expired.
int64_t TotalGrantedRate(const AccountLimits& limits,
                         const ClientAccountId& account,
                         Time now);

}  // namespace burdockhatch

#endif  // SRC_ACCOUNT_LIMITS_H_
