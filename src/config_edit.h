// Changes of the fleet configuration. A change is a set of field edits with a
// change id; each edit states the value that the field had when the operator
// looked at it, so that a conflict can be told from an unrelated change.
#ifndef SRC_CONFIG_EDIT_H_
#define SRC_CONFIG_EDIT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/findings.h"
#include "src/fleet_config.h"
#include "src/ids.h"
#include "src/object_api.h"

namespace burdockhatch {

// The object that holds the configuration.
const ObjectName& FleetConfigObjectName();

// Sets or removes one field. The paths are:
//
//   /<section>/<id>          a whole model, service, account or template
//   /<section>/<id>/<field>  one field of it
//   /withdrawn_data_centres/<id>, /withdrawn_targets/<id>   true or absent
struct FieldEdit {
  std::string path;                   // JSON pointer.
  std::optional<std::string> before;  // JSON text; nullopt: absent.
  std::optional<std::string> after;   // JSON text; nullopt: remove.

  auto operator<=>(const FieldEdit&) const = default;
};

struct Change {
  ChangeId id;
  ConfigVersion base;  // The version that the operator looked at.
  std::vector<FieldEdit> edits;
};

// Edits kept in the log may take this much together; the oldest lose their
// text, and keep their id, first. Bounds the share of the log in the document.
inline constexpr size_t kMaxLoggedEditBytes = size_t{64} * 1024;

// The value of the field at `path` as JSON text, or nullopt when it is absent.
std::optional<std::string> FieldValue(const FleetConfig& config,
                                      std::string_view path);

// An edit whose `before` is the value in `config`.
FieldEdit MakeEdit(const FleetConfig& config,
                   std::string path,
                   std::optional<std::string> after);

// Applies the edits to `config`, without validation of the whole and without a
// record in the log. Findings name paths that do not exist and values of the
// wrong type.
void ApplyEdits(const std::vector<FieldEdit>& edits,
                FleetConfig* config,
                Findings* findings);

// How a change meets a document that has moved on since its base.
enum class ConflictMode : uint8_t {
  kRebase,  // Applies when the fields that it touches are unchanged.
  kReject,  // Always a conflict. The baseline that rebase is measured against.
};

enum class RebaseStatus : uint8_t { kApplied, kNoChange, kConflict, kInvalid };

// A field that another operator has changed since the base.
struct FieldConflict {
  std::string path;
  std::optional<std::string> before;
  std::optional<std::string> now;

  auto operator<=>(const FieldConflict&) const = default;
};

struct RebaseResult {
  RebaseStatus status = RebaseStatus::kApplied;
  FleetConfig config;  // kApplied: the new document, with its log record; its
                       // version is that of `head` until it is written.
  std::vector<FieldConflict> conflicts;  // kConflict; empty in kReject mode.
  Findings findings;                     // kInvalid.
};

// Applies `change` to `head` and validates the result as a whole.
RebaseResult Rebase(const Change& change,
                    const FleetConfig& head,
                    ConflictMode mode);

// What the log of a document proves about a change that was written against
// `expected`.
enum class ChangeOutcome : uint8_t {
  kApplied,
  kNotApplied,     // And never will be: the document has moved past `expected`.
  kUndecided,      // The document still has version `expected`.
  kIndeterminate,  // The log does not reach back far enough.
};
ChangeOutcome FindChangeOutcome(const FleetConfig& config,
                                const ChangeId& id,
                                ConfigVersion expected);

// The changes after `have` as JSON text for ConfigPush, or nullopt when the log
// does not reach back that far.
std::optional<std::string> ChangesSince(const FleetConfig& config,
                                        ConfigVersion have);

// Applies the text of ChangesSince to `config`, which may be newer than the
// version that the text starts from. Returns nullopt with a finding unless the
// result is exactly the sender's document at `version`.
std::optional<FleetConfig> ApplyChanges(const FleetConfig& config,
                                        std::string_view text,
                                        ConfigVersion version,
                                        Findings* findings);

}  // namespace burdockhatch

#endif  // SRC_CONFIG_EDIT_H_
