#include "src/lenient_json.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace burdockhatch {

namespace json = boost::json;

namespace {

// Containers nested deeper than this are not split: an unreadable part of one
// makes all of it unreadable. Bounds the recursion and the repeated scans.
constexpr size_t kMaxSplitDepth = 10;
constexpr std::string_view kWhitespace = " \t\r\n";
// Key of placeholders and of members whose own key is unreadable.
constexpr json::string_view kUnreadableKey = "\x01unreadable";

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(kWhitespace);
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(kWhitespace) - first + 1);
}

std::optional<json::value> ParseStrict(std::string_view text, size_t depth) {
  json::parse_options options;
  options.max_depth = kMaxJsonDepth - depth;
  boost::system::error_code ec;
  json::value value = json::parse(json::string_view(text.data(), text.size()),
                                  ec, json::storage_ptr(), options);
  return ec ? std::nullopt : std::optional(std::move(value));
}

// Returns the index after the string that starts at `begin`, or npos if the
// string does not end.
size_t SkipString(std::string_view text, size_t begin) {
  for (size_t i = begin + 1; i < text.size(); ++i) {
    if (text[i] == '\\') {
      ++i;
    } else if (text[i] == '"') {
      return i + 1;
    }
  }
  return std::string_view::npos;
}

bool IsContainer(std::string_view text) {
  return text.size() >= 2 && ((text.front() == '[' && text.back() == ']') ||
                              (text.front() == '{' && text.back() == '}'));
}

// Returns the texts between the commas of a container. Returns nullopt if
// `text` is not one container.
std::optional<std::vector<std::string_view>> SplitContainer(
    std::string_view text) {
  if (!IsContainer(text)) {
    return std::nullopt;
  }
  std::vector<std::string_view> parts;
  size_t depth = 0;
  size_t begin = 1;
  for (size_t i = 0; i < text.size();) {
    const char c = text[i];
    if (c == '"') {
      i = SkipString(text, i);
      if (i == std::string_view::npos) {
        return std::nullopt;
      }
      continue;
    }
    if (c == '[' || c == '{') {
      ++depth;
    } else if (c == ']' || c == '}') {
      --depth;
    } else if (c == ',' && depth == 1) {
      parts.push_back(Trim(text.substr(begin, i - begin)));
      begin = i + 1;
    }
    ++i;
    if (depth == 0 && i < text.size()) {
      return std::nullopt;
    }
  }
  if (depth != 0) {
    return std::nullopt;
  }
  const std::string_view last =
      Trim(text.substr(begin, text.size() - 1 - begin));
  if (!last.empty() || !parts.empty()) {
    parts.push_back(last);
  }
  return parts;
}

// Parses one value, and its parts one by one if it is unreadable as a whole.
class LenientParser {
 public:
  json::value Parse(std::string_view text, size_t depth) {
    if (auto value = ParseStrict(text, depth)) {
      return std::move(*value);
    }
    const auto parts =
        depth < kMaxSplitDepth ? SplitContainer(text) : std::nullopt;
    if (!parts) {
      ++unreadable_parts_;
      return json::object{{kUnreadableKey, nullptr}};
    }
    return text.front() == '[' ? ParseArray(*parts, depth)
                               : ParseObject(*parts, depth);
  }

  size_t unreadable_parts() const { return unreadable_parts_; }

 private:
  json::value ParseArray(const std::vector<std::string_view>& parts,
                         size_t depth) {
    json::array array;
    array.reserve(parts.size());
    for (const std::string_view it : parts) {
      array.push_back(Parse(it, depth + 1));
    }
    return array;
  }

  json::value ParseObject(const std::vector<std::string_view>& parts,
                          size_t depth) {
    json::object object;
    object.reserve(parts.size());
    for (const std::string_view it : parts) {
      ParseMember(it, depth, &object);
    }
    return object;
  }

  // Of members with the same key the last one holds, as in json::parse().
  void ParseMember(std::string_view text, size_t depth, json::object* object) {
    const size_t key_end =
        text.starts_with('"') ? SkipString(text, 0) : std::string_view::npos;
    const std::string_view rest =
        key_end == std::string_view::npos ? "" : Trim(text.substr(key_end));
    const auto key = rest.starts_with(':')
                         ? ParseStrict(text.substr(0, key_end), depth)
                         : std::nullopt;
    if (!key) {
      ++unreadable_parts_;
      object->insert_or_assign(kUnreadableKey, nullptr);
      return;
    }
    const json::value* former = object->if_contains(key->get_string());
    if (former != nullptr && HasUnreadablePart(*former)) {
      object->insert_or_assign(kUnreadableKey, nullptr);
    }
    object->insert_or_assign(key->get_string(),
                             Parse(Trim(rest.substr(1)), depth + 1));
  }

  size_t unreadable_parts_ = 0;
};

}  // namespace

std::optional<LenientJson> ParseLenientJson(std::string_view text) {
  const std::string_view trimmed = Trim(text);
  if (auto value = ParseStrict(trimmed, 0)) {
    return LenientJson{std::move(*value), 0};
  }
  if (!SplitContainer(trimmed)) {
    return std::nullopt;
  }
  LenientParser parser;
  LenientJson result;
  result.value = parser.Parse(trimmed, 0);
  result.unreadable_parts = parser.unreadable_parts();
  return result;
}

bool HasUnreadableKey(const json::object& object) {
  return object.contains(kUnreadableKey);
}

bool HasUnreadablePart(const json::value& value) {
  if (const json::array* array = value.if_array()) {
    return std::any_of(array->begin(), array->end(), HasUnreadablePart);
  }
  const json::object* object = value.if_object();
  return object != nullptr &&
         (HasUnreadableKey(*object) ||
          std::any_of(object->begin(), object->end(), [](const auto& it) {
            return HasUnreadablePart(it.value());
          }));
}

}  // namespace burdockhatch
