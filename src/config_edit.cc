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

json::string_view View(std::string_view text) {
  return {text.data(), text.size()};
}

std::optional<json::value> ParseValue(const std::string& text,
                                      const std::string& place,
                                      Findings* findings) {
  Findings inner;
  std::optional<json::value> value = ParseJson(text, &inner);
  for (Finding& it : inner.list) {
    findings->Add(place, std::move(it.message));
  }
  return value;
}

struct FieldPath {
  std::string section;
  std::string id;
  std::string field;  // Empty: the whole entity.
};

// Ids and field names need no escaping, so an escaped path is not a valid one.
std::optional<FieldPath> ParsePath(std::string_view path) {
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
std::optional<std::string> EntityValue(const std::map<Id, Entity>& entities,
                                       const FieldPath& path) {
  const auto it = entities.find(Id(path.id));
  if (it == entities.end()) {
    return std::nullopt;
  }
  const json::object object = EntityToJson(it->second);
  if (path.field.empty()) {
    return json::serialize(object);
  }
  const json::value* field = object.if_contains(View(path.field));
  if (field == nullptr) {
    return std::nullopt;
  }
  return json::serialize(*field);
}

template <class Id>
std::optional<std::string> MemberValue(const std::set<Id>& members,
                                       const FieldPath& path) {
  if (!path.field.empty() || !members.contains(Id(path.id))) {
    return std::nullopt;
  }
  return "true";
}

template <class Id, class Entity>
void ReplaceEntity(const FieldEdit& edit,
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
    findings->Add(std::move(it.place), std::move(it.message));
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
  if (!whole.get_object().contains(View(path.field))) {
    findings->Add(edit.path, "unknown field");
    return;
  }
  if (!edit.after) {
    findings->Add(edit.path, "a single field cannot be removed");
    return;
  }
  std::optional<json::value> value =
      ParseValue(*edit.after, edit.path, findings);
  if (!value) {
    return;
  }
  whole.get_object()[View(path.field)] = std::move(*value);
  FieldEdit entity_edit = edit;
  entity_edit.path = fmt::format("/{}/{}", path.section, path.id);
  ReplaceEntity(entity_edit, whole, id, entities, findings);
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
  if (auto value = ParseValue(*edit.after, edit.path, findings)) {
    ReplaceEntity(edit, *value, Id(path.id), entities, findings);
  }
}

template <class Id>
void EditMember(const FieldEdit& edit,
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
  const std::optional<FieldPath> path = ParsePath(edit.path);
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
    EditMember(edit, *path, &config->withdrawn_data_centres, findings);
  } else if (path->section == "withdrawn_targets") {
    EditMember(edit, *path, &config->withdrawn_targets, findings);
  } else {
    findings->Add(edit.path, "unknown section");
  }
}

// The log holds the new values only: whoever applies a record has the old ones.
std::string EditsToText(const std::vector<FieldEdit>& edits) {
  json::array list;
  for (const FieldEdit& it : edits) {
    json::object object;
    object["path"] = View(it.path);
    Findings ignored;
    if (it.after) {
      object["value"] = ParseJson(*it.after, &ignored).value_or(nullptr);
    }
    list.emplace_back(std::move(object));
  }
  return json::serialize(list);
}

std::optional<std::vector<FieldEdit>> EditsFromJson(const json::value& value,
                                                    const std::string& place,
                                                    Findings* findings) {
  if (!value.is_array()) {
    findings->Add(place, "expected an array of edits");
    return std::nullopt;
  }
  const size_t findings_before = findings->list.size();
  std::vector<FieldEdit> edits;
  for (const json::value& it : value.get_array()) {
    ObjectReader reader(it, ChildPlace(place, edits.size()), findings);
    FieldEdit edit;
    reader.Require({"path"});
    reader.Text("path", kMaxObjectSize.value(), &edit.path);
    if (const json::value* after = reader.Find("value")) {
      edit.after = json::serialize(*after);
    }
    reader.Finish();
    edits.push_back(std::move(edit));
  }
  if (findings->list.size() != findings_before) {
    return std::nullopt;
  }
  return edits;
}

