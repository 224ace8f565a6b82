// How long a model engine takes to read prompts and to write answers. The
// platform states the figures of each service.
#ifndef SRC_ENGINE_COST_H_
#define SRC_ENGINE_COST_H_

#include <cstdint>

#include "src/units.h"

namespace burdockhatch {

// An engine works in passes. A pass reads what prompts wait and, when an answer
// is being written, makes `steps_per_pass` tokens of each answer.
struct EngineCost {
  uint32_t slots = 16;  // Requests that the engine works on at once.
  Tokens memory{450'000};
  double step_ms = 1;                    // One token of every answer.
  double step_ms_per_answer = 0;         // Added for each answer.
  double step_ms_per_1k_context = 0;     // Added per 1,000 tokens of context.
  double read_tokens_per_s = 100'000;    // Prompt tokens.
  double read_ms_per_million_pairs = 0;  // Each token with each earlier one.
  uint32_t steps_per_pass = 1;

  bool operator==(const EngineCost&) const = default;
};

// Milliseconds that one engine needs to read a prompt on its own.
double PrefillMs(const EngineCost& cost, Tokens prompt);

// Milliseconds of a pass that reads nothing.
double DecodePassMs(const EngineCost& cost, uint32_t answers, Tokens context);

}  // namespace burdockhatch

#endif  // SRC_ENGINE_COST_H_
