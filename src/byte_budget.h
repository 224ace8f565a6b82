// A limit on the bytes that many owners hold in memory together.
#ifndef SRC_BYTE_BUDGET_H_
#define SRC_BYTE_BUDGET_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <utility>

#include "src/units.h"

namespace burdockhatch {

// Thread-safe.
class ByteBudget {
 public:
  explicit ByteBudget(Bytes limit)
      : limit_(static_cast<size_t>(limit.value())) {}

  size_t used() const { return used_; }

  // Replaces `former` bytes of an owner by `held`. Returns false, and changes
  // nothing, if the sum would exceed the limit. Less is always accepted.
  bool Replace(size_t former, size_t held);

 private:
  const size_t limit_;
  std::atomic<size_t> used_ = 0;
};

// What one owner holds. Returned to the budget at its end.
class ByteShare {
 public:
  explicit ByteShare(std::shared_ptr<ByteBudget> budget)
      : budget_(std::move(budget)) {}
  ~ByteShare() { Resize(0); }
  ByteShare(const ByteShare&) = delete;
  ByteShare& operator=(const ByteShare&) = delete;

  // Returns false, and changes nothing, if the budget has no room.
  bool Resize(size_t held);

 private:
  const std::shared_ptr<ByteBudget> budget_;
  size_t counted_ = 0;
};

}  // namespace burdockhatch

#endif  // SRC_BYTE_BUDGET_H_
