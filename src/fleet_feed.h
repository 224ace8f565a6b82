// What the platform says of routes, targets and withdrawn data centres, as
// lists that can be watched. A platform implements it.
#ifndef SRC_FLEET_FEED_H_
#define SRC_FLEET_FEED_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/fleet_directory.h"
#include "src/ids.h"
#include "src/routes.h"
#include "src/units.h"

namespace burdockhatch {

enum class FeedKind : uint8_t { kRoutes, kTargets, kWithdrawals };
inline constexpr int kFeedKindCount = 3;

std::string_view ToString(FeedKind kind);

// The name of an item that is not there any more, or cannot be read.
struct FeedRemoval {
  std::string name;
};

using FeedItem =
    std::variant<RouteConfigPtr, TargetRecord, DataCentreId, FeedRemoval>;

enum class FeedStatus : uint8_t {
  kOk,
  kHistoryExpired,  // Changes since the revision are not known any more.
  kFailed,          // No answer, or a refusal.
};

struct FeedReply {
  FeedStatus status = FeedStatus::kFailed;
  std::vector<FeedItem> items;
  uint64_t revision = 0;
  std::string next;  // Lists only: where the next page begins; empty: the end.
  std::string reason;  // kFailed only, for the log.
};

// Calls return at once; `done` runs once, on the thread of the decisions.
class FleetFeed {
 public:
  using Callback = std::function<void(FeedReply)>;

  virtual ~FleetFeed() = default;

  // One page of the items, after the name `after`.
  virtual void List(FeedKind kind, const std::string& after, Callback done) = 0;

  // The changes after `revision`; without any, answers after `wait`.
  virtual void Watch(FeedKind kind,
                     uint64_t revision,
                     Duration wait,
                     Callback done) = 0;
};

}  // namespace burdockhatch

#endif  // SRC_FLEET_FEED_H_
