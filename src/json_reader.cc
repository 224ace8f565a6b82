#include "src/json_reader.h"

#include <algorithm>

#include <fmt/format.h>
#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>

namespace burdockhatch {

namespace json = boost::json;

namespace {

std::string_view TypeName(const json::value& value) {
  switch (value.kind()) {
    case json::kind::null:
      return "null";
    case json::kind::bool_:
      return "a boolean";
    case json::kind::int64:
    case json::kind::uint64:
      return "an integer";
    case json::kind::double_:
      return "a fraction";
    case json::kind::string:
      return "a string";
    case json::kind::array:
      return "an array";
    case json::kind::object:
      return "an object";
  }
  return "unknown";
}

void AddTypeFinding(const json::value& value,
                    const std::string& path,
                    std::string_view expected,
                    Findings* findings) {
  findings->Add(
      path, fmt::format("expected {}, found {}", expected, TypeName(value)));
}

}  // namespace

std::optional<json::value> ParseJson(std::string_view text,
                                     Findings* findings) {
  json::stream_parser parser;
  json::error_code ec;
  const size_t used = parser.write_some(text.data(), text.size(), ec);
  if (!ec && used < text.size()) {
    findings->Add(
        "", fmt::format("extra text after the JSON value at byte {}", used));
    return std::nullopt;
  }
  if (!ec) {
    parser.finish(ec);
  }
  if (ec) {
    findings->Add(
        "", fmt::format("not valid JSON near byte {}: {}", used, ec.message()));
    return std::nullopt;
  }
  return parser.release();
}

std::string ChildPath(std::string_view path, std::string_view key) {
  std::string child(path);
  child += '/';
  for (const char it : key) {
    if (it == '~') {
      child += "~0";
    } else if (it == '/') {
      child += "~1";
    } else {
      child += it;
    }
  }
  return child;
}

std::string ChildPath(std::string_view path, size_t index) {
  return fmt::format("{}/{}", path, index);
}

bool IsValidId(std::string_view text) {
  const auto allowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9') || c == '.' || c == '_' || c == ':' ||
           c == '@' || c == '-';
  };
  return !text.empty() && text.size() <= kMaxIdLength &&
         std::all_of(text.begin(), text.end(), allowed);
}

std::optional<int64_t> ParseInteger(const json::value& value,
                                    const std::string& path,
                                    Bounds bounds,
                                    Findings* findings) {
  if (!value.is_int64() && !value.is_uint64()) {
    AddTypeFinding(value, path, "an integer", findings);
    return std::nullopt;
  }
  const bool fits = value.is_int64() && value.get_int64() >= bounds.min &&
                    value.get_int64() <= bounds.max;
  if (!fits) {
    findings->Add(
        path, fmt::format("must be between {} and {}", bounds.min, bounds.max));
    return std::nullopt;
  }
  return value.get_int64();
}

std::optional<std::string> ParseString(const json::value& value,
                                       const std::string& path,
                                       size_t max_length,
                                       Findings* findings) {
  if (!value.is_string()) {
    AddTypeFinding(value, path, "a string", findings);
    return std::nullopt;
  }
  const json::string& text = value.get_string();
  if (text.size() > max_length) {
    findings->Add(path, fmt::format("is longer than {} bytes", max_length));
    return std::nullopt;
  }
  return std::string(text.data(), text.size());
}

std::optional<bool> ParseBool(const json::value& value,
                              const std::string& path,
                              Findings* findings) {
  if (!value.is_bool()) {
    AddTypeFinding(value, path, "a boolean", findings);
    return std::nullopt;
  }
  return value.get_bool();
}

std::optional<std::string> ParseId(const json::value& value,
                                   const std::string& path,
                                   Findings* findings) {
  if (!value.is_string()) {
    AddTypeFinding(value, path, "a string", findings);
    return std::nullopt;
  }
  std::string text(value.get_string().data(), value.get_string().size());
  if (!IsValidId(text)) {
    findings->Add(path,
                  fmt::format("must be 1 to {} letters, digits or . _ : @ -",
                              kMaxIdLength));
    return std::nullopt;
  }
  return text;
}

