#include "src/ctl_commands.h"

#include <algorithm>
#include <array>
#include <utility>

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "src/json_reader.h"

namespace burdockhatch {

namespace json = boost::json;

namespace {

struct Section {
  std::string_view noun;  // Word on the command line.
  std::string_view key;   // Key in the document.
};

constexpr std::array<Section, 4> kEntitySections = {{
    {"template", "templates"},
    {"account", "accounts"},
    {"model", "models"},
    {"service", "services"},
}};

constexpr std::array<Section, 2> kWithdrawalSections = {{
    {"data-centre", "withdrawn_data_centres"},
    {"target", "withdrawn_targets"},
}};

template <size_t N>
const Section* FindSection(const std::array<Section, N>& sections,
                           std::string_view noun) {
  const auto it =
      std::find_if(sections.begin(), sections.end(),
                   [&](const Section& s) { return s.noun == noun; });
  return it == sections.end() ? nullptr : it;
}

bool Contains(std::initializer_list<std::string_view> list,
              std::string_view text) {
  return std::find(list.begin(), list.end(), text) != list.end();
}

std::string QuoteJson(std::string_view text) {
  return json::serialize(
      json::value(json::string_view(text.data(), text.size())));
}

// Converts a value as given on the command line to JSON text. Returns nullopt
// when the field takes a number or boolean and `input` is neither.
std::optional<std::string> ParseFieldValue(std::string_view field,
                                           std::string_view input) {
  if (Contains({"account", "model", "prompt_prefix"}, field)) {
    return QuoteJson(input);
  }
  if (Contains({"data_centres", "repeatable_methods"}, field)) {
    std::string list;
    while (!input.empty()) {
      const size_t end = std::min(input.find(','), input.size());
      list += (list.empty() ? "" : ",") + QuoteJson(input.substr(0, end));
      input.remove_prefix(std::min(end + 1, input.size()));
    }
    return "[" + list + "]";
  }
  Findings findings;
  const std::optional<json::value> value = ParseJson(input, &findings);
  if (!value || !(value->is_number() || value->is_bool())) {
    return std::nullopt;
  }
  return json::serialize(*value);
}

struct Assignment {
  std::string field;
  std::string value;
};

std::vector<Assignment> ParseAssignments(const std::vector<std::string>& words,
                                         Findings* findings) {
  std::vector<Assignment> assignments;
  for (size_t i = 3; i < words.size(); ++i) {
    const size_t equals = words[i].find('=');
    if (equals == std::string::npos || equals == 0) {
      findings->Add(words[i], "expected field=value");
      continue;
    }
    const std::string field = words[i].substr(0, equals);
    const auto value =
        ParseFieldValue(field, std::string_view(words[i]).substr(equals + 1));
    if (!value) {
      findings->Add(words[i], "expected a number, true or false");
      continue;
    }
    assignments.push_back({field, *value});
  }
  return assignments;
}

std::vector<FieldEdit> MakeEntityEdits(const Section& section,
                                       const std::vector<std::string>& words,
                                       const FleetConfig& head,
                                       Findings* findings) {
  const std::string path = fmt::format("/{}/{}", section.key, words[2]);
  const bool exists = GetFieldValue(head, path).has_value();
  if (words[1] == "remove") {
    if (!exists) {
      findings->Add(words[2], fmt::format("there is no such {}", section.noun));
      return {};
    }
    return {MakeEdit(head, path, std::nullopt)};
  }
  const std::vector<Assignment> assignments = ParseAssignments(words, findings);
  std::vector<FieldEdit> edits;
  std::string object;
  for (const Assignment& it : assignments) {
    if (exists) {
      edits.push_back(MakeEdit(head, path + "/" + it.field, it.value));
    }
    object += fmt::format("{}{}:{}", object.empty() ? "" : ",",
                          QuoteJson(it.field), it.value);
  }
  if (!exists) {
    edits.push_back(MakeEdit(head, path, "{" + object + "}"));
  }
  if (edits.empty() && findings->empty()) {
    findings->Add("", "no field=value is given");
  }
  return edits;
}

bool IsDeployed(const FleetConfig& head, const DataCentreId& data_centre) {
  const auto names = [&](const auto& it) {
    const auto& list = it.second.data_centres;
    return std::find(list.begin(), list.end(), data_centre) != list.end();
  };
  return std::any_of(head.models.begin(), head.models.end(), names) ||
         std::any_of(head.services.begin(), head.services.end(), names);
}

// Returns the edit that withdraws or restores a target or data centre. Rejects
// the withdrawal of a data centre that no model or service uses: a misspelt id
// would have no effect.
std::vector<FieldEdit> MakeWithdrawalEdits(
    const Section& section,
    const std::vector<std::string>& words,
    const FleetConfig& head,
    Findings* findings) {
  const bool out = words[1] == "out";
  if (out && section.noun == "data-centre" &&
      !IsDeployed(head, DataCentreId(words[2]))) {
    findings->Add(words[2], "no model or service is deployed there");
    return {};
  }
  const std::string path = fmt::format("/{}/{}", section.key, words[2]);
  return {MakeEdit(head, path,
                   out ? std::optional<std::string>("true") : std::nullopt)};
}

// Returns the entities of a section as pairs of id and JSON text.
std::vector<std::pair<std::string, std::string>> ListEntityTexts(
    std::string_view section,
    const FleetConfig& head) {
  std::vector<std::pair<std::string, std::string>> entities;
  const auto add = [&](const auto& map) {
    for (const auto& [id, entity] : map) {
      const std::string path = fmt::format("/{}/{}", section, id.value());
      entities.emplace_back(id.value(), *GetFieldValue(head, path));
    }
  };
  if (section == "templates") {
    add(head.templates);
  } else if (section == "accounts") {
    add(head.accounts);
  } else if (section == "models") {
    add(head.models);
  } else {
    add(head.services);
  }
  return entities;
}

json::value ParseJsonOrNull(const std::string& text) {
  Findings ignored;
  return ParseJson(text, &ignored).value_or(nullptr);
}

std::string FormatEntityTable(
    const std::vector<std::pair<std::string, std::string>>& entities) {
  std::vector<std::vector<std::string>> rows;
  for (const auto& [id, text] : entities) {
    const json::value entity = ParseJsonOrNull(text);
    std::vector<std::string> header = {"id"};
    std::vector<std::string> row = {id};
    for (const auto& it : entity.get_object()) {
      header.emplace_back(it.key().data(), it.key().size());
      row.push_back(json::serialize(it.value()));
    }
    if (rows.empty()) {
      rows.push_back(std::move(header));
    }
    rows.push_back(std::move(row));
  }
  return FormatTable(rows);
}

CtlOutput FormatEntityList(const Section& section,
                           const FleetConfig& head,
                           bool as_json) {
  const auto entities = ListEntityTexts(section.key, head);
  if (!as_json) {
    return {CtlExit::kOk, FormatEntityTable(entities)};
  }
  json::object out;
  for (const auto& [id, text] : entities) {
    out[id] = ParseJsonOrNull(text);
  }
  return {CtlExit::kOk, json::serialize(out) + "\n"};
}

CtlOutput FormatEntity(const Section& section,
                       const std::string& id,
                       const FleetConfig& head,
                       bool as_json) {
  const auto text = GetFieldValue(head, fmt::format("/{}/{}", section.key, id));
  if (!text) {
    return {CtlExit::kRefused,
            fmt::format("there is no {} '{}'\n", section.noun, id)};
  }
  if (as_json) {
    return {CtlExit::kOk, *text + "\n"};
  }
  std::vector<std::vector<std::string>> rows;
  const json::value entity = ParseJsonOrNull(*text);
  for (const auto& it : entity.get_object()) {
    rows.push_back({std::string(it.key()), json::serialize(it.value())});
  }
  return {CtlExit::kOk, FormatTable(rows)};
}

CtlOutput FormatDataCentreList(const FleetConfig& head, bool as_json) {
  std::set<DataCentreId> all = head.withdrawn_data_centres;
  for (const auto& [id, model] : head.models) {
    all.insert(model.data_centres.begin(), model.data_centres.end());
  }
  for (const auto& [id, service] : head.services) {
    all.insert(service.data_centres.begin(), service.data_centres.end());
  }
  json::object out;
  std::vector<std::vector<std::string>> rows = {{"data centre", "state"}};
  for (const DataCentreId& it : all) {
    const std::string state =
        head.withdrawn_data_centres.contains(it) ? "out" : "in";
    out[it.value()] = state;
    rows.push_back({it.value(), state});
  }
  return {CtlExit::kOk,
          as_json ? json::serialize(out) + "\n" : FormatTable(rows)};
}

// Lists only the withdrawn targets, because the document holds no others.
CtlOutput FormatTargetList(const FleetConfig& head, bool as_json) {
  json::object out;
  std::vector<std::vector<std::string>> rows = {{"target", "state"}};
  for (const TargetId& it : head.withdrawn_targets) {
    out[it.value()] = "out";
    rows.push_back({it.value(), "out"});
  }
  return {CtlExit::kOk,
          as_json ? json::serialize(out) + "\n" : FormatTable(rows)};
}

CtlExit ToCtlExit(PublishStatus status) {
  switch (status) {
    case PublishStatus::kAccepted:
    case PublishStatus::kNoChange:
      return CtlExit::kOk;
    case PublishStatus::kConflict:
    case PublishStatus::kInvalid:
      return CtlExit::kRefused;
    case PublishStatus::kUnavailable:
      return CtlExit::kUnreachable;
    case PublishStatus::kUnknown:
      return CtlExit::kUnknown;
  }
  return CtlExit::kUnknown;
}

std::string_view ToStatusName(PublishStatus status) {
  switch (status) {
    case PublishStatus::kAccepted:
      return "accepted";
    case PublishStatus::kNoChange:
      return "no_change";
    case PublishStatus::kConflict:
      return "conflict";
    case PublishStatus::kInvalid:
      return "refused";
    case PublishStatus::kUnavailable:
      return "unavailable";
    case PublishStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string FormatPublishText(const PublishResult& result, const ChangeId& id) {
  switch (result.status) {
    case PublishStatus::kAccepted:
      return fmt::format("accepted: change {}, version {}\n", id.value(),
                         result.version.value());
    case PublishStatus::kNoChange:
      return "no change: the configuration already says so\n";
    case PublishStatus::kConflict: {
      std::string text =
          "conflict: another operator changed the same field; nothing was "
          "changed\n";
      for (const FieldConflict& it : result.conflicts) {
        text += fmt::format("  {}: was {}, is now {}\n", it.path,
                            it.before.value_or("absent"),
                            it.now.value_or("absent"));
      }
      return text;
    }
    case PublishStatus::kInvalid:
      return "refused: nothing was changed\n" + ToString(result.findings);
    case PublishStatus::kUnavailable:
      return "not accepted: the object API did not take the change; nothing "
             "was changed\n";
    case PublishStatus::kUnknown:
      return fmt::format(
          "outcome unknown: change {} may have been applied; read the "
          "configuration once the object API answers\n",
          id.value());
  }
  return "";
}

}  // namespace

bool IsChangeCommand(const std::vector<std::string>& words) {
  if (words.size() < 3) {
    return false;
  }
  if (FindSection(kEntitySections, words[0]) != nullptr) {
    return words[1] == "set" || (words[1] == "remove" && words.size() == 3);
  }
  return FindSection(kWithdrawalSections, words[0]) != nullptr &&
         Contains({"out", "in"}, words[1]) && words.size() == 3;
}

bool IsQueryCommand(const std::vector<std::string>& words) {
  const bool entity =
      !words.empty() && FindSection(kEntitySections, words[0]) != nullptr;
  const bool withdrawal =
      !words.empty() && FindSection(kWithdrawalSections, words[0]) != nullptr;
  if (words.size() == 2) {
    return (entity || withdrawal) && words[1] == "list";
  }
  return words.size() == 3 && entity && words[1] == "get";
}

std::vector<FieldEdit> ParseChangeCommand(const std::vector<std::string>& words,
                                          const FleetConfig& head,
                                          Findings* findings) {
  if (!IsValidId(words[2])) {
    findings->Add(words[2], "is not a valid id");
    return {};
  }
  if (const Section* it = FindSection(kEntitySections, words[0])) {
    return MakeEntityEdits(*it, words, head, findings);
  }
  return MakeWithdrawalEdits(*FindSection(kWithdrawalSections, words[0]), words,
                             head, findings);
}

CtlOutput FormatQueryResult(const std::vector<std::string>& words,
                            const FleetConfig& head,
                            bool as_json) {
  if (words[0] == "data-centre") {
    return FormatDataCentreList(head, as_json);
  }
  if (words[0] == "target") {
    return FormatTargetList(head, as_json);
  }
  const Section& section = *FindSection(kEntitySections, words[0]);
  return words[1] == "list" ? FormatEntityList(section, head, as_json)
                            : FormatEntity(section, words[2], head, as_json);
}

CtlOutput FormatPublishResult(const PublishResult& result,
                              const ChangeId& id,
                              bool as_json) {
  const CtlExit exit = ToCtlExit(result.status);
  if (!as_json) {
    return {exit, FormatPublishText(result, id)};
  }
  json::object out;
  const std::string_view name = ToStatusName(result.status);
  out["status"] = json::string_view(name.data(), name.size());
  out["change"] = id.value();
  out["version"] = result.version.value();
  json::array conflicts;
  for (const FieldConflict& it : result.conflicts) {
    conflicts.push_back(
        {{"path", it.path},
         {"before", ParseJsonOrNull(it.before.value_or("null"))},
         {"now", ParseJsonOrNull(it.now.value_or("null"))}});
  }
  out["conflicts"] = std::move(conflicts);
  json::array findings;
  for (const Finding& it : result.findings.list) {
    findings.push_back({{"place", it.path}, {"message", it.message}});
  }
  out["findings"] = std::move(findings);
  return {exit, json::serialize(out) + "\n"};
}

std::string FormatTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  std::string text;
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      text += last ? row[i] : fmt::format("{:<{}}  ", row[i], widths[i]);
    }
    text += '\n';
  }
  return text;
}

}  // namespace burdockhatch
