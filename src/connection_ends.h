// Reports of callers' requests that the end of a connection leaves without an
// answer, and of those that are refused before they are handled.
#ifndef SRC_CONNECTION_ENDS_H_
#define SRC_CONNECTION_ENDS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "src/metrics.h"

namespace burdockhatch {

enum class ConnectionEnd : uint8_t {
  kIdleTimeout,   // No request began within the idle timeout.
  kReadTimeout,   // A request was not complete in time.
  kWriteTimeout,  // The caller read nothing of pending output.
  kWriteFailed,
  kDisconnect,  // The caller closed or reset the connection.
  kTableFull,   // Too many connections are open.
  kMemory,      // The requests that the entry holds take too much memory.
  kMalformed,   // The input is not valid HTTP, or exceeds a limit.
  kException,
  kAborted,          // The request's handler gave up the connection.
  kConnectionClose,  // Input behind a response with "Connection: close".
  kStop,             // The process stops.
  kCount,
};

std::string_view ToString(ConnectionEnd end);

// How much of a request had been read.
enum class RequestProgress : uint8_t { kNone, kPart, kWhole, kCount };

std::string_view ToString(RequestProgress progress);

// Counts a connection that ended before its request was answered. Writes a log
// line, except for a whole request that the caller or the request's handler
// gave up: the end of that request has a line of its own.
void ReportUnanswered(ConnectionEnd end,
                      RequestProgress progress,
                      size_t unhandled_bytes);

// Counts and logs a request that was refused before it was handled.
void ReportRefused(ConnectionEnd reason, uint32_t status);

// Returns the number of reported connections since the start of the process.
uint64_t UnansweredCount(ConnectionEnd end, RequestProgress progress);
uint64_t RefusedCount(ConnectionEnd reason);

// Sets a counter for each reason that has occurred.
void ExportConnectionEnds(Metrics* metrics);

}  // namespace burdockhatch

#endif  // SRC_CONNECTION_ENDS_H_
