// Collects the figures of the benchmark: prints them as tables and as JSON,
// checks them against their bounds and folds them into one signature.
#ifndef BENCH_REPORT_H_
#define BENCH_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockhatch::bench {

enum class Sense : uint8_t { kAtMost, kAtLeast };

struct Bound {
  Sense sense;
  double value;
};

struct Figure {
  std::string experiment;
  std::string name;
  std::string unit;
  double value = 0;
  std::optional<Bound> bound;
  // Figures that depend on the machine stay out of the signature.
  bool deterministic = true;
};

class Report {
 public:
  void Add(Figure figure);
  // A figure without a bound.
  void Note(std::string experiment,
            std::string name,
            std::string unit,
            double value);
  void Check(std::string experiment,
             std::string name,
             std::string unit,
             double value,
             Bound bound);

  void PrintTable() const;
  void PrintJson() const;
  // Bounds that are not kept.
  int Broken() const;
  uint64_t Signature() const;

 private:
  std::vector<Figure> figures_;
};

}  // namespace burdockhatch::bench

#endif  // BENCH_REPORT_H_
