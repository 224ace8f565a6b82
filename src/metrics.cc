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

// Upper bounds of the buckets. Dense around the latency targets: 63 ms between
// tokens and 0.43 s to the first token.
constexpr std::array kBucketBoundsSeconds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.063, 0.1,  0.2,  0.3,
    0.43,  0.6,    1.0,   2.5,  5.0,   10.0, 30.0,  60.0, 300.0};

// Edges of the histogram bins; the first bin ranges from 0 to the first bound.
std::vector<double> BinEdges() {
  std::vector<double> edges = {0};
  edges.insert(edges.end(), kBucketBoundsSeconds.begin(),
               kBucketBoundsSeconds.end());
  return edges;
}

auto NewHistogram() {
  return histogram::make_histogram(histogram::axis::variable<>(BinEdges()));
}

using Histogram = decltype(NewHistogram());
using SeriesKey = std::pair<std::string, std::string>;  // Name and labels.

struct DurationHistogram {
  Histogram bins = NewHistogram();
  double sum = 0;
  uint64_t count = 0;
};

std::string FormatSeries(std::string_view name,
                         std::string_view labels,
                         std::string_view extra_label = "") {
  if (labels.empty() && extra_label.empty()) {
    return std::string(name);
  }
  const char* comma = labels.empty() || extra_label.empty() ? "" : ",";
  return fmt::format("{}{{{}{}{}}}", name, labels, comma, extra_label);
}

template <class Row>
void AppendSeries(const std::map<SeriesKey, Row>& rows,
                  std::string_view type,
                  std::string* text) {
  std::string_view last;
  for (const auto& [key, value] : rows) {
    auto out = std::back_inserter(*text);
    if (key.first != last) {
      fmt::format_to(out, "# TYPE {} {}\n", key.first, type);
    }
    last = key.first;
    fmt::format_to(out, "{} {}\n", FormatSeries(key.first, key.second), value);
  }
}

void AppendHistogram(const SeriesKey& key,
                     const DurationHistogram& row,
                     std::string* text) {
  auto out = std::back_inserter(*text);
  const std::string bucket = key.first + "_bucket";
  // There is no underflow bin to add: durations are not negative.
  double cumulative = 0;
  for (size_t i = 0; i < kBucketBoundsSeconds.size(); ++i) {
    cumulative += row.bins.at(static_cast<int>(i));
    const std::string le = fmt::format("le=\"{}\"", kBucketBoundsSeconds[i]);
    fmt::format_to(out, "{} {}\n", FormatSeries(bucket, key.second, le),
                   cumulative);
  }
  fmt::format_to(out, "{} {}\n",
                 FormatSeries(bucket, key.second, "le=\"+Inf\""), row.count);
  fmt::format_to(out, "{} {}\n", FormatSeries(key.first + "_sum", key.second),
                 row.sum);
  fmt::format_to(out, "{} {}\n", FormatSeries(key.first + "_count", key.second),
                 row.count);
}

}  // namespace

struct Metrics::Tables {
  std::mutex mutex;  // Guards all tables.
  std::map<SeriesKey, uint64_t> counters;
  std::map<SeriesKey, int64_t> gauges;
  std::map<SeriesKey, DurationHistogram> histograms;
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
  DurationHistogram& row =
      tables_->histograms[{std::string(name), std::string(labels)}];
  row.bins(seconds);
  row.sum += seconds;
  ++row.count;
}

std::string Metrics::ExpositionText() const {
  const std::lock_guard lock(tables_->mutex);
  std::string text;
  AppendSeries(tables_->counters, "counter", &text);
  AppendSeries(tables_->gauges, "gauge", &text);
  std::string_view last;
  for (const auto& [key, row] : tables_->histograms) {
    if (key.first != last) {
      text += fmt::format("# TYPE {} histogram\n", key.first);
    }
    last = key.first;
    AppendHistogram(key, row, &text);
  }
  return text;
}

}  // namespace burdockhatch
