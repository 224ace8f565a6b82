// Generates the answer of the fake engine. The answer depends only on the text
// of the prompt, so that a test can compute what a caller must receive.
#ifndef STANDINS_EXPECTED_ANSWER_H_
#define STANDINS_EXPECTED_ANSWER_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace burdockhatch::standins {

// Bytes in the text of every token, e.g. "w1a2b3 ".
inline constexpr uint32_t kTokenTextSize = 7;

// Returns the text of token `index`, counted from 0, of the answer to a prompt
// whose StableHash() is `prompt_hash`.
std::string TokenText(uint64_t prompt_hash, uint32_t index);

// Returns the whole answer of `output_tokens` tokens.
std::string ExpectedAnswer(std::string_view prompt, uint32_t output_tokens);

}  // namespace burdockhatch::standins

#endif  // STANDINS_EXPECTED_ANSWER_H_
