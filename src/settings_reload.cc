#include "src/settings_reload.h"

#include <string>

#include <boost/leaf/handle_errors.hpp>

#include "src/findings.h"
#include "src/log.h"

namespace burdockhatch {

namespace leaf = boost::leaf;

namespace {

void LogRejection(const std::string& path, const std::string& reason) {
  Log(LogLevel::kError, "settings_rejected",
      {{"path", path}, {"reason", reason}});
}

}  // namespace

std::optional<Settings> ReloadSettings(const Settings& current) {
  if (current.path.empty()) {
    return std::nullopt;
  }
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Settings>> {
        BOOST_LEAF_AUTO(text, ReadSettingsFile(current.path));
        Findings findings;
        std::optional<Settings> settings = ParseSettings(text, &findings);
        if (!settings) {
          LogRejection(current.path, ToString(findings));
        } else {
          settings->path = current.path;
        }
        return settings;
      },
      [&](const SettingsFileError& error) {
        LogRejection(current.path, error.reason);
        return std::optional<Settings>();
      },
      [&] {
        LogRejection(current.path, "unknown error");
        return std::optional<Settings>();
      });
}

}  // namespace burdockhatch
