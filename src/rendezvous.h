// Rendezvous hashing: every process with the same candidates ranks them equally
// for a key, and a candidate that joins or leaves does not change the relative
// order of the others.
#ifndef SRC_RENDEZVOUS_H_
#define SRC_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace burdockhatch {

// Returns a hash of `text` that is the same in every process.
uint64_t StableHash(std::string_view text);

// Returns the score of a candidate for a key. The highest score ranks first.
uint64_t RendezvousScore(uint64_t key, uint64_t candidate);

// Returns the indices of the `count` highest-ranked candidates for `key`, best
// first. Ties go to the lower index.
std::vector<uint32_t> RendezvousTop(uint64_t key,
                                    const std::vector<uint64_t>& candidates,
                                    uint32_t count);

}  // namespace burdockhatch

#endif  // SRC_RENDEZVOUS_H_
