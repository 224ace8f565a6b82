// Seeded pseudo-random generator. Decision logic takes it as an argument, so
// that runs are reproducible on every machine; the standard library's
// distributions differ between implementations.
#ifndef SRC_RANDOM_H_
#define SRC_RANDOM_H_

#include <cstdint>

namespace burdockhatch {

// SplitMix64 (Steele, Lea, Flood, 2014).
class Random {
 public:
  explicit Random(uint64_t seed) : state_(seed) {}

  uint64_t Next();

  // Uniform in [0, bound); 0 when `bound` is 0.
  uint64_t UniformBelow(uint64_t bound);

  // Uniform in [0, 1).
  double UniformReal();

 private:
  uint64_t state_;
};

// Combines two words into one hash, for rendezvous hashing. The result is the
// same in every process.
uint64_t MixHash(uint64_t a, uint64_t b);

}  // namespace burdockhatch

#endif  // SRC_RANDOM_H_
