#include "src/config_edit.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "src/fleet_config_json.h"
#include "src/json_reader.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace json = boost::json;

namespace {

constexpr Bounds kVersionBounds{0, INT64_MAX};

json::string_view ToJsonView(std::string_view text) {
  return {text.data(), text.size()};
}

std::optional<json::value> ParseEditValue(const std::string& text,
                                          const std::string& path,
                                          Findings* findings) {
  Findings inner;
  std::optional<json::value> value = ParseJson(text, &inner);
  for (Finding& it : inner.list) {
    findings->Add(path, std::move(it.message));
  }
  return value;
}

struct FieldPath {
  std::string section;
  std::string id;
  std::string field;  // Empty when the path names the whole entity.
};

// Ids and field names need no escaping, so the path is not unescaped: an escape
// sequence makes it invalid.
std::optional<FieldPath> ParseFieldPath(std::string_view path) {
  std::vector<std::string> parts;
  while (!path.empty()) {
    if (path.front() != '/') {
      return std::nullopt;
    }
    path.remove_prefix(1);
    const size_t end = std::min(path.find('/'), path.size());
    parts.emplace_back(path.substr(0, end));
    path.remove_prefix(end);
  }
  if (parts.size() < 2 || parts.size() > 3 || !IsValidId(parts[1])) {
    return std::nullopt;
  }
  if (parts.size() == 3 && parts[2].empty()) {
    return std::nullopt;
  }
  return FieldPath{parts[0], parts[1], parts.size() == 3 ? parts[2] : ""};
}

template <class Id, class Entity>
std::optional<std::string> GetEntityValue(const std::map<Id, Entity>& entities,
                                          const FieldPath& path) {
  const auto it = entities.find(Id(path.id));
  if (it == entities.end()) {
    return std::nullopt;
  }
  const json::object object = EntityToJson(it->second);
  if (path.field.empty()) {
    return json::serialize(object);
  }
  const json::value* field = object.if_contains(ToJsonView(path.field));
  if (field == nullptr) {
    return std::nullopt;
  }
  return json::serialize(*field);
}

template <class Id>
std::optional<std::string> GetSetMemberValue(const std::set<Id>& members,
                                             const FieldPath& path) {
  if (!path.field.empty() || !members.contains(Id(path.id))) {
    return std::nullopt;
  }
  return "true";
}

template <class Id, class Entity>
void SetEntity(const FieldEdit& edit,
               const json::value& value,
               const Id& id,
               std::map<Id, Entity>* entities,
               Findings* findings) {
  Findings inner;
  Entity entity;
  ReadEntity(value, edit.path, &entity, &inner);
  if (inner.empty()) {
    (*entities)[id] = std::move(entity);
    return;
  }
  for (Finding& it : inner.list) {
    findings->Add(std::move(it.path), std::move(it.message));
  }
}

template <class Id, class Entity>
void EditField(const FieldEdit& edit,
               const FieldPath& path,
               std::map<Id, Entity>* entities,
               Findings* findings) {
  const Id id(path.id);
  const auto it = entities->find(id);
  if (it == entities->end()) {
    findings->Add(edit.path,
                  fmt::format("there is no '{}' in {}", path.id, path.section));
    return;
  }
  json::value whole = EntityToJson(it->second);
  if (!whole.get_object().contains(ToJsonView(path.field))) {
    findings->Add(edit.path, "unknown field");
    return;
  }
  if (!edit.after) {
    findings->Add(edit.path, "a single field cannot be removed");
    return;
  }
  std::optional<json::value> value =
      ParseEditValue(*edit.after, edit.path, findings);
  if (!value) {
    return;
  }
  whole.get_object()[ToJsonView(path.field)] = std::move(*value);
  FieldEdit entity_edit = edit;
  entity_edit.path = fmt::format("/{}/{}", path.section, path.id);
  SetEntity(entity_edit, whole, id, entities, findings);
}

template <class Id, class Entity>
void EditEntity(const FieldEdit& edit,
                const FieldPath& path,
                std::map<Id, Entity>* entities,
                Findings* findings) {
  if (!path.field.empty()) {
    EditField(edit, path, entities, findings);
    return;
  }
  if (!edit.after) {
    entities->erase(Id(path.id));
    return;
  }
  if (auto value = ParseEditValue(*edit.after, edit.path, findings)) {
    SetEntity(edit, *value, Id(path.id), entities, findings);
  }
}

template <class Id>
void EditSetMember(const FieldEdit& edit,
                   const FieldPath& path,
                   std::set<Id>* members,
                   Findings* findings) {
  if (!path.field.empty() || (edit.after && *edit.after != "true")) {
    findings->Add(edit.path, "may only be set to true or removed");
    return;
  }
  if (edit.after) {
    members->insert(Id(path.id));
  } else {
    members->erase(Id(path.id));
  }
}

void ApplyEdit(const FieldEdit& edit, FleetConfig* config, Findings* findings) {
  const std::optional<FieldPath> path = ParseFieldPath(edit.path);
  if (!path) {
    findings->Add(edit.path, "is not a path of a field");
  } else if (path->section == "models") {
    EditEntity(edit, *path, &config->models, findings);
  } else if (path->section == "services") {
    EditEntity(edit, *path, &config->services, findings);
  } else if (path->section == "accounts") {
    EditEntity(edit, *path, &config->accounts, findings);
  } else if (path->section == "templates") {
    EditEntity(edit, *path, &config->templates, findings);
  } else if (path->section == "withdrawn_data_centres") {
    EditSetMember(edit, *path, &config->withdrawn_data_centres, findings);
  } else if (path->section == "withdrawn_targets") {
    EditSetMember(edit, *path, &config->withdrawn_targets, findings);
  } else {
    findings->Add(edit.path, "unknown section");
  }
}

// The log holds only the new values, because a process that applies a record
// has the old ones.
std::string SerializeEdits(const std::vector<FieldEdit>& edits) {
  json::array list;
  for (const FieldEdit& it : edits) {
    json::object object;
    object["path"] = ToJsonView(it.path);
    Findings ignored;
    if (it.after) {
      object["value"] = ParseJson(*it.after, &ignored).value_or(nullptr);
    }
    list.emplace_back(std::move(object));
  }
  return json::serialize(list);
}

std::optional<std::vector<FieldEdit>> ParseEdits(const json::value& value,
                                                 const std::string& path,
                                                 Findings* findings) {
  if (!value.is_array()) {
    findings->Add(path, "expected an array of edits");
    return std::nullopt;
  }
  const size_t findings_before = findings->list.size();
  std::vector<FieldEdit> edits;
  for (const json::value& it : value.get_array()) {
    ObjectReader reader(it, ChildPath(path, edits.size()), findings);
    FieldEdit edit;
    reader.Require({"path"});
    reader.ReadString("path", kMaxObjectSize.value(), &edit.path);
    if (const json::value* after = reader.Find("value")) {
      edit.after = json::serialize(*after);
    }
    reader.ReportUnknownKeys();
    edits.push_back(std::move(edit));
  }
  if (findings->list.size() != findings_before) {
    return std::nullopt;
  }
  return edits;
}

void TrimChangeLog(std::vector<ChangeRecord>* log) {
  if (log->size() > kMaxChangeLogRecords) {
    const auto surplus =
        static_cast<std::ptrdiff_t>(log->size() - kMaxChangeLogRecords);
    log->erase(log->begin(), log->begin() + surplus);
  }
  size_t bytes = 0;
  for (auto it = log->rbegin(); it != log->rend(); ++it) {
    bytes += it->edits.size();
    if (bytes > kMaxLoggedEditBytes) {
      it->edits.clear();
    }
  }
}

// Appends to the log deterministically: each process that applies the same
// change to the same document gets the same log, so that texts and hashes
// agree.
void AppendChangeRecord(ChangeId id, std::string edits, FleetConfig* config) {
  const ConfigVersion base = config->version;
  if (!config->log.empty()) {
    config->log.back().version = base;
  }
  config->log.push_back({std::move(id), base, std::move(edits), base});
  TrimChangeLog(&config->log);
}

std::string HashDocument(const FleetConfig& config) {
  return fmt::format("{:016x}", StableHash(SerializeFleetConfig(config)));
}

std::vector<FieldConflict> FindConflicts(const ConfigChange& change,
                                         const FleetConfig& head) {
  std::vector<FieldConflict> conflicts;
  for (const FieldEdit& it : change.edits) {
    std::optional<std::string> now = GetFieldValue(head, it.path);
    if (now != it.before) {
      conflicts.push_back({it.path, it.before, std::move(now)});
    }
  }
  return conflicts;
}

}  // namespace

