// The fleet configuration: models, plain services, client accounts, templates
// and withdrawals. One document, kept in one object of the object API, whose
// version orders all changes.
#ifndef SRC_FLEET_CONFIG_H_
#define SRC_FLEET_CONFIG_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "src/findings.h"
#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch {

struct ModelConfig {
  Tokens context_limit{1'000'000};  // Longest prompt.
  Tokens max_output{4'000};
  std::vector<DataCentreId>
      data_centres;  // Where targets of this model are deployed.
};

struct ServiceConfig {
  uint32_t claim_shards = 16;
  std::chrono::seconds idempotency_retention{24 * 3600};
  std::vector<std::string> repeatable_methods{"GET", "HEAD"};
  std::vector<DataCentreId> data_centres;
};

struct ClientAccountConfig {
  TokensPerSecond limit{10'000};
  Tokens burst{20'000};
  bool enabled = true;
};

// A named set of parameters that operators keep for a client account; a request
// names it.
struct TemplateConfig {
  ClientAccountId account;
  ModelId model;
  Tokens max_output{500};
  std::chrono::milliseconds deadline{30'000};
  std::string prompt_prefix;
};

// One applied change. The document keeps the last kMaxChangeLogRecords of them.
struct ChangeRecord {
  ChangeId id;
  ConfigVersion version;
  std::string edits;   // JSON text of the edits, see config_edit.h. Empty when
                       // too old for the space that the log may take.
  ConfigVersion base;  // The version that the change was applied to.
};
inline constexpr size_t kMaxChangeLogRecords = 256;

struct FleetConfig {
  ConfigVersion version;
  std::map<ModelId, ModelConfig> models;
  std::map<ServiceId, ServiceConfig> services;
  std::map<ClientAccountId, ClientAccountConfig> accounts;
  std::map<TemplateId, TemplateConfig> templates;
  std::set<DataCentreId> withdrawn_data_centres;
  std::set<TargetId> withdrawn_targets;
  std::vector<ChangeRecord> log;
};

using FleetConfigPtr = std::shared_ptr<const FleetConfig>;

// Parses the JSON text of a configuration. `version` is that of the object it
// came from. Returns nullopt and adds findings when the document is malformed,
// has unknown keys or breaks a rule of ValidateFleetConfig.
std::optional<FleetConfig> ParseFleetConfig(std::string_view text,
                                            ConfigVersion version,
                                            Findings* findings);

// Checks the rules that span fields: references resolve, amounts are positive,
// and each model and service keeps a data centre that is not withdrawn.
void ValidateFleetConfig(const FleetConfig& config, Findings* findings);

// The JSON text that ParseFleetConfig reads. Equal configurations give equal
// texts.
std::string SerializeFleetConfig(const FleetConfig& config);

// Whether operators have taken the target or its data centre out of service.
bool IsWithdrawn(const FleetConfig& config,
                 const TargetId& target,
                 const DataCentreId& data_centre);

}  // namespace burdockhatch

#endif  // SRC_FLEET_CONFIG_H_
