// Changes of the fleet configuration. A change is a set of field edits with a
// change id. Each edit states the value that the field had in the version that
// the operator saw, so that a conflict can be told from an unrelated change.
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

// Returns the name of the object that holds the configuration.
const ObjectName& FleetConfigObjectName();

// Sets a field, or sets or removes a whole entity or a withdrawal. `path` has
// one of these forms:
//
//   /<section>/<id>          a whole model, service, account or template
//   /<section>/<id>/<field>  one field of it, which cannot be removed
//   /withdrawn_data_centres/<id>, /withdrawn_targets/<id>   true or absent
struct FieldEdit {
  std::string path;                   // JSON pointer.
  std::optional<std::string> before;  // JSON text; nullopt: absent.
  std::optional<std::string> after;   // JSON text; nullopt: remove.

  auto operator<=>(const FieldEdit&) const = default;
};

struct ConfigChange {
  ChangeId id;
  ConfigVersion base;  // The version that the operator saw.
  std::vector<FieldEdit> edits;
};

// Limit of the total size of the edits in the log, which bounds the share of
// the log in the document. Above it, the oldest records lose their edits and
// keep their ids.
inline constexpr size_t kMaxLoggedEditBytes = size_t{64} * 1024;

// Returns the value of the field at `path` as JSON text, or nullopt when the
// field is absent.
std::optional<std::string> GetFieldValue(const FleetConfig& config,
                                         std::string_view path);

// Returns an edit of `path` whose `before` is the value in `config`.
FieldEdit MakeEdit(const FleetConfig& config,
                   std::string path,
                   std::optional<std::string> after);

// Applies the edits to `config`, without a validation of the whole document and
// without a record in the log. Adds findings for paths that do not exist and
// for values of the wrong type.
void ApplyEdits(const std::vector<FieldEdit>& edits,
                FleetConfig* config,
                Findings* findings);

// How a change is applied to a document that is newer than its base.
enum class ConflictMode : uint8_t {
  kRebase,  // Applies the change when the fields that it edits are unchanged.
  kReject,  // Always reports a conflict. The baseline for measuring kRebase.
};

// kNoChange: all edited fields already have their new values.
enum class RebaseStatus : uint8_t { kApplied, kNoChange, kConflict, kInvalid };

// A field that another operator has changed since the base of a change.
struct FieldConflict {
  std::string path;
  std::optional<std::string> before;  // JSON text in the base.
  std::optional<std::string> now;     // JSON text in the current document.

  auto operator<=>(const FieldConflict&) const = default;
};

struct RebaseResult {
  RebaseStatus status = RebaseStatus::kApplied;
  // Set with kApplied: the new document including the log record. Its version
  // is that of `head` until it is written.
  FleetConfig config;
  std::vector<FieldConflict> conflicts;  // Set with kConflict in kRebase mode.
  Findings findings;                     // Set with kInvalid.
};

// Applies `change` to `head` and validates the resulting document as a whole.
RebaseResult Rebase(const ConfigChange& change,
                    const FleetConfig& head,
                    ConflictMode mode);

// Whether a change has been applied, as far as the log of a document proves it.
enum class ChangeOutcome : uint8_t {
  kApplied,
  kNotApplied,  // Not applied, and never will be: the document is newer than
                // the version that the conditional update expected.
  kUndecided,   // The document is no newer than that version, so the update may
                // yet be applied.
  kIndeterminate,  // The log does not reach back far enough.
};

// Looks up the change `id`, whose conditional update expected the version
// `expected`, in the log of `config`.
ChangeOutcome FindChangeOutcome(const FleetConfig& config,
                                const ChangeId& id,
                                ConfigVersion expected);

// Returns the changes after the version `base` as JSON text for ConfigPush, or
// nullopt when no change in the log starts from `base` or the log has dropped
// the edits of a change.
std::optional<std::string> SerializeChangesSince(const FleetConfig& config,
                                                 ConfigVersion base);

// Applies a text from SerializeChangesSince() to `config`, which may be newer
// than the version that the text starts from. Returns nullopt and adds a
// finding unless the result equals the sender's document at `version`.
std::optional<FleetConfig> ApplyChanges(const FleetConfig& config,
                                        std::string_view text,
                                        ConfigVersion version,
                                        Findings* findings);

}  // namespace burdockhatch

#endif  // SRC_CONFIG_EDIT_H_
