// Counters, gauges and latency histograms of one process, exported in the
// Prometheus text exposition format.
#ifndef SRC_METRICS_H_
#define SRC_METRICS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "src/units.h"

namespace burdockhatch {

// Thread-safe. `labels` is the text between the braces of a series, e.g.
// `code="none"`, or empty for a series without labels.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  void IncrementCounter(std::string_view name,
                        std::string_view labels,
                        uint64_t n = 1);
  // Sets a counter whose total is kept elsewhere.
  void SetCounter(std::string_view name,
                  std::string_view labels,
                  uint64_t total);
  void SetGauge(std::string_view name, std::string_view labels, int64_t value);

  // Adds one observation to a histogram, whose unit is seconds.
  void ObserveDuration(std::string_view name,
                       std::string_view labels,
                       Duration duration);

  std::string ExpositionText() const;

 private:
  struct Tables;
  std::unique_ptr<Tables> tables_;
};

}  // namespace burdockhatch

#endif  // SRC_METRICS_H_
