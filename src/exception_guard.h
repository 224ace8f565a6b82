// Catches exceptions that libraries throw, so that one request, message or
// connection fails instead of the process.
#ifndef SRC_EXCEPTION_GUARD_H_
#define SRC_EXCEPTION_GUARD_H_

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace burdockhatch {

// Logs the exception and counts it.
void ReportException(std::string_view step_name, const char* what);

// Returns the number of exceptions caught since the start of the process.
uint64_t CaughtExceptions();

// Runs `step`. Returns false if it threw an exception, which is reported.
template <class Step>
bool RunGuarded(std::string_view step_name, Step&& step) {
  try {
    std::forward<Step>(step)();
    return true;
  } catch (const std::exception& error) {
    ReportException(step_name, error.what());
  } catch (...) {
    ReportException(step_name, "unknown");
  }
  return false;
}

// Runs the event loop until it ends, also after a handler has thrown.
template <class Loop>
void RunLoopGuarded(Loop& loop) {
  while (!RunGuarded("event_loop", [&loop] { loop.run(); })) {
  }
}

}  // namespace burdockhatch

#endif  // SRC_EXCEPTION_GUARD_H_
