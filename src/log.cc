#include "src/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <mutex>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace burdockhatch {

namespace {

struct LogIdentity {
  std::string instance = "-";
  std::string data_centre = "-";
};

LogIdentity& CurrentIdentity() {
  static LogIdentity identity;
  return identity;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

// Quotes a value that is empty or contains a space, a quote, an equals sign, a
// backslash or a control character, so that untrusted values cannot forge lines
// or fields.
void AppendValue(std::string_view value, std::string* line) {
  bool plain = !value.empty();
  for (const char it : value) {
    plain =
        plain && it > ' ' && it != '"' && it != '=' && it != '\\' && it != 0x7f;
  }
  if (plain) {
    line->append(value);
    return;
  }
  line->push_back('"');
  for (const char it : value) {
    if (it == '"' || it == '\\') {
      line->push_back('\\');
      line->push_back(it);
    } else if (static_cast<unsigned char>(it) < ' ' || it == 0x7f) {
      fmt::format_to(std::back_inserter(*line), "\\x{:02x}",
                     static_cast<unsigned char>(it));
    } else {
      line->push_back(it);
    }
  }
  line->push_back('"');
}

void AppendField(std::string_view key,
                 std::string_view value,
                 std::string* line) {
  line->push_back(' ');
  line->append(key);
  line->push_back('=');
  AppendValue(value, line);
}

// Rate-limited output that never blocks. Lines beyond the rate, and lines that
// standard output cannot accept at once, are dropped and counted.
class LogOutput {
 public:
  void WriteLine(std::string line) {
    const std::lock_guard lock(mutex_);
    Refill();
    if (dropped_ > 0 && available_lines_ >= 2) {
      const std::string notice = fmt::format(
          "level=warning event=log_lines_dropped count={}\n", dropped_);
      if (TryWrite(notice)) {
        dropped_ = 0;
      }
    }
    line.resize(std::min(line.size(), kMaxLineBytes));
    if (line.back() != '\n') {
      line.back() = '\n';
    }
    if (available_lines_ < 1 || !TryWrite(line)) {
      ++dropped_;
    }
  }

 private:
  using Clock = std::chrono::steady_clock;

  // Token bucket: sustained rate and burst size. A busy entry completes some
  // hundred requests per second.
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kMaxBurstLines = 2'000;
  // Writes of up to this size to a pipe are atomic (PIPE_BUF on Linux).
  static constexpr size_t kMaxLineBytes = 4'096;

  void Refill() {
    const Clock::time_point now = Clock::now();
    const std::chrono::duration<double> passed = now - refilled_at_;
    refilled_at_ = now;
    available_lines_ = std::min(
        available_lines_ + passed.count() * kLinesPerSecond, kMaxBurstLines);
  }

  bool TryWrite(const std::string& line) {
    pollfd output = {STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return false;
    }
    available_lines_ -= 1;
    return write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
  }

  std::mutex mutex_;
  Clock::time_point refilled_at_ = Clock::now();
  double available_lines_ = kMaxBurstLines;
  uint64_t dropped_ = 0;
};

LogOutput& GlobalOutput() {
  static LogOutput output;
  return output;
}

void WriteEvent(LogLevel level,
                std::string_view request,
                std::string_view event,
                std::initializer_list<LogField> fields) {
  using std::chrono::floor;
  using std::chrono::milliseconds;
  const auto now = std::chrono::system_clock::now();
  const auto ms = floor<milliseconds>(now.time_since_epoch()).count() % 1000;
  std::string line =
      fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={}",
                  fmt::gmtime(std::chrono::system_clock::to_time_t(now)), ms,
                  LevelName(level));
  AppendField("instance", CurrentIdentity().instance, &line);
  AppendField("data_centre", CurrentIdentity().data_centre, &line);
  AppendField("event", event, &line);
  if (!request.empty()) {
    AppendField("request", request, &line);
  }
  for (const LogField& it : fields) {
    AppendField(it.key, it.value, &line);
  }
  line.push_back('\n');
  GlobalOutput().WriteLine(std::move(line));
}

}  // namespace

void SetLogIdentity(const InstanceId& instance,
                    const DataCentreId& data_centre) {
  CurrentIdentity() = {instance.value(), data_centre.value()};
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  WriteEvent(level, "", event, fields);
}

void LogRequest(LogLevel level,
                const RequestId& request,
                std::string_view event,
                std::initializer_list<LogField> fields) {
  WriteEvent(level, ToString(request), event, fields);
}

}  // namespace burdockhatch
