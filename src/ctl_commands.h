// What the operators' tool decides without I/O: the edits that a command asks
// for, and how configurations and results are printed.
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
  kRefused = 1,  // Refused or in conflict; nothing was changed.
  kUsage = 2,
  kUnreachable = 3,  // Nothing was changed.
  kUnknown = 4,      // The change may have been applied.
};

// What burdockctl prints, and its exit status.
struct CtlOutput {
  CtlExit exit = CtlExit::kOk;
  std::string text;
};

// Whether `words` is a command that changes the configuration, e.g. "account
// set acme limit=5".
bool IsChangeCommand(const std::vector<std::string>& words);

// Whether `words` is a command that prints a part of the configuration, e.g.
// "account list".
bool IsQueryCommand(const std::vector<std::string>& words);

// The edits that a change command asks for, given the document that the
// operator sees. Findings say what is wrong with the command.
std::vector<FieldEdit> EditsOfCommand(const std::vector<std::string>& words,
                                      const FleetConfig& head,
                                      Findings* findings);

CtlOutput QueryOutput(const std::vector<std::string>& words,
                      const FleetConfig& head,
                      bool as_json);

CtlOutput PublishOutput(const PublishResult& result,
                        const ChangeId& id,
                        bool as_json);

// Columns padded to equal width, for people.
std::string FormatTable(const std::vector<std::vector<std::string>>& rows);

}  // namespace burdockhatch

#endif  // SRC_CTL_COMMANDS_H_
