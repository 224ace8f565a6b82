// Checks requests before a target is chosen.
#ifndef SRC_REQUEST_ADMISSION_H_
#define SRC_REQUEST_ADMISSION_H_

#include <chrono>
#include <optional>

#include "src/entry_tables.h"

namespace burdockhatch {

// Told to callers that an entry refuses because it starts or stops.
inline constexpr Duration kNotReadyRetryAfter = std::chrono::seconds(1);

// Prompt and output tokens of the request, at least 1. Charged to the limit of
// its account.
Tokens TotalTokensOf(const RequestSpec& spec);

// Load that a request adds to its target in the unit that the agent uses:
// tokens for a completion, 1 for a service call.
Tokens TargetLoadOf(const RequestSpec& spec);

// Returns nullopt if the request is admitted, after charging its tokens to the
// limit of its account; otherwise the reason of the refusal, with the outcome
// not_run.
std::optional<Failure> CheckAdmission(EntryTables& tables,
                                      const RequestSpec& spec,
                                      Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUEST_ADMISSION_H_
