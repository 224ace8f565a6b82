// The part of burdockctl without I/O for prompt parts that crash targets: reads
// them from the state of a process and formats them.
#ifndef SRC_CTL_PARTS_H_
#define SRC_CTL_PARTS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockhatch {

// Suspect parts or requests as one process reports them, see
// CrashBlame::Dump().
struct ReportedSuspect {
  std::string address;  // Of the process, "ip:port".
  std::string kind;     // "parts", or "request": the mark of one request.
  std::string parts;    // Keys, separated by commas.
  std::string state;    // "suspect", "trial" or "blocked".
  int64_t crashes = 0;
  int64_t blocks = 0;
  std::string last_crash_s_ago;
  std::string blocked_left_s;
};

// Parses the answer to /debug/state. Returns nullopt if it is not the state of
// an entry or a placement agent.
std::optional<std::vector<ReportedSuspect>> ParseSuspects(
    const std::string& address,
    std::string_view state);

std::string FormatSuspects(const std::vector<ReportedSuspect>& suspects,
                           bool as_json);

// Returns whether `text` is a key as FormatSuspects() prints it: 1 to 16
// hexadecimal digits.
bool IsPartKey(std::string_view text);

}  // namespace burdockhatch

#endif  // SRC_CTL_PARTS_H_
