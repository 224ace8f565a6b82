#include "standins/expected_answer.h"

#include <fmt/format.h>

#include "src/random.h"
#include "src/rendezvous.h"

namespace burdockhatch::standins {

std::string TokenText(uint64_t prompt_hash, uint32_t index) {
  return fmt::format("w{:05x} ", MixHash(prompt_hash, index) & 0xfffff);
}

std::string ExpectedAnswer(std::string_view prompt, uint32_t output_tokens) {
  const uint64_t hash = StableHash(prompt);
  std::string answer;
  answer.reserve(size_t{output_tokens} * kTokenTextSize);
  for (uint32_t i = 0; i < output_tokens; ++i) {
    answer += TokenText(hash, i);
  }
  return answer;
}

}  // namespace burdockhatch::standins
