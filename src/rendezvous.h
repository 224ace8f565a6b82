// Rendezvous hashing: every process that knows the same candidates ranks them
// alike for a key, and a candidate that leaves or joins changes the rank of no
// other.
#ifndef SRC_RENDEZVOUS_H_
#define SRC_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace burdockhatch {

// A hash of `text` that is the same in every process.
uint64_t StableHash(std::string_view text);

// The score of a candidate for a key; the highest score ranks first.
uint64_t RendezvousScore(uint64_t key, uint64_t candidate);

// Indices of the `count` candidates that rank first for `key`, best first. Ties
// go to the lower index.
std::vector<uint32_t> RendezvousTop(uint64_t key,
                                    const std::vector<uint64_t>& candidates,
                                    uint32_t count);

}  // namespace burdockhatch

#endif  // SRC_RENDEZVOUS_H_
