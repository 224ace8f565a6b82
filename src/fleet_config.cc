#include "src/fleet_config.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "src/fleet_config_json.h"
#include "src/json_reader.h"

namespace burdockhatch {

namespace json = boost::json;

namespace {

constexpr Bounds kTokenCountBounds{1, 100'000'000};
constexpr Bounds kTokensPerSecondBounds{1, 1'000'000'000};
constexpr Bounds kBurstTokensBounds{1, 1'000'000'000'000};
constexpr Bounds kShardCountBounds{1, 1024};
constexpr Bounds kRetentionSecondsBounds{60, int64_t{30} * 24 * 3600};
constexpr Bounds kDeadlineMsBounds{1, int64_t{24} * 3600 * 1000};
constexpr Bounds kVersionBounds{0, INT64_MAX};
constexpr size_t kMaxPromptPrefixBytes = size_t{16} * 1024;
constexpr size_t kMaxMethodLength = 16;

json::string_view ToJsonView(const std::string& text) {
  return {text.data(), text.size()};
}

template <class Ids>
json::array IdsToJson(const Ids& ids) {
  json::array list;
  for (const auto& it : ids) {
    list.emplace_back(ToJsonView(it.value()));
  }
  return list;
}

void ReadMethods(ObjectReader* reader,
                 std::vector<std::string>* methods,
                 Findings* findings) {
  const json::value* list = reader->Find("repeatable_methods");
  if (list == nullptr) {
    return;
  }
  const std::string path = reader->PathOf("repeatable_methods");
  if (!list->is_array()) {
    findings->Add(path, "expected an array of HTTP methods");
    return;
  }
  methods->clear();
  for (const json::value& it : list->get_array()) {
    const std::string item_path = ChildPath(path, methods->size());
    std::string method =
        ParseString(it, item_path, kMaxMethodLength, findings).value_or("");
    const bool upper_case =
        std::all_of(method.begin(), method.end(),
                    [](char c) { return c >= 'A' && c <= 'Z'; });
    if (it.is_string() && (method.empty() || !upper_case)) {
      findings->Add(item_path, "must be an HTTP method in upper case");
    }
    methods->push_back(std::move(method));
  }
}

// Reads a section: a JSON object whose keys are ids and whose values are
// entities.
template <class Id, class Entity>
void ReadEntities(ObjectReader* document,
                  std::string_view key,
                  std::map<Id, Entity>* entities,
                  Findings* findings) {
  const json::value* section = document->Find(key);
  if (section == nullptr) {
    return;
  }
  const std::string path = document->PathOf(key);
  const json::object* object = section->if_object();
  if (object == nullptr) {
    findings->Add(path, "expected an object whose keys are ids");
    return;
  }
  for (const auto& it : *object) {
    const std::string id(it.key().data(), it.key().size());
    const std::string item_path = ChildPath(path, id);
    if (!IsValidId(id)) {
      findings->Add(item_path, "the key is not a valid id");
    }
    Entity entity;
    ReadEntity(it.value(), item_path, &entity, findings);
    entities->emplace(Id(id), std::move(entity));
  }
}

template <class Id, class Entity>
json::object EntitiesToJson(const std::map<Id, Entity>& entities) {
  json::object section;
  section.reserve(entities.size());
  for (const auto& [id, entity] : entities) {
    section.emplace(ToJsonView(id.value()), EntityToJson(entity));
  }
  return section;
}

void ReadChangeRecord(const json::value& value,
                      const std::string& path,
                      ChangeRecord* record,
                      Findings* findings) {
  ObjectReader reader(value, path, findings);
  reader.Require({"id", "base"});
  reader.ReadId("id", &record->id);
  int64_t base = 0;
  reader.ReadInteger("base", kVersionBounds, &base);
  record->base = ConfigVersion(static_cast<uint64_t>(base));
  if (const json::value* edits = reader.Find("edits")) {
    record->edits = json::serialize(*edits);
  }
  reader.ReportUnknownKeys();
}

// Sets the version of each record. The stored log does not hold it, because the
// writer learns the version only from its write. The version of a record is the
// base of the next record; for the last record, the version of the document.
void SetRecordVersions(FleetConfig* config) {
  for (size_t i = 0; i < config->log.size(); ++i) {
    const bool last = i + 1 == config->log.size();
    config->log[i].version = last ? config->version : config->log[i + 1].base;
  }
}

void ReadChangeLog(ObjectReader* document,
                   FleetConfig* config,
                   Findings* findings) {
  const json::value* list = document->Find("log");
  if (list == nullptr) {
    return;
  }
  const std::string path = document->PathOf("log");
  if (!list->is_array() || list->get_array().size() > kMaxChangeLogRecords) {
    findings->Add(path, fmt::format("expected an array of at most {} changes",
                                    kMaxChangeLogRecords));
    return;
  }
  for (const json::value& it : list->get_array()) {
    const std::string item_path = ChildPath(path, config->log.size());
    ChangeRecord record;
    ReadChangeRecord(it, item_path, &record, findings);
    const bool ascending =
        config->log.empty() || config->log.back().base < record.base;
    if (!ascending || record.base >= config->version) {
      findings->Add(ChildPath(item_path, "base"),
                    "versions must ascend and be below that of the document");
    }
    config->log.push_back(std::move(record));
  }
  SetRecordVersions(config);
}

json::array ChangeLogToJson(const std::vector<ChangeRecord>& log) {
  json::array list;
  list.reserve(log.size());
  for (const ChangeRecord& it : log) {
    json::object record;
    record["id"] = ToJsonView(it.id.value());
    record["base"] = it.base.value();
    Findings ignored;
    if (auto edits = ParseJson(it.edits, &ignored)) {
      record["edits"] = std::move(*edits);
    }
    list.emplace_back(std::move(record));
  }
  return list;
}

// Refuses a configuration that withdraws every data centre of a model or
// service, because no request for it could be served.
void ValidateDataCentres(const FleetConfig& config,
                         const std::vector<DataCentreId>& data_centres,
                         const std::string& path,
                         std::string_view entity_name,
                         Findings* findings) {
  if (data_centres.empty()) {
    findings->Add(
        ChildPath(path, "data_centres"),
        fmt::format("{} needs at least one data centre", entity_name));
    return;
  }
  const bool in_service = std::any_of(
      data_centres.begin(), data_centres.end(), [&](const DataCentreId& it) {
        return !config.withdrawn_data_centres.contains(it);
      });
  if (!in_service) {
    findings->Add(ChildPath(path, "data_centres"),
                  fmt::format("every data centre of {} is withdrawn; at least "
                              "one must stay in service",
                              entity_name));
  }
}

void CheckPositive(int64_t value, std::string path, Findings* findings) {
  if (value <= 0) {
    findings->Add(std::move(path), "must be positive");
  }
}

void ValidateModels(const FleetConfig& config, Findings* findings) {
  for (const auto& [id, model] : config.models) {
    const std::string path = ChildPath("/models", id.value());
    CheckPositive(model.context_limit.value(), ChildPath(path, "context_limit"),
                  findings);
    CheckPositive(model.max_output.value(), ChildPath(path, "max_output"),
                  findings);
    ValidateDataCentres(config, model.data_centres, path,
                        fmt::format("model {}", id.value()), findings);
  }
}

void ValidateServices(const FleetConfig& config, Findings* findings) {
  for (const auto& [id, service] : config.services) {
    const std::string path = ChildPath("/services", id.value());
    CheckPositive(service.claim_shards, ChildPath(path, "claim_shards"),
                  findings);
    CheckPositive(service.idempotency_retention.count(),
                  ChildPath(path, "idempotency_retention_s"), findings);
    ValidateDataCentres(config, service.data_centres, path,
                        fmt::format("service {}", id.value()), findings);
  }
}

void ValidateAccounts(const FleetConfig& config, Findings* findings) {
  for (const auto& [id, account] : config.accounts) {
    const std::string path = ChildPath("/accounts", id.value());
    CheckPositive(account.limit.value(), ChildPath(path, "limit"), findings);
    CheckPositive(account.burst.value(), ChildPath(path, "burst"), findings);
  }
}

void ValidateTemplates(const FleetConfig& config, Findings* findings) {
  for (const auto& [id, it] : config.templates) {
    const std::string path = ChildPath("/templates", id.value());
    CheckPositive(it.max_output.value(), ChildPath(path, "max_output"),
                  findings);
    CheckPositive(it.deadline.count(), ChildPath(path, "deadline_ms"),
                  findings);
    if (!config.accounts.contains(it.account)) {
      findings->Add(ChildPath(path, "account"),
                    fmt::format("no client account '{}'", it.account.value()));
    }
    const auto model = config.models.find(it.model);
    if (model == config.models.end()) {
      findings->Add(ChildPath(path, "model"),
                    fmt::format("no model '{}'", it.model.value()));
    } else if (it.max_output > model->second.max_output) {
      findings->Add(
          ChildPath(path, "max_output"),
          fmt::format("is above the limit of model {}, {}", it.model.value(),
                      model->second.max_output.value()));
    }
  }
}

}  // namespace

void ReadEntity(const json::value& value,
                const std::string& path,
                ModelConfig* model,
                Findings* findings) {
  ObjectReader reader(value, path, findings);
  reader.ReadQuantity("context_limit", kTokenCountBounds,
                      &model->context_limit);
  reader.ReadQuantity("max_output", kTokenCountBounds, &model->max_output);
  reader.ReadIds("data_centres", &model->data_centres);
  reader.ReportUnknownKeys();
}

void ReadEntity(const json::value& value,
                const std::string& path,
                ServiceConfig* service,
                Findings* findings) {
  ObjectReader reader(value, path, findings);
  reader.ReadCount("claim_shards", kShardCountBounds, &service->claim_shards);
  reader.ReadDuration<std::chrono::seconds>("idempotency_retention_s",
                                            kRetentionSecondsBounds,
                                            &service->idempotency_retention);
  ReadMethods(&reader, &service->repeatable_methods, findings);
  reader.ReadIds("data_centres", &service->data_centres);
  reader.ReportUnknownKeys();
}

void ReadEntity(const json::value& value,
                const std::string& path,
                ClientAccountConfig* account,
                Findings* findings) {
  ObjectReader reader(value, path, findings);
  reader.ReadQuantity("limit", kTokensPerSecondBounds, &account->limit);
  reader.ReadQuantity("burst", kBurstTokensBounds, &account->burst);
  reader.ReadBool("enabled", &account->enabled);
  reader.ReportUnknownKeys();
}

void ReadEntity(const json::value& value,
                const std::string& path,
                TemplateConfig* it,
                Findings* findings) {
  ObjectReader reader(value, path, findings);
  reader.Require({"account", "model"});
  reader.ReadId("account", &it->account);
  reader.ReadId("model", &it->model);
  reader.ReadQuantity("max_output", kTokenCountBounds, &it->max_output);
  reader.ReadDuration<std::chrono::milliseconds>(
      "deadline_ms", kDeadlineMsBounds, &it->deadline);
  reader.ReadString("prompt_prefix", kMaxPromptPrefixBytes, &it->prompt_prefix);
  reader.ReportUnknownKeys();
}

json::object EntityToJson(const ModelConfig& model) {
  json::object object;
  object["context_limit"] = model.context_limit.value();
  object["max_output"] = model.max_output.value();
  object["data_centres"] = IdsToJson(model.data_centres);
  return object;
}

json::object EntityToJson(const ServiceConfig& service) {
  json::object object;
  object["claim_shards"] = service.claim_shards;
  object["idempotency_retention_s"] =
      int64_t{service.idempotency_retention.count()};
  json::array methods;
  for (const std::string& it : service.repeatable_methods) {
    methods.emplace_back(ToJsonView(it));
  }
  object["repeatable_methods"] = std::move(methods);
  object["data_centres"] = IdsToJson(service.data_centres);
  return object;
}

json::object EntityToJson(const ClientAccountConfig& account) {
  json::object object;
  object["limit"] = account.limit.value();
  object["burst"] = account.burst.value();
  object["enabled"] = account.enabled;
  return object;
}

json::object EntityToJson(const TemplateConfig& it) {
  json::object object;
  object["account"] = ToJsonView(it.account.value());
  object["model"] = ToJsonView(it.model.value());
  object["max_output"] = it.max_output.value();
  object["deadline_ms"] = int64_t{it.deadline.count()};
  object["prompt_prefix"] = ToJsonView(it.prompt_prefix);
  return object;
}

std::optional<FleetConfig> ParseFleetConfig(std::string_view text,
                                            ConfigVersion version,
                                            Findings* findings) {
  const size_t findings_before = findings->list.size();
  const std::optional<json::value> document = ParseJson(text, findings);
  if (!document) {
    return std::nullopt;
  }
  FleetConfig config;
  config.version = version;
  ObjectReader reader(*document, "", findings);
  ReadEntities(&reader, "models", &config.models, findings);
  ReadEntities(&reader, "services", &config.services, findings);
  ReadEntities(&reader, "accounts", &config.accounts, findings);
  ReadEntities(&reader, "templates", &config.templates, findings);
  reader.ReadIds("withdrawn_data_centres", &config.withdrawn_data_centres);
  reader.ReadIds("withdrawn_targets", &config.withdrawn_targets);
  ReadChangeLog(&reader, &config, findings);
  reader.ReportUnknownKeys();
  if (findings->list.size() == findings_before) {
    ValidateFleetConfig(config, findings);
  }
  if (findings->list.size() != findings_before) {
    return std::nullopt;
  }
  return config;
}

void ValidateFleetConfig(const FleetConfig& config, Findings* findings) {
  ValidateModels(config, findings);
  ValidateServices(config, findings);
  ValidateAccounts(config, findings);
  ValidateTemplates(config, findings);
}

std::string SerializeFleetConfig(const FleetConfig& config) {
  json::object document;
  document["models"] = EntitiesToJson(config.models);
  document["services"] = EntitiesToJson(config.services);
  document["accounts"] = EntitiesToJson(config.accounts);
  document["templates"] = EntitiesToJson(config.templates);
  document["withdrawn_data_centres"] = IdsToJson(config.withdrawn_data_centres);
  document["withdrawn_targets"] = IdsToJson(config.withdrawn_targets);
  document["log"] = ChangeLogToJson(config.log);
  return json::serialize(document);
}

bool IsWithdrawn(const FleetConfig& config,
                 const TargetId& target,
                 const DataCentreId& data_centre) {
  return config.withdrawn_data_centres.contains(data_centre) ||
         config.withdrawn_targets.contains(target);
}

}  // namespace burdockhatch
