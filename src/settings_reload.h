// Reads the settings file again while the process runs. The platform may change
// it at any time, with or without a signal.
#ifndef SRC_SETTINGS_RELOAD_H_
#define SRC_SETTINGS_RELOAD_H_

#include <optional>

#include "src/settings.h"

namespace burdockhatch {

// Returns the settings that the file of `current` holds now. Returns nullopt,
// with a log line that names each finding, if they cannot be read or are
// invalid; `current` stays in force then. Also nullopt if `current` was not
// read from a file.
std::optional<Settings> ReloadSettings(const Settings& current);

}  // namespace burdockhatch

#endif  // SRC_SETTINGS_RELOAD_H_
