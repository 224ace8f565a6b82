// Fuzzes pushed configuration edits, which read what other processes and
// operators send.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "src/config_edit.h"
#include "src/findings.h"
#include "src/fleet_config.h"

namespace {

using namespace burdockhatch;

constexpr ConfigVersion kBase{5};
constexpr ConfigVersion kNext{9};

void Require(bool holds) {
  if (!holds) {
    abort();
  }
}

FleetConfig SampleConfig() {
  constexpr std::string_view kText =
      R"({"models":{"m":{"context_limit":1000000,"max_output":4000,
      "data_centres":["a","b"]}},"services":{"s":{"claim_shards":16,
      "idempotency_retention_s":86400,"repeatable_methods":["GET"],
      "data_centres":["a"]}},"accounts":{"c":{"limit":100,"burst":200,
      "enabled":true}},"templates":{"t":{"account":"c","model":"m",
      "max_output":5,"deadline_ms":30000,"prompt_prefix":"x"}},
      "withdrawn_data_centres":["b"],"withdrawn_targets":["t1"],"log":[]})";
  Findings findings;
  auto config = ParseFleetConfig(kText, kBase, &findings);
  Require(config.has_value());
  return *config;
}

// One edit a line: a path, then a space and the new value unless the field is
// to be removed.
ConfigChange ChangeFrom(std::string_view text, const FleetConfig& head) {
  ConfigChange change{ChangeId("c"), head.version, {}};
  while (!text.empty()) {
    const size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    const size_t space = std::min(line.find(' '), line.size());
    std::optional<std::string> after;
    if (space < line.size()) {
      after = std::string(line.substr(space + 1));
    }
    change.edits.push_back(
        MakeEdit(head, std::string(line.substr(0, space)), std::move(after)));
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return change;
}

// The document must survive its text.
void CheckDocument(const FleetConfig& config) {
  const std::string once = SerializeFleetConfig(config);
  Findings findings;
  const auto again = ParseFleetConfig(once, config.version, &findings);
  Require(again && SerializeFleetConfig(*again) == once);
}

// Text from a peer: rejected with a finding, or a document at the version.
void CheckPush(const FleetConfig& head, std::string_view text) {
  Findings findings;
  const auto result = ApplyChanges(head, text, kNext, &findings);
  Require(result.has_value() == findings.empty());
  if (result) {
    Require(result->version == kNext);
  }
}

// A change that the sender applies must give the receiver the same document.
void CheckChange(const FleetConfig& head, std::string_view text) {
  const ConfigChange change = ChangeFrom(text, head);
  RebaseResult result = Rebase(change, head, ConflictMode::kRebase);
  Require(result.status != RebaseStatus::kInvalid || !result.findings.empty());
  Require(result.status != RebaseStatus::kConflict);
  if (result.status != RebaseStatus::kApplied) {
    return;
  }
  result.config.version = kNext;
  result.config.log.back().version = kNext;
  CheckDocument(result.config);
  const auto push = SerializeChangesSince(result.config, head.version);
  Require(push.has_value());
  Findings findings;
  const auto received = ApplyChanges(head, *push, kNext, &findings);
  Require(received && received->version == kNext);
  Require(SerializeFleetConfig(*received) ==
          SerializeFleetConfig(result.config));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  static const FleetConfig head = SampleConfig();
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  CheckPush(head, text);
  CheckChange(head, text);
  return 0;
}
