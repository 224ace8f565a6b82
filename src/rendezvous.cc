#include "src/rendezvous.h"

#include <algorithm>
#include <numeric>

#include "src/random.h"

namespace burdockhatch {

namespace {

constexpr uint64_t kFnvOffset = 0xcbf29ce484222325;
constexpr uint64_t kFnvPrime = 0x100000001b3;

}  // namespace

// FNV-1a with a final mixing step, because its high bits depend too little on
// the last characters.
uint64_t StableHash(std::string_view text) {
  uint64_t hash = kFnvOffset;
  for (const char it : text) {
    hash ^= static_cast<unsigned char>(it);
    hash *= kFnvPrime;
  }
  return MixHash(hash, text.size());
}

uint64_t RendezvousScore(uint64_t key, uint64_t candidate) {
  return MixHash(key, candidate);
}

std::vector<uint32_t> RendezvousTop(uint64_t key,
                                    const std::vector<uint64_t>& candidates,
                                    uint32_t count) {
  std::vector<uint32_t> order(candidates.size());
  std::iota(order.begin(), order.end(), 0);
  const auto ranks_before = [&](uint32_t a, uint32_t b) {
    const uint64_t score_a = RendezvousScore(key, candidates[a]);
    const uint64_t score_b = RendezvousScore(key, candidates[b]);
    return score_a != score_b ? score_a > score_b : a < b;
  };
  const size_t kept = std::min<size_t>(count, order.size());
  std::partial_sort(order.begin(), order.begin() + kept, order.end(),
                    ranks_before);
  order.resize(kept);
  return order;
}

}  // namespace burdockhatch
