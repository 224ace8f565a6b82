// Least-squares line through measured points.
#ifndef BENCH_LINEAR_FIT_H_
#define BENCH_LINEAR_FIT_H_

#include <utility>
#include <vector>

namespace burdockhatch::bench {

struct LinearFit {
  double slope = 0;
  double intercept = 0;
  // Largest distance of a point from the line, as a share of the largest value.
  double residual = 0;

  double At(double x) const { return intercept + slope * x; }
};

// `points` holds pairs (x, y) with at least two different x.
LinearFit FitLine(const std::vector<std::pair<double, double>>& points);

}  // namespace burdockhatch::bench

#endif  // BENCH_LINEAR_FIT_H_
