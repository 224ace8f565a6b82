// The fleet configuration: models, plain services, client accounts, templates
// and withdrawals. It is one document in one object of the object API; the
// version of the object orders all changes.
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
  Tokens context_limit{1'000'000};  // Maximum length of a prompt.
  Tokens max_output{4'000};         // Maximum length of an answer.
  // Data centres with targets of this model.
  std::vector<DataCentreId> data_centres;
};

struct ServiceConfig {
  // Number of shards over which the idempotency keys of the service are spread.
  uint32_t claim_shards = 16;
  // How long the outcome of an idempotency key is kept.
  std::chrono::seconds idempotency_retention{24 * 3600};
  // HTTP methods whose requests may be executed more than once.
  std::vector<std::string> repeatable_methods{"GET", "HEAD"};
  // Data centres with targets of this service.
  std::vector<DataCentreId> data_centres;
};

struct ClientAccountConfig {
  // Refill rate (`limit`) and capacity (`burst`) of the account's token buckets
  // at all entries together.
  TokensPerSecond limit{10'000};
  Tokens burst{20'000};
  bool enabled = true;  // Requests of a disabled account are rejected.
};

// A named set of request parameters of a client account. Operators define it
// and a request refers to it by id.
struct TemplateConfig {
  ClientAccountId account;
  ModelId model;
  Tokens max_output{500};
  std::chrono::milliseconds deadline{30'000};
  std::string prompt_prefix;
};

// An applied change. The document keeps the last kMaxChangeLogRecords changes.
struct ChangeRecord {
  ChangeId id;
  ConfigVersion version;  // Version of the document after the change.
  // JSON text of the edits, see config_edit.h. Empty in old records, once the
  // edits of the log exceed kMaxLoggedEditBytes.
  std::string edits;
  ConfigVersion base;  // Version of the document before the change.
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

// Parses the JSON text of a configuration. `version` is the version of the
// object that holds the text. Returns nullopt and adds findings when the
// document is malformed, has unknown keys or violates a rule of
// ValidateFleetConfig().
std::optional<FleetConfig> ParseFleetConfig(std::string_view text,
                                            ConfigVersion version,
                                            Findings* findings);

// Checks that references resolve, amounts are positive, templates respect the
// output limit of their model, and each model and service has a data centre
// that is not withdrawn.
void ValidateFleetConfig(const FleetConfig& config, Findings* findings);

// Returns the JSON text that ParseFleetConfig() reads. Equal configurations
// give equal texts.
std::string SerializeFleetConfig(const FleetConfig& config);

// Returns whether operators have taken the target or its data centre out of
// service.
bool IsWithdrawn(const FleetConfig& config,
                 const TargetId& target,
                 const DataCentreId& data_centre);

}  // namespace burdockhatch

#endif  // SRC_FLEET_CONFIG_H_
