#include "src/metrics.h"

#include <array>
#include <iterator>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/histogram.hpp>

namespace burdockhatch {

namespace {

namespace histogram = boost::histogram;

// Upper bounds in seconds. Dense around the stated latencies: 63 ms between
// tokens and 0.43 s to the first token.
constexpr std::array kBounds = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.063,
                                0.1,   0.2,    0.3,   0.43, 0.6,   1.0,  2.5,
                                5.0,   10.0,   30.0,  60.0, 300.0};

// The first bin holds everything up to the first bound.
std::vector<double> Edges() {
  std::vector<double> edges = {0};
  edges.insert(edges.end(), kBounds.begin(), kBounds.end());
  return edges;
}

auto NewHistogram() {
  return histogram::make_histogram(histogram::axis::variable<>(Edges()));
}

using Histogram = decltype(NewHistogram());
using Key = std::pair<std::string, std::string>;  // Name and labels.

struct Latency {
  Histogram bins = NewHistogram();
  double sum = 0;
  uint64_t count = 0;
};

std::string Series(std::string_view name,
                   std::string_view labels,
                   std::string_view more = "") {
  if (labels.empty() && more.empty()) {
    return std::string(name);
  }
  const char* comma = labels.empty() || more.empty() ? "" : ",";
  return fmt::format("{}{{{}{}{}}}", name, labels, comma, more);
}

template <class Row>
void AppendRows(const std::map<Key, Row>& rows,
                std::string_view type,
                std::string* text) {
  std::string_view last;
  for (const auto& [key, value] : rows) {
    auto out = std::back_inserter(*text);
    if (key.first != last) {
      fmt::format_to(out, "# TYPE {} {}\n", key.first, type);
    }
    last = key.first;
    fmt::format_to(out, "{} {}\n", Series(key.first, key.second), value);
  }
}

void AppendHistogram(const Key& key, const Latency& row, std::string* text) {
  auto out = std::back_inserter(*text);
  const std::string bucket = key.first + "_bucket";
  // Observations below the first edge do not exist: durations are not negative.
  double below = 0;
  for (size_t i = 0; i < kBounds.size(); ++i) {
    below += row.bins.at(static_cast<int>(i));
    const std::string le = fmt::format("le=\"{}\"", kBounds[i]);
    fmt::format_to(out, "{} {}\n", Series(bucket, key.second, le), below);
  }
  fmt::format_to(out, "{} {}\n", Series(bucket, key.second, "le=\"+Inf\""),
                 row.count);
  fmt::format_to(out, "{} {}\n", Series(key.first + "_sum", key.second),
                 row.sum);
  fmt::format_to(out, "{} {}\n", Series(key.first + "_count", key.second),
                 row.count);
}

}  // namespace

struct Metrics::Tables {
  std::mutex mutex;  // Guards all tables.
  std::map<Key, uint64_t> counters;
  std::map<Key, int64_t> gauges;
  std::map<Key, Latency> latencies;
};

Metrics::Metrics() : tables_(std::make_unique<Tables>()) {}

Metrics::~Metrics() = default;

void Metrics::IncrementCounter(std::string_view name,
                               std::string_view labels,
                               uint64_t n) {
  const std::lock_guard lock(tables_->mutex);
  tables_->counters[{std::string(name), std::string(labels)}] += n;
}

void Metrics::SetCounter(std::string_view name,
                         std::string_view labels,
                         uint64_t total) {
  const std::lock_guard lock(tables_->mutex);
  tables_->counters[{std::string(name), std::string(labels)}] = total;
}

void Metrics::SetGauge(std::string_view name,
                       std::string_view labels,
                       int64_t value) {
  const std::lock_guard lock(tables_->mutex);
  tables_->gauges[{std::string(name), std::string(labels)}] = value;
}

void Metrics::ObserveDuration(std::string_view name,
                              std::string_view labels,
                              Duration duration) {
  const double seconds = static_cast<double>(duration.count()) / 1e6;
  const std::lock_guard lock(tables_->mutex);
  Latency& row = tables_->latencies[{std::string(name), std::string(labels)}];
  row.bins(seconds);
  row.sum += seconds;
  ++row.count;
}

std::string Metrics::ExpositionText() const {
  const std::lock_guard lock(tables_->mutex);
  std::string text;
  AppendRows(tables_->counters, "counter", &text);
  AppendRows(tables_->gauges, "gauge", &text);
  std::string_view last;
  for (const auto& [key, row] : tables_->latencies) {
    if (key.first != last) {
      text += fmt::format("# TYPE {} histogram\n", key.first);
    }
    last = key.first;
    AppendHistogram(key, row, &text);
  }
  return text;
}

}  // namespace burdockhatch
