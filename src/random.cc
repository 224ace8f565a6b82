#include "src/random.h"

namespace burdockhatch {

namespace {

constexpr uint64_t kGoldenGamma = 0x9e3779b97f4a7c15;

uint64_t MixBits(uint64_t z) {
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

}  // namespace

uint64_t Random::Next() {
  state_ += kGoldenGamma;
  return MixBits(state_);
}

uint64_t Random::UniformBelow(uint64_t bound) {
  if (bound == 0) {
    return 0;
  }
  const auto product = static_cast<unsigned __int128>(Next()) * bound;
  return static_cast<uint64_t>(product >> 64);
}

double Random::UniformReal() {
  constexpr double kUnitScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(Next() >> 11) * kUnitScale;
}

uint64_t MixHash(uint64_t a, uint64_t b) {
  return MixBits(a + kGoldenGamma * (b + 1));
}

}  // namespace burdockhatch
