// Cost model of a model engine: durations of prompt prefill and token decode.
// The platform supplies the parameters of each service.
#ifndef SRC_ENGINE_COST_H_
#define SRC_ENGINE_COST_H_

#include <cstdint>

#include "src/units.h"

namespace burdockhatch {

// An engine runs forward passes. A pass prefills all waiting prompts and, if
// answers are in progress, decodes `steps_per_pass` tokens of each.
struct EngineCost {
  uint32_t slots = 16;  // Maximum concurrent requests.
  Tokens memory{450'000};
  double step_ms = 1;                  // Decodes one token per answer.
  double step_ms_per_answer = 0;       // Added for each answer.
  double step_ms_per_1k_context = 0;   // Added per 1,000 tokens of context.
  double read_tokens_per_s = 100'000;  // Prefill rate.
  // Attention of each token to each earlier one.
  double read_ms_per_million_pairs = 0;
  uint32_t steps_per_pass = 1;

  bool operator==(const EngineCost&) const = default;
};

// Returns the milliseconds one engine needs to prefill a prompt alone.
double PrefillMs(const EngineCost& cost, Tokens prompt);

// Returns the milliseconds of a pass that decodes but prefills nothing.
double DecodePassMs(const EngineCost& cost, uint32_t answers, Tokens context);

}  // namespace burdockhatch

#endif  // SRC_ENGINE_COST_H_
