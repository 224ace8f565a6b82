#include "src/ctl_signals.h"

#include <utility>

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "src/ctl_commands.h"
#include "src/ctl_state.h"

namespace burdockhatch {

namespace json = boost::json;

std::optional<std::vector<ReportedSignal>> ParseSignals(
    const std::string& address,
    std::string_view state) {
  const std::optional<std::vector<json::object>> list =
      ReadStateList(state, "target_signals", "targets");
  if (!list) {
    return std::nullopt;
  }
  std::vector<ReportedSignal> signals;
  for (const json::object& it : *list) {
    ReportedSignal signal;
    signal.address = address;
    signal.target = TextOf(it, "target");
    signal.limit_per_s = TextOf(it, "limit_per_s");
    signal.stated_ms_ago = CountOf(it, "stated_ms_ago");
    signal.is_leaving = TextOf(it, "leaving") == "true";
    signal.back_off_ms = CountOf(it, "back_off_ms");
    signals.push_back(std::move(signal));
  }
  return signals;
}

std::string FormatSignals(const std::vector<ReportedSignal>& signals,
                          bool as_json) {
  if (as_json) {
    json::array out;
    for (const ReportedSignal& it : signals) {
      out.push_back({{"address", it.address},
                     {"target", it.target},
                     {"limit_per_s", it.limit_per_s},
                     {"stated_ms_ago", it.stated_ms_ago},
                     {"leaving", it.is_leaving},
                     {"back_off_ms", it.back_off_ms}});
    }
    return json::serialize(out) + "\n";
  }
  std::vector<std::vector<std::string>> rows = {
      {"asked", "target", "limit (requests/s)", "stated (ms ago)", "leaving",
       "back-off (ms)"}};
  for (const ReportedSignal& it : signals) {
    const bool is_limited = it.limit_per_s != "null";
    rows.push_back({it.address, it.target,
                    is_limited ? it.limit_per_s : std::string("none"),
                    it.stated_ms_ago < 0 ? std::string("never")
                                         : std::to_string(it.stated_ms_ago),
                    it.is_leaving ? "yes" : "no",
                    std::to_string(it.back_off_ms)});
  }
  return FormatTable(rows);
}

}  // namespace burdockhatch
