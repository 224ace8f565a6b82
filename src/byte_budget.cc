#include "src/byte_budget.h"

#include <algorithm>

namespace burdockhatch {

namespace {

// The first bytes of each owner count for nothing, so that small responses are
// not refused because of large ones.
constexpr size_t kUncountedBytes = 16 * 1024;

}  // namespace

bool ByteBudget::Replace(size_t former, size_t held) {
  size_t used = used_;
  while (true) {
    const size_t wanted = used - former + held;
    if (held > former && wanted > limit_) {
      return false;
    }
    if (used_.compare_exchange_weak(used, wanted)) {
      return true;
    }
  }
}

bool ByteShare::Resize(size_t held) {
  const size_t counted = held - std::min(held, kUncountedBytes);
  if (!budget_->Replace(counted_, counted)) {
    return false;
  }
  counted_ = counted;
  return true;
}

}  // namespace burdockhatch