void TrimLog(std::vector<ChangeRecord>* log) {
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

// Every process that applies the same change to the same document must get the
// same log, so that texts and hashes agree.
void AppendRecord(ChangeId id, std::string edits, FleetConfig* config) {
  const ConfigVersion base = config->version;
  if (!config->log.empty()) {
    config->log.back().version = base;
  }
  config->log.push_back({std::move(id), base, std::move(edits), base});
  TrimLog(&config->log);
}

std::string DocumentHash(const FleetConfig& config) {
  return fmt::format("{:016x}", StableHash(SerializeFleetConfig(config)));
}

std::vector<FieldConflict> ConflictsOf(const Change& change,
                                       const FleetConfig& head) {
  std::vector<FieldConflict> conflicts;
  for (const FieldEdit& it : change.edits) {
    std::optional<std::string> now = FieldValue(head, it.path);
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

std::optional<std::string> FieldValue(const FleetConfig& config,
                                      std::string_view path) {
  const std::optional<FieldPath> parsed = ParsePath(path);
  if (!parsed) {
    return std::nullopt;
  }
  if (parsed->section == "models") {
    return EntityValue(config.models, *parsed);
  }
  if (parsed->section == "services") {
    return EntityValue(config.services, *parsed);
  }
  if (parsed->section == "accounts") {
    return EntityValue(config.accounts, *parsed);
  }
  if (parsed->section == "templates") {
    return EntityValue(config.templates, *parsed);
  }
  if (parsed->section == "withdrawn_data_centres") {
    return MemberValue(config.withdrawn_data_centres, *parsed);
  }
  if (parsed->section == "withdrawn_targets") {
    return MemberValue(config.withdrawn_targets, *parsed);
  }
  return std::nullopt;
}

FieldEdit MakeEdit(const FleetConfig& config,
                   std::string path,
                   std::optional<std::string> after) {
  FieldEdit edit;
  edit.before = FieldValue(config, path);
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

RebaseResult Rebase(const Change& change,
                    const FleetConfig& head,
                    ConflictMode mode) {
  RebaseResult result;
  if (mode == ConflictMode::kReject && change.base != head.version) {
    result.status = RebaseStatus::kConflict;
    return result;
  }
  result.conflicts = ConflictsOf(change, head);
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
        return FieldValue(result.config, it.path) == it.before;
      });
  if (changes_nothing) {
    result.status = RebaseStatus::kNoChange;
    return result;
  }
  AppendRecord(change.id, EditsToText(change.edits), &result.config);
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

std::optional<std::string> ChangesSince(const FleetConfig& config,
                                        ConfigVersion have) {
  const auto first =
      std::find_if(config.log.begin(), config.log.end(),
                   [&](const ChangeRecord& it) { return it.base == have; });
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
    change["id"] = View(it->id.value());
    change["base"] = it->base.value();
    change["edits"] = std::move(*edits);
    changes.emplace_back(std::move(change));
  }
  json::object message;
  message["changes"] = std::move(changes);
  message["hash"] = DocumentHash(config);
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
  reader.Text("hash", kMaxIdLength, &hash);
  const json::value* changes = reader.Find("changes");
  reader.Finish();
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
    ObjectReader change(it, ChildPlace("/changes", index++), findings);
    change.Require({"id", "base", "edits"});
    ChangeId id;
    int64_t base = 0;
    change.Id("id", &id);
    change.Integer("base", kVersionBounds, &base);
    const json::value* edits = change.Find("edits");
    change.Finish();
    if (!findings->empty()) {
      return std::nullopt;
    }
    const ConfigVersion base_version(static_cast<uint64_t>(base));
    if (!started && base_version != config.version) {
      continue;  // Known already.
    }
    started = true;
    auto list = EditsFromJson(*edits, change.PlaceOf("edits"), findings);
    if (!list) {
      return std::nullopt;
    }
    result.version = base_version;
    ApplyEdits(*list, &result, findings);
    AppendRecord(std::move(id), json::serialize(*edits), &result);
  }
  if (!started) {
    findings->Add("", "the changes do not start from the version at hand");
    return std::nullopt;
  }
  result.version = version;
  result.log.back().version = version;
  // Differs when the document was replaced by other means than logged changes.
  if (findings->empty() && DocumentHash(result) != hash) {
    findings->Add("/hash", "the result differs from the sender's document");
  }
  if (!findings->empty()) {
    return std::nullopt;
  }
  return result;
}

}  // namespace burdockhatch
