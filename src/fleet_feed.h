// Interface to the platform's lists of routes, targets and withdrawn data
// centres, which can be listed and watched. A platform implements it.
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
#include "src/messages.h"
#include "src/routes.h"
#include "src/store_revision.h"
#include "src/units.h"

namespace burdockhatch {

std::string_view ToString(FeedKind kind);

// An item that was removed or cannot be decoded.
struct FeedRemoval {
  std::string name;
};

using FeedItem =
    std::variant<RouteConfigPtr, TargetRecord, DataCentreId, FeedRemoval>;

enum class FeedStatus : uint8_t {
  kOk,
  kHistoryExpired,  // Changes since the revision are no longer available.
  kFailed,          // No response, or an error response.
};

struct FeedReply {
  FeedStatus status = FeedStatus::kFailed;
  std::vector<FeedItem> items;
  std::vector<uint64_t> changes;  // Of a watch: the revision of each item.
  uint64_t revision = 0;          // Of the store.
  StoreEpoch epoch;
  // Elements of the reply that describe no valid item.
  uint32_t unreadable_items = 0;
  std::string next;  // Lists only: `after` of the next page; empty on the last.
  std::string reason;  // Set for kFailed, for the log.
  // For kFailed: the store has answered with an error, and counts the call.
  bool is_refusal = false;
};

// The platform's encoding of changes, for another process to decode.
struct EncodedFeedReply {
  FeedStatus status = FeedStatus::kFailed;
  uint64_t revision = 0;
  bool has_changes = false;
  std::string body;
  StoreEpoch epoch;
};

// Calls return immediately. `done` runs once, on the event loop thread.
class FleetFeed {
 public:
  using Callback = std::function<void(FeedReply)>;

  virtual ~FleetFeed() = default;

  // Reads one page of items, starting after the item named `after`.
  virtual void List(FeedKind kind, const std::string& after, Callback done) = 0;

  // Reads the changes after `after`. If there are none, `done` runs after
  // `wait` with no items. A store that has been restored replies for its
  // current epoch, whatever the epoch of `after`.
  virtual void Watch(FeedKind kind,
                     StoreRevision after,
                     Duration wait,
                     Callback done) = 0;

  // Like Watch, without decoding the changes.
  virtual void WatchEncoded(FeedKind kind,
                            StoreRevision after,
                            Duration wait,
                            std::function<void(EncodedFeedReply)> done) = 0;
  // Decodes the body of a reply to WatchEncoded, which does not state the
  // epoch.
  virtual FeedReply Decode(FeedKind kind, const std::string& body) const = 0;
};

}  // namespace burdockhatch

#endif  // SRC_FLEET_FEED_H_
