// One structured line per event on standard output, as key=value pairs. The
// number of lines is bounded, and writing never waits for the reader.
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

// Names this process in every later line. Call before threads start.
void SetLogIdentity(const InstanceId& instance,
                    const DataCentreId& data_centre);

// Writes one line. Callable from any thread; lines do not mix.
void Log(LogLevel level,
         std::string_view event,
         std::initializer_list<LogField> fields = {});

// The same for an event of one request.
void LogRequest(LogLevel level,
                const RequestId& request,
                std::string_view event,
                std::initializer_list<LogField> fields = {});

}  // namespace burdockhatch

#endif  // SRC_LOG_H_
