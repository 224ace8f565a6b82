// burdockhatchd runs as an entry or as an agent, depending on its settings.
#include <malloc.h>

#include <cstdio>
#include <optional>
#include <string>
#include <utility>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>
#include <boost/leaf/handle_errors.hpp>

#include "platform/engine_memory.h"
#include "platform/fleet_feed.h"
#include "platform/forward_headers.h"
#include "src/agent_daemon.h"
#include "src/entry_daemon.h"
#include "src/forward_daemon.h"
#include "src/settings.h"

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file");
ABSL_FLAG(bool,
          check_settings,
          false,
          "report all findings in the settings and exit; the exit status is 0 "
          "if there are none");

namespace {

namespace leaf = boost::leaf;

constexpr char kVersion[] = "burdockhatchd 0.1.0\n";
constexpr int kInvalidSettingsExitStatus = 2;
constexpr int kMmapThresholdBytes = 128 * 1024;
// Free memory at the end of the heap that stays with the process, so that small
// blocks do not cost a system call each.
constexpr int kTrimThresholdBytes = 2 * 1024 * 1024;

// Returns nullopt if the settings cannot be read or are invalid. Prints the
// findings and errors to stderr.
std::optional<burdockhatch::Settings> LoadSettings(const std::string& path) {
  using burdockhatch::Settings;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<Settings>> {
        BOOST_LEAF_AUTO(text, burdockhatch::ReadSettingsFile(path));
        burdockhatch::Findings findings;
        std::optional<Settings> settings =
            burdockhatch::ParseSettings(text, &findings);
        fmt::print(stderr, "{}", ToString(findings));
        if (settings) {
          settings->path = path;
        }
        return settings;
      },
      [](const burdockhatch::SettingsFileError& error) {
        fmt::print(stderr, "{}: {}\n", error.path, error.reason);
        return std::optional<Settings>();
      },
      [] {
        fmt::print(stderr, "cannot read the settings\n");
        return std::optional<Settings>();
      });
}

int RunForwarding(const burdockhatch::Settings& settings) {
  burdockhatch::ForwardPlatform forward_platform;
  forward_platform.make_feed = burdockhatch::platform::MakeFleetFeed;
  forward_platform.protocol = burdockhatch::platform::MakeForwardProtocol();
  forward_platform.make_engine_memory =
      burdockhatch::platform::MakeEngineMemory;
  if (settings.role == burdockhatch::Role::kAgent) {
    return burdockhatch::RunPlacementAgent(settings,
                                           std::move(forward_platform));
  }
  return burdockhatch::RunForwardEntry(settings, std::move(forward_platform));
}

}  // namespace

int main(int argc, char** argv) {
  // Returns large blocks to the system when they are freed. By default the
  // threshold grows to the size of the largest freed block, so that the memory
  // of bodies stays with the process.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimThresholdBytes);
  absl::SetProgramUsageMessage(
      "Serves callers (role entry) or serves one target (role agent).\n"
      "burdockhatchd --settings=FILE [--check_settings]");
  absl::FlagsUsageConfig usage;
  usage.version_string = [] { return std::string(kVersion); };
  absl::SetFlagsUsageConfig(usage);
  absl::ParseCommandLine(argc, argv);

  const std::string path = absl::GetFlag(FLAGS_settings);
  if (path.empty()) {
    fmt::print(stderr, "--settings=FILE is missing; see --help\n");
    return kInvalidSettingsExitStatus;
  }
  const std::optional<burdockhatch::Settings> settings = LoadSettings(path);
  if (!settings) {
    return kInvalidSettingsExitStatus;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    fmt::print("{}: no findings\n", path);
    return 0;
  }
  if (settings->forwarding) {
    return RunForwarding(*settings);
  }
  return settings->role == burdockhatch::Role::kEntry
             ? burdockhatch::RunEntry(*settings)
             : burdockhatch::RunAgent(*settings);
}
