// The part of burdockctl without I/O for what targets say of themselves: reads
// it from the state of a process and formats it.
#ifndef SRC_CTL_SIGNALS_H_
#define SRC_CTL_SIGNALS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhatch {

// A target as one process reports it, see TargetSignalTable::Dump().
struct ReportedSignal {
  std::string address;  // Of the process, "ip:port".
  std::string target;
  std::string limit_per_s;    // "null" if the target states none.
  int64_t stated_ms_ago = 0;  // Negative if it made no statement on its rate.
  bool is_leaving = false;
  int64_t back_off_ms = 0;  // Rest of the time it wants nothing of the process.
};

// Parses the answer to /debug/state. Returns nullopt if it is not the state of
// a forwarding entry or a placement agent.
std::optional<std::vector<ReportedSignal>> ParseSignals(
    const std::string& address,
    std::string_view state);

std::string FormatSignals(const std::vector<ReportedSignal>& signals,
                          bool as_json);

}  // namespace burdockhatch

#endif  // SRC_CTL_SIGNALS_H_
