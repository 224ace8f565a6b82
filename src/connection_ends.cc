#include "src/connection_ends.h"

#include <array>
#include <atomic>
#include <chrono>
#include <mutex>
#include <optional>
#include <string>

#include <fmt/format.h>

#include "src/exception_guard.h"
#include "src/log.h"

namespace burdockhatch {

namespace {

constexpr auto kEndCount = static_cast<size_t>(ConnectionEnd::kCount);
constexpr auto kProgressCount = static_cast<size_t>(RequestProgress::kCount);
// Lines per second of all reports, so that a flood of connections does not
// displace the other lines of the process.
constexpr uint64_t kMaxLinesPerSecond = 50;

std::array<std::array<std::atomic<uint64_t>, kProgressCount>, kEndCount>
    unanswered{};
std::array<std::atomic<uint64_t>, kEndCount> refused{};

class LineLimit {
 public:
  // Returns the number of lines omitted since the last one, or nullopt if this
  // one must be omitted, too.
  std::optional<uint64_t> Take() {
    const std::lock_guard lock(mutex_);
    const auto now = std::chrono::steady_clock::now();
    if (now - second_began_at_ >= std::chrono::seconds(1)) {
      second_began_at_ = now;
      lines_ = 0;
    }
    if (lines_ >= kMaxLinesPerSecond) {
      ++omitted_;
      return std::nullopt;
    }
    ++lines_;
    const uint64_t omitted = omitted_;
    omitted_ = 0;
    return omitted;
  }

 private:
  std::mutex mutex_;
  std::chrono::steady_clock::time_point second_began_at_{};
  uint64_t lines_ = 0;
  uint64_t omitted_ = 0;
};

LineLimit& GlobalLineLimit() {
  static LineLimit limit;
  return limit;
}

bool HasOtherLine(ConnectionEnd end, RequestProgress progress) {
  return progress == RequestProgress::kWhole &&
         (end == ConnectionEnd::kDisconnect || end == ConnectionEnd::kAborted);
}

}  // namespace

std::string_view ToString(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kIdleTimeout:
      return "idle_timeout";
    case ConnectionEnd::kReadTimeout:
      return "read_timeout";
    case ConnectionEnd::kWriteTimeout:
      return "write_timeout";
    case ConnectionEnd::kWriteFailed:
      return "write_failed";
    case ConnectionEnd::kDisconnect:
      return "disconnect";
    case ConnectionEnd::kTableFull:
      return "table_full";
    case ConnectionEnd::kMemory:
      return "request_memory";
    case ConnectionEnd::kMalformed:
      return "malformed";
    case ConnectionEnd::kException:
      return "exception";
    case ConnectionEnd::kAborted:
      return "aborted";
    case ConnectionEnd::kConnectionClose:
      return "connection_close";
    case ConnectionEnd::kStop:
      return "stop";
    case ConnectionEnd::kCount:
      break;
  }
  return "unknown";
}

std::string_view ToString(RequestProgress progress) {
  switch (progress) {
    case RequestProgress::kNone:
      return "none";
    case RequestProgress::kPart:
      return "part";
    case RequestProgress::kWhole:
      return "whole";
    case RequestProgress::kCount:
      break;
  }
  return "unknown";
}

void ReportUnanswered(ConnectionEnd end,
                      RequestProgress progress,
                      size_t unhandled_bytes) {
  ++unanswered[static_cast<size_t>(end)][static_cast<size_t>(progress)];
  if (HasOtherLine(end, progress)) {
    return;
  }
  RunGuarded("connection_report", [&] {
    if (const std::optional<uint64_t> omitted = GlobalLineLimit().Take()) {
      Log(LogLevel::kWarning, "connection_ended_unanswered",
          {{"reason", std::string(ToString(end))},
           {"read", std::string(ToString(progress))},
           {"unhandled_bytes", std::to_string(unhandled_bytes)},
           {"omitted_lines", std::to_string(*omitted)}});
    }
  });
}

void ReportRefused(ConnectionEnd reason, uint32_t status) {
  ++refused[static_cast<size_t>(reason)];
  RunGuarded("connection_report", [&] {
    if (const std::optional<uint64_t> omitted = GlobalLineLimit().Take()) {
      Log(LogLevel::kWarning, "request_refused_unhandled",
          {{"reason", std::string(ToString(reason))},
           {"status", std::to_string(status)},
           {"omitted_lines", std::to_string(*omitted)}});
    }
  });
}

uint64_t UnansweredCount(ConnectionEnd end, RequestProgress progress) {
  return unanswered[static_cast<size_t>(end)][static_cast<size_t>(progress)];
}

uint64_t RefusedCount(ConnectionEnd reason) {
  return refused[static_cast<size_t>(reason)];
}

void ExportConnectionEnds(Metrics* metrics) {
  for (size_t i = 0; i < kEndCount; ++i) {
    const std::string_view reason = ToString(static_cast<ConnectionEnd>(i));
    for (size_t j = 0; j < kProgressCount; ++j) {
      if (const uint64_t total = unanswered[i][j]; total > 0) {
        metrics->SetCounter(
            "burdockhatch_connections_unanswered_total",
            fmt::format("reason=\"{}\",read=\"{}\"", reason,
                        ToString(static_cast<RequestProgress>(j))),
            total);
      }
    }
    if (const uint64_t total = refused[i]; total > 0) {
      metrics->SetCounter("burdockhatch_requests_refused_unhandled_total",
                          fmt::format("reason=\"{}\"", reason), total);
    }
  }
}

}  // namespace burdockhatch