const ObjectName& FleetConfigObjectName() {
  static const ObjectName name{"config", "fleet"};
  return name;
}

std::optional<std::string> GetFieldValue(const FleetConfig& config,
                                         std::string_view path) {
  const std::optional<FieldPath> parsed = ParseFieldPath(path);
  if (!parsed) {
    return std::nullopt;
  }
  if (parsed->section == "models") {
    return GetEntityValue(config.models, *parsed);
  }
  if (parsed->section == "services") {
    return GetEntityValue(config.services, *parsed);
  }
  if (parsed->section == "accounts") {
    return GetEntityValue(config.accounts, *parsed);
  }
  if (parsed->section == "templates") {
    return GetEntityValue(config.templates, *parsed);
  }
  if (parsed->section == "withdrawn_data_centres") {
    return GetSetMemberValue(config.withdrawn_data_centres, *parsed);
  }
  if (parsed->section == "withdrawn_targets") {
    return GetSetMemberValue(config.withdrawn_targets, *parsed);
  }
  return std::nullopt;
}

FieldEdit MakeEdit(const FleetConfig& config,
                   std::string path,
                   std::optional<std::string> after) {
  FieldEdit edit;
  edit.before = GetFieldValue(config, path);
  edit.after = std::move(after);
  edit.path = std::move(path);
  return edit;
}

