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

constexpr Bounds kTokenBounds{1, 100'000'000};
constexpr Bounds kRateBounds{1, 1'000'000'000};
constexpr Bounds kBurstBounds{1, 1'000'000'000'000};
constexpr Bounds kShardBounds{1, 1024};
constexpr Bounds kRetentionSeconds{60, int64_t{30} * 24 * 3600};
constexpr Bounds kDeadlineMs{1, int64_t{24} * 3600 * 1000};
constexpr Bounds kVersionBounds{0, INT64_MAX};
constexpr size_t kMaxPromptPrefix = size_t{16} * 1024;
constexpr size_t kMaxMethodLength = 16;

json::string_view View(const std::string& text) {
  return {text.data(), text.size()};
}

template <class Ids>
json::array IdsToJson(const Ids& ids) {
  json::array list;
  for (const auto& it : ids) {
    list.emplace_back(View(it.value()));
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
  const std::string place = reader->PlaceOf("repeatable_methods");
  if (!list->is_array()) {
    findings->Add(place, "expected an array of HTTP methods");
    return;
  }
  methods->clear();
  for (const json::value& it : list->get_array()) {
    const std::string at = ChildPlace(place, methods->size());
    std::string method =
        ReadText(it, at, kMaxMethodLength, findings).value_or("");
    const bool upper_case =
        std::all_of(method.begin(), method.end(),
                    [](char c) { return c >= 'A' && c <= 'Z'; });
    if (it.is_string() && (method.empty() || !upper_case)) {
      findings->Add(at, "must be an HTTP method in upper case");
    }
    methods->push_back(std::move(method));
  }
}

// Reads a JSON object whose keys are ids and whose values are entities.
template <class Id, class Entity>
void ReadEntities(ObjectReader* document,
                  std::string_view key,
                  std::map<Id, Entity>* entities,
                  Findings* findings) {
  const json::value* section = document->Find(key);
  if (section == nullptr) {
    return;
  }
  const std::string place = document->PlaceOf(key);
  const json::object* object = section->if_object();
  if (object == nullptr) {
    findings->Add(place, "expected an object whose keys are ids");
    return;
  }
  for (const auto& it : *object) {
    const std::string id(it.key().data(), it.key().size());
    const std::string at = ChildPlace(place, id);
    if (!IsValidId(id)) {
      findings->Add(at, "the key is not a valid id");
    }
    Entity entity;
    ReadEntity(it.value(), at, &entity, findings);
    entities->emplace(Id(id), std::move(entity));
  }
}

template <class Id, class Entity>
json::object EntitiesToJson(const std::map<Id, Entity>& entities) {
  json::object section;
  section.reserve(entities.size());
  for (const auto& [id, entity] : entities) {
    section.emplace(View(id.value()), EntityToJson(entity));
  }
  return section;
}

void ReadRecord(const json::value& value,
                const std::string& place,
                ChangeRecord* record,
                Findings* findings) {
  ObjectReader reader(value, place, findings);
  reader.Require({"id", "base"});
  reader.Id("id", &record->id);
  int64_t base = 0;
  reader.Integer("base", kVersionBounds, &base);
  record->base = ConfigVersion(static_cast<uint64_t>(base));
  if (const json::value* edits = reader.Find("edits")) {
    record->edits = json::serialize(*edits);
  }
  reader.Finish();
}

// A record does not state its own version, because a writer does not know it
// before the write. It is the base of the next record, or that of the document.
void FillRecordVersions(FleetConfig* config) {
  for (size_t i = 0; i < config->log.size(); ++i) {
    const bool last = i + 1 == config->log.size();
    config->log[i].version = last ? config->version : config->log[i + 1].base;
  }
}

void ReadLog(ObjectReader* document, FleetConfig* config, Findings* findings) {
  const json::value* list = document->Find("log");
  if (list == nullptr) {
    return;
  }
  const std::string place = document->PlaceOf("log");
  if (!list->is_array() || list->get_array().size() > kMaxChangeLogRecords) {
    findings->Add(place, fmt::format("expected an array of at most {} changes",
                                     kMaxChangeLogRecords));
    return;
  }
  for (const json::value& it : list->get_array()) {
    const std::string at = ChildPlace(place, config->log.size());
    ChangeRecord record;
    ReadRecord(it, at, &record, findings);
    const bool ascending =
        config->log.empty() || config->log.back().base < record.base;
    if (!ascending || record.base >= config->version) {
      findings->Add(ChildPlace(at, "base"),
                    "versions must ascend and be below that of the document");
    }
    config->log.push_back(std::move(record));
  }
  FillRecordVersions(config);
}

json::array LogToJson(const std::vector<ChangeRecord>& log) {
  json::array list;
  list.reserve(log.size());
  for (const ChangeRecord& it : log) {
    json::object record;
    record["id"] = View(it.id.value());
    record["base"] = it.base.value();
    Findings ignored;
    if (auto edits = ParseJson(it.edits, &ignored)) {
      record["edits"] = std::move(*edits);
    }
    list.emplace_back(std::move(record));
  }
  return list;
}

// A model or service without a data centre in service could not be served at
// all, so the change that takes the last one out is refused.
void CheckDataCentres(const FleetConfig& config,
                      const std::vector<DataCentreId>& data_centres,
                      const std::string& place,
                      std::string_view what,
                      Findings* findings) {
  if (data_centres.empty()) {
    findings->Add(ChildPlace(place, "data_centres"),
                  fmt::format("{} needs at least one data centre", what));
    return;
  }
  const bool served = std::any_of(
      data_centres.begin(), data_centres.end(), [&](const DataCentreId& it) {
        return !config.withdrawn_data_centres.contains(it);
      });
  if (!served) {
    findings->Add(ChildPlace(place, "data_centres"),
                  fmt::format("every data centre of {} is withdrawn; at least "
                              "one must stay in service",
                              what));
  }
}

void CheckPositive(int64_t value, std::string place, Findings* findings) {
  if (value <= 0) {
    findings->Add(std::move(place), "must be positive");
  }
}

void ValidateModels(const FleetConfig& config, Findings* findings) {
  for (const auto& [id, model] : config.models) {
    const std::string place = ChildPlace("/models", id.value());
    CheckPositive(model.context_limit.value(),
                  ChildPlace(place, "context_limit"), findings);
    CheckPositive(model.max_output.value(), ChildPlace(place, "max_output"),
                  findings);
    CheckDataCentres(config, model.data_centres, place,
                     fmt::format("model {}", id.value()), findings);
  }
}

void ValidateServices(const FleetConfig& config, Findings* findings) {
  for (const auto& [id, service] : config.services) {
    const std::string place = ChildPlace("/services", id.value());
    CheckPositive(service.claim_shards, ChildPlace(place, "claim_shards"),
                  findings);
    CheckPositive(service.idempotency_retention.count(),
                  ChildPlace(place, "idempotency_retention_s"), findings);
    CheckDataCentres(config, service.data_centres, place,
                     fmt::format("service {}", id.value()), findings);
  }
}

void ValidateAccounts(const FleetConfig& config, Findings* findings) {
  for (const auto& [id, account] : config.accounts) {
    const std::string place = ChildPlace("/accounts", id.value());
    CheckPositive(account.limit.value(), ChildPlace(place, "limit"), findings);
    CheckPositive(account.burst.value(), ChildPlace(place, "burst"), findings);
  }
}

void ValidateTemplates(const FleetConfig& config, Findings* findings) {
  for (const auto& [id, it] : config.templates) {
    const std::string place = ChildPlace("/templates", id.value());
    CheckPositive(it.max_output.value(), ChildPlace(place, "max_output"),
                  findings);
    CheckPositive(it.deadline.count(), ChildPlace(place, "deadline_ms"),
                  findings);
    if (!config.accounts.contains(it.account)) {
      findings->Add(ChildPlace(place, "account"),
                    fmt::format("no client account '{}'", it.account.value()));
    }
    const auto model = config.models.find(it.model);
    if (model == config.models.end()) {
      findings->Add(ChildPlace(place, "model"),
                    fmt::format("no model '{}'", it.model.value()));
    } else if (it.max_output > model->second.max_output) {
      findings->Add(
          ChildPlace(place, "max_output"),
          fmt::format("is above the limit of model {}, {}", it.model.value(),
                      model->second.max_output.value()));
    }
  }
}

}  // namespace

void ReadEntity(const json::value& value,
                const std::string& place,
                ModelConfig* model,
                Findings* findings) {
  ObjectReader reader(value, place, findings);
  reader.Amount("context_limit", kTokenBounds, &model->context_limit);
  reader.Amount("max_output", kTokenBounds, &model->max_output);
  reader.Ids("data_centres", &model->data_centres);
  reader.Finish();
}

void ReadEntity(const json::value& value,
                const std::string& place,
                ServiceConfig* service,
                Findings* findings) {
  ObjectReader reader(value, place, findings);
  reader.Count("claim_shards", kShardBounds, &service->claim_shards);
  reader.Time<std::chrono::seconds>("idempotency_retention_s",
                                    kRetentionSeconds,
                                    &service->idempotency_retention);
  ReadMethods(&reader, &service->repeatable_methods, findings);
  reader.Ids("data_centres", &service->data_centres);
  reader.Finish();
}

void ReadEntity(const json::value& value,
                const std::string& place,
                ClientAccountConfig* account,
                Findings* findings) {
  ObjectReader reader(value, place, findings);
  reader.Amount("limit", kRateBounds, &account->limit);
  reader.Amount("burst", kBurstBounds, &account->burst);
  reader.Flag("enabled", &account->enabled);
  reader.Finish();
}

void ReadEntity(const json::value& value,
                const std::string& place,
                TemplateConfig* it,
                Findings* findings) {
  ObjectReader reader(value, place, findings);
  reader.Require({"account", "model"});
  reader.Id("account", &it->account);
  reader.Id("model", &it->model);
  reader.Amount("max_output", kTokenBounds, &it->max_output);
  reader.Time<std::chrono::milliseconds>("deadline_ms", kDeadlineMs,
                                         &it->deadline);
  reader.Text("prompt_prefix", kMaxPromptPrefix, &it->prompt_prefix);
  reader.Finish();
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
    methods.emplace_back(View(it));
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
  object["account"] = View(it.account.value());
  object["model"] = View(it.model.value());
  object["max_output"] = it.max_output.value();
  object["deadline_ms"] = int64_t{it.deadline.count()};
  object["prompt_prefix"] = View(it.prompt_prefix);
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
  reader.Ids("withdrawn_data_centres", &config.withdrawn_data_centres);
  reader.Ids("withdrawn_targets", &config.withdrawn_targets);
  ReadLog(&reader, &config, findings);
  reader.Finish();
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
  document["log"] = LogToJson(config.log);
  return json::serialize(document);
}

bool IsWithdrawn(const FleetConfig& config,
                 const TargetId& target,
                 const DataCentreId& data_centre) {
  return config.withdrawn_data_centres.contains(data_centre) ||
         config.withdrawn_targets.contains(target);
}

}  // namespace burdockhatch
