#include "src/engine_cost.h"

#include <algorithm>

namespace burdockhatch {

double PrefillMs(const EngineCost& cost, Tokens prompt) {
  const auto n = static_cast<double>(prompt.value());
  const double million_pairs = n * n / 2 / 1e6;
  return n * 1e3 / std::max(cost.read_tokens_per_s, 1.0) +
         million_pairs * cost.read_ms_per_million_pairs;
}

double DecodePassMs(const EngineCost& cost, uint32_t answers, Tokens context) {
  const double context_k = static_cast<double>(context.value()) / 1e3;
  return cost.steps_per_pass *
         (cost.step_ms + cost.step_ms_per_answer * answers +
          cost.step_ms_per_1k_context * context_k);
}

}  // namespace burdockhatch