void ApplyEdits(const std::vector<FieldEdit>& edits,
                FleetConfig* config,
                Findings* findings) {
  for (const FieldEdit& it : edits) {
    ApplyEdit(it, config, findings);
  }
}

RebaseResult Rebase(const ConfigChange& change,
                    const FleetConfig& head,
                    ConflictMode mode) {
  RebaseResult result;
  if (mode == ConflictMode::kReject && change.base != head.version) {
    result.status = RebaseStatus::kConflict;
    return result;
  }
  result.conflicts = FindConflicts(change, head);
  if (!result.conflicts.empty()) {
    result.status = RebaseStatus::kConflict;
    return result;
  }
  result.config = head;
  ApplyEdits(change.edits, &result.config, &result.findings);
  if (result.findings.empty()) {
    ValidateFleetConfig(result.config, &result.findings);
  }
  if (!result.findings.empty()) {
    result.status = RebaseStatus::kInvalid;
    return result;
  }
  const bool changes_nothing = std::all_of(
      change.edits.begin(), change.edits.end(), [&](const FieldEdit& it) {
        return GetFieldValue(result.config, it.path) == it.before;
      });
  if (changes_nothing) {
    result.status = RebaseStatus::kNoChange;
    return result;
  }
  AppendChangeRecord(change.id, SerializeEdits(change.edits), &result.config);
  return result;
}

ChangeOutcome FindChangeOutcome(const FleetConfig& config,
                                const ChangeId& id,
                                ConfigVersion expected) {
  for (const ChangeRecord& it : config.log) {
    if (it.id == id) {
      return ChangeOutcome::kApplied;
    }
  }
  if (config.version <= expected) {
    return ChangeOutcome::kUndecided;
  }
  const bool log_reaches_back = config.log.size() < kMaxChangeLogRecords ||
                                config.log.front().base <= expected;
  return log_reaches_back ? ChangeOutcome::kNotApplied
                          : ChangeOutcome::kIndeterminate;
}

std::optional<std::string> SerializeChangesSince(const FleetConfig& config,
                                                 ConfigVersion base) {
  const auto first =
      std::find_if(config.log.begin(), config.log.end(),
                   [&](const ChangeRecord& it) { return it.base == base; });
  if (first == config.log.end()) {
    return std::nullopt;
  }
  json::array changes;
  for (auto it = first; it != config.log.end(); ++it) {
    Findings ignored;
    std::optional<json::value> edits = ParseJson(it->edits, &ignored);
    if (!edits) {
      return std::nullopt;
    }
    json::object change;
    change["id"] = ToJsonView(it->id.value());
    change["base"] = it->base.value();
    change["edits"] = std::move(*edits);
    changes.emplace_back(std::move(change));
  }
  json::object message;
  message["changes"] = std::move(changes);
  message["hash"] = HashDocument(config);
  return json::serialize(message);
}

std::optional<FleetConfig> ApplyChanges(const FleetConfig& config,
                                        std::string_view text,
                                        ConfigVersion version,
                                        Findings* findings) {
  const std::optional<json::value> message = ParseJson(text, findings);
  if (!message) {
    return std::nullopt;
  }
  ObjectReader reader(*message, "", findings);
  reader.Require({"changes", "hash"});
  std::string hash;
  reader.ReadString("hash", kMaxIdLength, &hash);
  const json::value* changes = reader.Find("changes");
  reader.ReportUnknownKeys();
  if (changes != nullptr && !changes->is_array()) {
    findings->Add("/changes", "expected an array of changes");
  }
  if (!findings->empty()) {
    return std::nullopt;
  }
  FleetConfig result = config;
  bool started = false;
  size_t index = 0;
  for (const json::value& it : changes->get_array()) {
    ObjectReader change(it, ChildPath("/changes", index++), findings);
    change.Require({"id", "base", "edits"});
    ChangeId id;
    int64_t base = 0;
    change.ReadId("id", &id);
    change.ReadInteger("base", kVersionBounds, &base);
    const json::value* edits = change.Find("edits");
    change.ReportUnknownKeys();
    if (!findings->empty()) {
      return std::nullopt;
    }
    const ConfigVersion base_version(static_cast<uint64_t>(base));
    if (!started && base_version != config.version) {
      continue;  // `config` already contains this change.
    }
    started = true;
    auto list = ParseEdits(*edits, change.PathOf("edits"), findings);
    if (!list) {
      return std::nullopt;
    }
    result.version = base_version;
    ApplyEdits(*list, &result, findings);
    AppendChangeRecord(std::move(id), json::serialize(*edits), &result);
  }
  if (!started) {
    findings->Add("", "no change starts from the local version");
    return std::nullopt;
  }
  result.version = version;
  result.log.back().version = version;
  // The hash differs when the sender's document was also modified by other
  // means than logged changes.
  if (findings->empty() && HashDocument(result) != hash) {
    findings->Add("/hash", "the result differs from the sender's document");
  }
  if (!findings->empty()) {
    return std::nullopt;
  }
  return result;
}

}  // namespace burdockhatch
