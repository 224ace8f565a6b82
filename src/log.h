// Structured log on standard output: one line of key=value pairs per event. The
// line rate is limited, and writing never blocks on the reader of the output.
#ifndef SRC_LOG_H_
#define SRC_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "src/ids.h"

namespace burdockhatch {

enum class LogLevel : uint8_t { kInfo, kWarning, kError };

struct LogField {
  std::string_view key;
  std::string value;
};

// Sets the instance and data centre of later lines. Call before threads start.
void SetLogIdentity(const InstanceId& instance,
                    const DataCentreId& data_centre);

// Writes one line, truncated to 4096 bytes. Thread-safe; lines are not
// interleaved.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

// Writes one line about an event of `request`. Thread-safe.
void LogRequest(LogLevel level,
                const RequestId& request,
                std::string_view event,
                std::initializer_list<LogField> fields = {});

}  // namespace burdockhatch

#endif  // SRC_LOG_H_
