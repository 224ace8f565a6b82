#include "bench/linear_fit.h"

#include <algorithm>
#include <cmath>

namespace burdockhatch::bench {

LinearFit FitLine(const std::vector<std::pair<double, double>>& points) {
  const auto n = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const auto& [x, y] : points) {
    mean_x += x / n;
    mean_y += y / n;
  }
  double xx = 0;
  double xy = 0;
  for (const auto& [x, y] : points) {
    xx += (x - mean_x) * (x - mean_x);
    xy += (x - mean_x) * (y - mean_y);
  }
  LinearFit fit;
  fit.slope = xx > 0 ? xy / xx : 0;
  fit.intercept = mean_y - fit.slope * mean_x;
  double largest = 0;
  double distance = 0;
  for (const auto& [x, y] : points) {
    largest = std::max(largest, std::abs(y));
    distance = std::max(distance, std::abs(y - fit.At(x)));
  }
  fit.residual = largest > 0 ? distance / largest : 0;
  return fit;
}

}  // namespace burdockhatch::bench
