// Strong types for amounts: tokens, bytes and durations.
#ifndef SRC_UNITS_H_
#define SRC_UNITS_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <utility>

namespace burdockhatch {

// An amount that can be added, subtracted, scaled and compared. `Tag` makes
// each unit a distinct type.
template <class Tag>
class Quantity {
 public:
  constexpr Quantity() = default;
  constexpr explicit Quantity(int64_t value) : value_(value) {}

  constexpr int64_t value() const { return value_; }

  constexpr auto operator<=>(const Quantity&) const = default;
  constexpr Quantity operator+(Quantity other) const {
    return Quantity(value_ + other.value_);
  }
  constexpr Quantity operator-(Quantity other) const {
    return Quantity(value_ - other.value_);
  }
  constexpr Quantity operator-() const { return Quantity(-value_); }
  constexpr Quantity operator*(int64_t factor) const {
    return Quantity(value_ * factor);
  }
  constexpr Quantity operator/(int64_t divisor) const {
    return Quantity(value_ / divisor);
  }
  constexpr Quantity& operator+=(Quantity other) {
    value_ += other.value_;
    return *this;
  }
  constexpr Quantity& operator-=(Quantity other) {
    value_ -= other.value_;
    return *this;
  }

  template <typename H>
  friend H AbslHashValue(H state, const Quantity& quantity) {
    return H::combine(std::move(state), quantity.value_);
  }

 private:
  int64_t value_ = 0;
};

using Tokens = Quantity<struct TokensTag>;
using Bytes = Quantity<struct BytesTag>;
using TokensPerSecond = Quantity<struct TokensPerSecondTag>;

// All durations in decision logic have a resolution of one microsecond.
using Duration = std::chrono::microseconds;

constexpr Duration FromMs(double ms) {
  return Duration(static_cast<int64_t>(ms * 1e3));
}
constexpr double ToMs(Duration duration) {
  return static_cast<double>(duration.count()) / 1e3;
}

// Returns the time that `count` tokens take at `rate`. A rate of zero or less
// is treated as one token per second.
constexpr Duration TimeAtRate(Tokens count, TokensPerSecond rate) {
  const int64_t per_second = rate.value() > 0 ? rate.value() : 1;
  return Duration(count.value() * 1'000'000 / per_second);
}

}  // namespace burdockhatch

#endif  // SRC_UNITS_H_
