#include "bench/statistics.h"

#include <algorithm>
#include <map>

namespace burdockhatch::bench {

namespace {

double Seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1e6;
}

// The end of an item may be told one tick of an entry and one way to the client
// late.
constexpr Duration kDeadlineTolerance{25'000};

bool InTime(const WorkItem& item, const ItemResult& result) {
  return result.end != End::kNone &&
         result.ended <= item.arrival + item.deadline + kDeadlineTolerance;
}

}  // namespace

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  const auto index =
      static_cast<size_t>(q * static_cast<double>(values.size()));
  return values[std::min(index, values.size() - 1)];
}

std::vector<double> FirstTokenSeconds(const std::vector<WorkItem>& items,
                                      const RunResult& result,
                                      LengthClass length_class) {
  std::vector<double> seconds;
  for (size_t n = 0; n < items.size(); ++n) {
    if (result.items[n].end == End::kAnswered &&
        ClassifyPromptLength(items[n].prompt) == length_class) {
      seconds.push_back(
          Seconds(result.items[n].first_token - items[n].arrival));
    }
  }
  return seconds;
}

std::vector<double> FirstTokenSeconds(const std::vector<WorkItem>& items,
                                      const RunResult& result) {
  std::vector<double> seconds;
  for (size_t n = 0; n < items.size(); ++n) {
    if (result.items[n].end == End::kAnswered) {
      seconds.push_back(
          Seconds(result.items[n].first_token - items[n].arrival));
    }
  }
  return seconds;
}

std::vector<double> TokenGapMs(const std::vector<WorkItem>& items,
                               const RunResult& result) {
  std::vector<double> gaps;
  for (size_t n = 0; n < items.size(); ++n) {
    const ItemResult& it = result.items[n];
    if (it.end == End::kAnswered && it.tokens > 1) {
      gaps.push_back(1e3 * Seconds(it.ended - it.first_token) /
                     (it.tokens - 1));
    }
  }
  return gaps;
}

std::vector<double> ShortSlowdown(const std::vector<WorkItem>& mixed_items,
                                  const RunResult& mixed,
                                  const std::vector<WorkItem>& alone_items,
                                  const RunResult& alone) {
  std::map<Time, size_t> alone_index;
  for (size_t n = 0; n < alone_items.size(); ++n) {
    alone_index[alone_items[n].arrival] = n;
  }
  std::vector<double> slowdown;
  for (size_t n = 0; n < mixed_items.size(); ++n) {
    const auto it = alone_index.find(mixed_items[n].arrival);
    if (it == alone_index.end() ||
        alone.items[it->second].end != End::kAnswered) {
      continue;
    }
    const double base =
        Seconds(alone.items[it->second].ended - mixed_items[n].arrival);
    const double time =
        mixed.items[n].end == End::kAnswered
            ? Seconds(mixed.items[n].ended - mixed_items[n].arrival)
            : Seconds(mixed_items[n].deadline);
    slowdown.push_back(time / base);
  }
  return slowdown;
}

int CountEnd(const RunResult& result, End end) {
  return static_cast<int>(
      std::count_if(result.items.begin(), result.items.end(),
                    [&](const ItemResult& it) { return it.end == end; }));
}

double Goodput(const std::vector<WorkItem>& items, const RunResult& result) {
  int in_time = 0;
  for (size_t n = 0; n < items.size(); ++n) {
    const bool answered = result.items[n].end == End::kAnswered;
    in_time += answered && InTime(items[n], result.items[n]) ? 1 : 0;
  }
  const Duration span = items.back().arrival - items.front().arrival;
  return in_time / Seconds(span);
}

int CountOverdue(const std::vector<WorkItem>& items, const RunResult& result) {
  int overdue = 0;
  for (size_t n = 0; n < items.size(); ++n) {
    overdue += InTime(items[n], result.items[n]) ? 0 : 1;
  }
  return overdue;
}

}  // namespace burdockhatch::bench
