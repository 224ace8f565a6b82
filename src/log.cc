#include "src/log.h"

#include <chrono>
#include <cstdio>
#include <iterator>

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
  // One call, so that lines of different threads do not mix.
  std::fwrite(line.data(), 1, line.size(), stderr);
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
