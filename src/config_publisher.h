// The loop that brings one operator change into the configuration object: read,
// rebase, conditional update, and again on a conflict. Events go in, actions
// come out. The change is reported as accepted only once that is known.
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
  Duration time_limit = std::chrono::seconds(10);  // For the whole change.
  uint64_t seed = 1;                               // For the back-off.
};

// Read the configuration object.
struct ReadConfigObject {};

// Update the configuration object.
struct UpdateConfigObject {
  ObjectVersion expected;
  std::string value;
};

using PublishAction = std::variant<ReadConfigObject, UpdateConfigObject>;

enum class PublishStatus : uint8_t {
  kAccepted,
  kNoChange,     // The document already has the values.
  kConflict,     // Not applied: another operator changed the same fields.
  kInvalid,      // Not applied: the result would break a rule.
  kUnavailable,  // Not applied: the object API did not take it in time.
  kUnknown,      // May have been applied.
};

struct PublishResult {
  PublishStatus status = PublishStatus::kUnknown;
  ConfigVersion version;  // kAccepted: the version with the change.
  std::vector<FieldConflict> conflicts;
  Findings findings;
};

class ConfigPublisher {
 public:
  ConfigPublisher(Change change, PublishOptions options, Time now);

  // The answer to the last action.
  void OnReply(const ObjectReply& reply, Time now);
  void Tick(Time now);
  std::vector<PublishAction> TakeActions();

  // Set once the loop has ended.
  const std::optional<PublishResult>& result() const { return result_; }
  // Updates sent so far.
  uint32_t update_count() const { return tries_; }

 private:
  enum class Step : uint8_t { kRead, kUpdate };

  void OnRead(const ObjectReply& reply, Time now);
  void OnUpdate(const ObjectReply& reply, Time now);
  void OnHead(const FleetConfig& head, Time now);
  void Send(Step step);
  void BackOff(Step next, Time now);
  void End(PublishStatus status);
  void EndUnapplied(PublishStatus status);

  const Change change_;
  const PublishOptions options_;
  const Time deadline_;
  Random random_;
  std::optional<Step> waiting_for_;  // The action that is under way.
  std::optional<Step> next_;         // What to do after the back-off.
  Time next_at_;
  uint32_t failures_ = 0;
  uint32_t tries_ = 0;
  // An update against this version has an unknown outcome.
  std::optional<ConfigVersion> unresolved_;
  ConfigVersion expected_;
  std::string value_;
  std::vector<PublishAction> actions_;
  std::optional<PublishResult> result_;
};

}  // namespace burdockhatch

#endif  // SRC_CONFIG_PUBLISHER_H_
