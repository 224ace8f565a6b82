// The part of burdockctl without I/O: converts commands to edits of the
// configuration, and formats configurations and results for output.
#ifndef SRC_CTL_COMMANDS_H_
#define SRC_CTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/config_edit.h"
#include "src/config_publisher.h"
#include "src/findings.h"
#include "src/fleet_config.h"

namespace burdockhatch {

// Exit status of burdockctl.
enum class CtlExit : uint8_t {
  kOk = 0,
  // An invalid or conflicting change, of which nothing was applied; an unknown
  // id; an invalid file or stored configuration; or an HTTP error response.
  kRefused = 1,
  kUsage = 2,        // The command is malformed, or its file cannot be read.
  kUnreachable = 3,  // The object API or the entry did not take the request;
                     // nothing was changed.
  kUnknown = 4,      // The change may have been applied.
};

// Output and exit status of burdockctl.
struct CtlOutput {
  CtlExit exit = CtlExit::kOk;
  std::string text;
};

// Returns whether `words` is a command that changes the configuration, for
// example "account set acme limit=5".
bool IsChangeCommand(const std::vector<std::string>& words);

// Returns whether `words` is a command that prints a part of the configuration,
// for example "account list".
bool IsQueryCommand(const std::vector<std::string>& words);

// Converts a change command to edits of `head`, the document that the operator
// sees. Requires IsChangeCommand(words). Adds a finding for each error in the
// command.
std::vector<FieldEdit> ParseChangeCommand(const std::vector<std::string>& words,
                                          const FleetConfig& head,
                                          Findings* findings);

// Returns the result of a query command. Requires IsQueryCommand(words).
CtlOutput FormatQueryResult(const std::vector<std::string>& words,
                            const FleetConfig& head,
                            bool as_json);

// Returns the message and exit status for the result of publishing change `id`.
CtlOutput FormatPublishResult(const PublishResult& result,
                              const ChangeId& id,
                              bool as_json);

// Formats a table with columns padded to equal width.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace burdockhatch

#endif  // SRC_CTL_COMMANDS_H_
