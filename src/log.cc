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

LogIdentity& Identity() {
  static LogIdentity identity;
  return identity;
}

std::string_view NameOf(LogLevel level) {
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

// Quotes a value that has a space, a quote or a control character, so that a
// value from outside cannot start a line or a pair of its own.
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

void AppendPair(std::string_view key,
                std::string_view value,
                std::string* line) {
  line->push_back(' ');
  line->append(key);
  line->push_back('=');
  AppendValue(value, line);
}

// Bounded output that never waits: lines beyond the rate, and those that the
// reader of standard output does not take, are counted and dropped.
class LogOutput {
 public:
  void Put(std::string line) {
    const std::lock_guard lock(mutex_);
    Refill();
    if (dropped_ > 0 && credit_ >= 2) {
      const std::string note = fmt::format(
          "level=warning event=log_lines_dropped count={}\n", dropped_);
      if (TryWrite(note)) {
        dropped_ = 0;
      }
    }
    line.resize(std::min(line.size(), kMaxLineBytes));
    if (line.back() != '\n') {
      line.back() = '\n';
    }
    if (credit_ < 1 || !TryWrite(line)) {
      ++dropped_;
    }
  }

 private:
  using Clock = std::chrono::steady_clock;

  // Lines a second and at once; a busy entry ends some hundred requests a
  // second.
  static constexpr double kLinesPerSecond = 400;
  static constexpr double kMaxBurst = 2'000;
  // A pipe takes so many bytes whole, when it takes any.
  static constexpr size_t kMaxLineBytes = 4'096;

  void Refill() {
    const Clock::time_point now = Clock::now();
    const std::chrono::duration<double> passed = now - refilled_at_;
    refilled_at_ = now;
    credit_ = std::min(credit_ + passed.count() * kLinesPerSecond, kMaxBurst);
  }

  bool TryWrite(const std::string& line) {
    pollfd output = {STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return false;
    }
    credit_ -= 1;
    return write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
  }

  std::mutex mutex_;
  Clock::time_point refilled_at_ = Clock::now();
  double credit_ = kMaxBurst;
  uint64_t dropped_ = 0;
};

LogOutput& Output() {
  static LogOutput output;
  return output;
}

void Write(LogLevel level,
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
                  NameOf(level));
  AppendPair("instance", Identity().instance, &line);
  AppendPair("data_centre", Identity().data_centre, &line);
  AppendPair("event", event, &line);
  if (!request.empty()) {
    AppendPair("request", request, &line);
  }
  for (const LogField& it : fields) {
    AppendPair(it.key, it.value, &line);
  }
  line.push_back('\n');
  Output().Put(std::move(line));
}

}  // namespace

void SetLogIdentity(const InstanceId& instance,
                    const DataCentreId& data_centre) {
  Identity() = {instance.value(), data_centre.value()};
}

void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields) {
  Write(level, "", event, fields);
}

void LogRequest(LogLevel level,
                const RequestId& request,
                std::string_view event,
                std::initializer_list<LogField> fields) {
  Write(level, ToString(request), event, fields);
}

}  // namespace burdockhatch
