#include "src/request_memory.h"

#include <algorithm>
#include <chrono>

#include <fmt/format.h>

#include "src/metrics.h"

namespace burdockhatch {

namespace {

// A request up to this size is small: prompts of 4,960 tokens take about
// 25 KB.
constexpr size_t kMaxSmallBytes = 64 * 1024;
// A request that receives fewer bytes than this within kStallTime makes no
// progress. Callers on slow links send more.
constexpr size_t kMinProgressBytes = 4 * 1024;
constexpr Duration kStallTime = std::chrono::seconds(1);
// Header, parser and unparsed input of one request.
constexpr size_t kMaxOverheadBytes = 512 * 1024;

size_t LargeLimit(size_t limit) {
  return limit - limit / 4;
}

}  // namespace

RequestMemory::RequestMemory(Bytes limit)
    : limit_(static_cast<size_t>(limit.value())) {}

void RequestMemory::SetLargestBody(Bytes body) {
  const std::lock_guard lock(mutex_);
  const size_t largest = static_cast<size_t>(body.value()) + kMaxOverheadBytes;
  limit_ = std::max(limit_, largest / 3 * 4 + 4);
}

bool RequestMemory::IsLarge(const Row& row) {
  return row.use.held > kMaxSmallBytes;
}

bool RequestMemory::IsStalled(const Row& row, Time now) {
  return row.use.stage == RequestStage::kReading &&
         now - row.last_progress_at >= kStallTime;
}

void RequestMemory::Count(const Row& row, bool add) {
  const auto change = [add](size_t* sum, size_t n) {
    *sum = add ? *sum + n : *sum - n;
  };
  change(&held_, row.use.held);
  if (row.chosen) {
    return;
  }
  change(&kept_, row.use.held);
  change(&large_kept_, IsLarge(row) ? row.use.held : 0);
  change(&sheddable_, row.use.stage == RequestStage::kSent ? 0 : 1);
}

void RequestMemory::Update(Owner owner, const RequestUse& use, Time now) {
  if (use.held == 0) {
    Release(owner);
    return;
  }
  const std::lock_guard lock(mutex_);
  const auto [it, is_new] = rows_.try_emplace(owner);
  Row& row = it->second;
  if (!is_new) {
    Count(row, /*add=*/false);
  }
  if (is_new || use.stage != row.use.stage ||
      use.received >= row.received_at_progress + kMinProgressBytes) {
    row.last_progress_at = now;
    row.received_at_progress = use.received;
  }
  row.use = use;
  Count(row, /*add=*/true);
  stats_.peak = std::max(stats_.peak, held_);
}

void RequestMemory::Release(Owner owner) {
  const std::lock_guard lock(mutex_);
  const auto it = rows_.find(owner);
  if (it != rows_.end()) {
    Count(it->second, /*add=*/false);
    rows_.erase(it);
  }
}

bool RequestMemory::IsShedBefore(const Row& a,
                                 const Row& b,
                                 bool by_size,
                                 Time now) {
  if (by_size && IsLarge(a) != IsLarge(b)) {
    return IsLarge(a);
  }
  if (IsStalled(a, now) != IsStalled(b, now)) {
    return IsStalled(a, now);
  }
  if (a.use.stage != b.use.stage) {
    return a.use.stage == RequestStage::kReading;
  }
  return a.use.held > b.use.held;
}

std::optional<RequestMemory::Owner> RequestMemory::Choose(Time now) {
  const std::lock_guard lock(mutex_);
  const bool exceeds_large = large_kept_ > LargeLimit(limit_);
  if ((!exceeds_large && kept_ <= limit_) || sheddable_ == 0) {
    return std::nullopt;
  }
  const bool large_only = kept_ <= limit_;
  const bool by_size = large_kept_ > limit_ / 4;
  auto best = rows_.end();
  for (auto it = rows_.begin(); it != rows_.end(); ++it) {
    const Row& row = it->second;
    if (!row.chosen && row.use.stage != RequestStage::kSent &&
        (!large_only || IsLarge(row)) &&
        (best == rows_.end() ||
         IsShedBefore(row, best->second, by_size, now))) {
      best = it;
    }
  }
  if (best == rows_.end()) {
    return std::nullopt;
  }
  Count(best->second, /*add=*/false);
  best->second.chosen = true;
  Count(best->second, /*add=*/true);
  CountShed(best->second, now);
  return best->first;
}

void RequestMemory::CountShed(const Row& row, Time now) {
  if (row.use.stage == RequestStage::kWaiting) {
    ++stats_.shed_waiting;
  } else if (IsStalled(row, now)) {
    ++stats_.shed_stalled;
  } else {
    ++stats_.shed_reading;
  }
}

bool RequestMemory::IsExceeded() const {
  const std::lock_guard lock(mutex_);
  return held_ > limit_;
}

bool RequestMemory::IsChosen(Owner owner) const {
  const std::lock_guard lock(mutex_);
  const auto it = rows_.find(owner);
  return it != rows_.end() && it->second.chosen;
}

void RequestMemory::MarkSent(Owner owner) {
  const std::lock_guard lock(mutex_);
  const auto it = rows_.find(owner);
  if (it == rows_.end()) {
    return;
  }
  Row& row = it->second;
  Count(row, /*add=*/false);
  if (row.chosen) {
    --stats_.shed_waiting;  // Only a complete request can have been sent.
  }
  row.chosen = false;
  row.use.stage = RequestStage::kSent;
  Count(row, /*add=*/true);
}

RequestMemoryStats RequestMemory::Stats() const {
  const std::lock_guard lock(mutex_);
  RequestMemoryStats stats = stats_;
  stats.limit = limit_;
  stats.held = held_;
  stats.requests = rows_.size();
  return stats;
}

std::string DumpRequestMemory(const RequestMemoryStats& stats) {
  return fmt::format(
      "{{\"limit\":{},\"held\":{},\"peak\":{},\"counted_requests\":{},"
      "\"shed_stalled\":{},\"shed_reading\":{},\"shed_waiting\":{}}}",
      stats.limit, stats.held, stats.peak, stats.requests, stats.shed_stalled,
      stats.shed_reading, stats.shed_waiting);
}

void ExportRequestMemory(const RequestMemoryStats& stats, Metrics* metrics) {
  metrics->SetGauge("burdockhatch_request_bytes_held", "",
                    static_cast<int64_t>(stats.held));
  metrics->SetGauge("burdockhatch_request_bytes_limit", "",
                    static_cast<int64_t>(stats.limit));
  metrics->SetCounter("burdockhatch_requests_shed_total", "stage=\"stalled\"",
                      stats.shed_stalled);
  metrics->SetCounter("burdockhatch_requests_shed_total", "stage=\"reading\"",
                      stats.shed_reading);
  metrics->SetCounter("burdockhatch_requests_shed_total", "stage=\"waiting\"",
                      stats.shed_waiting);
}

}  // namespace burdockhatch
