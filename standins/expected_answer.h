// The answer of the fake engine. It depends only on the prompt's text, so that
// a test can compute what a caller has to receive.
#ifndef STANDINS_EXPECTED_ANSWER_H_
#define STANDINS_EXPECTED_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhatch::standins {

// Every token's text has this many bytes, e.g. "w1a2b3 ".
inline constexpr uint32_t kTokenTextSize = 7;

// Text of token `index` (from 0) of the answer to a prompt with hash
// `prompt_hash`, which is StableHash(prompt).
std::string TokenText(uint64_t prompt_hash, uint32_t index);

// The whole answer of `output_tokens` tokens.
std::string ExpectedAnswer(std::string_view prompt, uint32_t output_tokens);

}  // namespace burdockhatch::standins

#endif  // STANDINS_EXPECTED_ANSWER_H_
