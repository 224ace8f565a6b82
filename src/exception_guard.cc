#include "src/exception_guard.h"

#include <atomic>

#include "src/log.h"

namespace burdockhatch {

namespace {

std::atomic<uint64_t> caught_exceptions = 0;

}  // namespace

void ReportException(std::string_view step_name, const char* what) {
  ++caught_exceptions;
  try {
    Log(LogLevel::kError, "exception_caught",
        {{"step", std::string(step_name)}, {"reason", what}});
  } catch (...) {
    // The log line may not fit into memory either; the counter has it.
  }
}

uint64_t CaughtExceptions() {
  return caught_exceptions;
}

}  // namespace burdockhatch
