#include "src/ctl_parts.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "src/ctl_commands.h"
#include "src/ctl_state.h"

namespace burdockhatch {

namespace json = boost::json;

namespace {

constexpr size_t kMaxKeyDigits = 16;

}  // namespace

std::optional<std::vector<ReportedSuspect>> ParseSuspects(
    const std::string& address,
    std::string_view state) {
  const std::optional<std::vector<json::object>> list =
      ReadStateList(state, "crash_blame", "suspects");
  if (!list) {
    return std::nullopt;
  }
  std::vector<ReportedSuspect> suspects;
  for (const json::object& it : *list) {
    const json::object* object = &it;
    ReportedSuspect suspect;
    suspect.address = address;
    suspect.kind =
        TextOf(*object, "is_own_mark") == "true" ? "request" : "parts";
    if (const json::value* parts = object->if_contains("parts");
        parts != nullptr && parts->is_array()) {
      for (const json::value& part : parts->get_array()) {
        suspect.parts += suspect.parts.empty() ? "" : ",";
        suspect.parts += part.is_string() ? std::string(part.get_string())
                                          : json::serialize(part);
      }
    }
    suspect.state = TextOf(*object, "state");
    suspect.crashes = CountOf(*object, "crashes");
    suspect.blocks = CountOf(*object, "blocks");
    suspect.last_crash_s_ago = SecondsOf(*object, "last_crash_s_ago");
    suspect.blocked_left_s = SecondsOf(*object, "blocked_left_s");
    suspects.push_back(std::move(suspect));
  }
  return suspects;
}

std::string FormatSuspects(const std::vector<ReportedSuspect>& suspects,
                           bool as_json) {
  if (as_json) {
    json::array out;
    for (const ReportedSuspect& it : suspects) {
      out.push_back({{"address", it.address},
                     {"kind", it.kind},
                     {"parts", it.parts},
                     {"state", it.state},
                     {"crashes", it.crashes},
                     {"blocks", it.blocks},
                     {"last_crash_s_ago", it.last_crash_s_ago},
                     {"blocked_left_s", it.blocked_left_s}});
    }
    return json::serialize(out) + "\n";
  }
  std::vector<std::vector<std::string>> rows = {
      {"asked", "kind", "parts", "state", "crashes", "blocks",
       "last crash (s ago)", "blocked for (s)"}};
  for (const ReportedSuspect& it : suspects) {
    rows.push_back({it.address, it.kind, it.parts, it.state,
                    std::to_string(it.crashes), std::to_string(it.blocks),
                    it.last_crash_s_ago, it.blocked_left_s});
  }
  return FormatTable(rows);
}

bool IsPartKey(std::string_view text) {
  return !text.empty() && text.size() <= kMaxKeyDigits &&
         std::all_of(text.begin(), text.end(), [](char it) {
           return (it >= '0' && it <= '9') || (it >= 'a' && it <= 'f') ||
                  (it >= 'A' && it <= 'F');
         });
}

}  // namespace burdockhatch