ObjectReader::ObjectReader(const json::value& value,
                           std::string path,
                           Findings* findings)
    : object_(value.if_object()), path_(std::move(path)), findings_(findings) {
  if (object_ == nullptr) {
    AddTypeFinding(value, path_, "an object", findings_);
  }
}

std::string ObjectReader::PathOf(std::string_view key) const {
  return ChildPath(path_, key);
}

const json::value* ObjectReader::Find(std::string_view key) {
  if (object_ == nullptr) {
    return nullptr;
  }
  const auto it = object_->find(json::string_view(key.data(), key.size()));
  if (it == object_->end()) {
    return nullptr;
  }
  // known_keys_ holds views, so it refers to the key in the object, which
  // outlives `key`.
  known_keys_.insert(std::string_view(it->key().data(), it->key().size()));
  return &it->value();
}

void ObjectReader::Require(std::initializer_list<std::string_view> keys) {
  if (object_ == nullptr) {
    return;
  }
  for (const std::string_view key : keys) {
    if (Find(key) == nullptr) {
      findings_->Add(PathOf(key), "is required");
    }
  }
}

void ObjectReader::ReadInteger(std::string_view key,
                               Bounds bounds,
                               int64_t* field) {
  if (const json::value* it = Find(key)) {
    if (auto number = ParseInteger(*it, PathOf(key), bounds, findings_)) {
      *field = *number;
    }
  }
}

void ObjectReader::ReadNumber(std::string_view key,
                              double min,
                              double max,
                              double* field) {
  const json::value* it = Find(key);
  if (it == nullptr) {
    return;
  }
  if (!it->is_number()) {
    AddTypeFinding(*it, PathOf(key), "a number", findings_);
    return;
  }
  const double number = it->to_number<double>();
  if (!(number >= min && number <= max)) {
    findings_->Add(PathOf(key),
                   fmt::format("must be between {} and {}", min, max));
    return;
  }
  *field = number;
}

void ObjectReader::ReadString(std::string_view key,
                              size_t max_length,
                              std::string* field) {
  if (const json::value* it = Find(key)) {
    if (auto text = ParseString(*it, PathOf(key), max_length, findings_)) {
      *field = std::move(*text);
    }
  }
}

void ObjectReader::ReadBool(std::string_view key, bool* field) {
  if (const json::value* it = Find(key)) {
    if (auto flag = ParseBool(*it, PathOf(key), findings_)) {
      *field = *flag;
    }
  }
}

void ObjectReader::ReportUnknownKeys() {
  if (object_ == nullptr) {
    return;
  }
  for (const auto& it : *object_) {
    const std::string_view key(it.key().data(), it.key().size());
    if (!known_keys_.contains(key)) {
      findings_->Add(PathOf(key), "unknown key");
    }
  }
}

std::optional<std::vector<std::string>> ObjectReader::ReadIdList(
    std::string_view key) {
  const json::value* list = Find(key);
  if (list == nullptr) {
    return std::nullopt;
  }
  if (!list->is_array()) {
    AddTypeFinding(*list, PathOf(key), "an array", findings_);
    return std::nullopt;
  }
  std::vector<std::string> texts;
  std::set<std::string> seen;
  for (const json::value& it : list->get_array()) {
    const std::string path = ChildPath(PathOf(key), texts.size());
    std::string text = ParseId(it, path, findings_).value_or("");
    if (!text.empty() && !seen.insert(text).second) {
      findings_->Add(path, "occurs twice");
    }
    texts.push_back(std::move(text));
  }
  return texts;
}

std::optional<size_t> ObjectReader::FindNameIndex(
    std::string_view key,
    const std::vector<std::string_view>& names) {
  const json::value* it = Find(key);
  if (it == nullptr) {
    return std::nullopt;
  }
  if (it->is_string()) {
    const std::string_view text(it->get_string().data(),
                                it->get_string().size());
    const auto found = std::find(names.begin(), names.end(), text);
    if (found != names.end()) {
      return static_cast<size_t>(found - names.begin());
    }
  }
  findings_->Add(PathOf(key),
                 fmt::format("must be one of: {}", fmt::join(names, ", ")));
  return std::nullopt;
}

}  // namespace burdockhatch
