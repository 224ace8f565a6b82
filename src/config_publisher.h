// Publishes one operator change to the configuration object: reads the object,
// rebases the change and sends a conditional update, and repeats this after a
// conflict. Takes events as input and returns actions for the caller to
// execute. A change is reported as accepted only when its effect is confirmed.
#ifndef SRC_CONFIG_PUBLISHER_H_
#define SRC_CONFIG_PUBLISHER_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/clock.h"
#include "src/config_edit.h"
#include "src/object_api.h"
#include "src/random.h"
#include "src/units.h"

namespace burdockhatch {

struct PublishOptions {
  ConflictMode mode = ConflictMode::kRebase;
  Duration time_limit = std::chrono::seconds(10);  // Covers all retries.
  uint64_t seed = 1;                               // Seeds the backoff jitter.
};

// Action: read the configuration object.
struct ReadConfigObject {};

// Action: replace the configuration object if its version is `expected`.
struct UpdateConfigObject {
  ObjectVersion expected;
  std::string value;
};

using PublishAction = std::variant<ReadConfigObject, UpdateConfigObject>;

enum class PublishStatus : uint8_t {
  kAccepted,
  kNoChange,     // The document already contains the new values.
  kConflict,     // Not applied: another operator changed the same fields.
  kInvalid,      // Not applied: the result would break a rule.
  kUnavailable,  // Not applied: no update succeeded within the time limit.
  kUnknown,      // The update may have been applied.
};

struct PublishResult {
  PublishStatus status = PublishStatus::kUnknown;
  ConfigVersion version;  // The first version with the change, if accepted.
  std::vector<FieldConflict> conflicts;
  Findings findings;
};

class ConfigPublisher {
 public:
  ConfigPublisher(ConfigChange change, PublishOptions options, Time now);

  // Handles the reply to the last action.
  void OnReply(const ObjectReply& reply, Time now);
  void Tick(Time now);
  std::vector<PublishAction> TakeActions();

  // Set when the publisher has finished.
  const std::optional<PublishResult>& result() const { return result_; }
  // Returns the number of updates sent so far.
  uint32_t update_count() const { return update_count_; }

 private:
  enum class Operation : uint8_t { kRead, kUpdate };

  void OnReadReply(const ObjectReply& reply, Time now);
  void OnUpdateReply(const ObjectReply& reply, Time now);
  void OnCurrentConfig(const FleetConfig& current, Time now);
  void SendRequest(Operation operation);
  void ScheduleAfterBackoff(Operation next, Time now);
  void Finish(PublishStatus status);
  void FinishWithoutApplying(PublishStatus status);

  const ConfigChange change_;
  const PublishOptions options_;
  const Time deadline_;
  Random random_;
  std::optional<Operation> pending_operation_;  // Awaits its reply.
  std::optional<Operation> next_operation_;     // Runs after the backoff.
  Time next_operation_at_;
  uint32_t failure_count_ = 0;
  uint32_t update_count_ = 0;
  // Version against which an update of unknown outcome was sent. Unset when no
  // update is unresolved.
  std::optional<ConfigVersion> unresolved_version_;
  ConfigVersion expected_version_;
  std::string new_document_;
  std::vector<PublishAction> actions_;
  std::optional<PublishResult> result_;
};

}  // namespace burdockhatch

#endif  // SRC_CONFIG_PUBLISHER_H_
