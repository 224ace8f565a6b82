// Checks of a request before any target is chosen.
#ifndef SRC_REQUEST_ADMISSION_H_
#define SRC_REQUEST_ADMISSION_H_

#include <optional>

#include "src/entry_tables.h"

namespace burdockhatch {

// Tokens that a request counts for in its account's limit.
Tokens CostOf(const RequestSpec& spec);

// What a request adds to the load of its target, as the agent counts it: tokens
// for a completion, one for a service call.
Tokens LoadOf(const RequestSpec& spec);

// Why the request is refused; nullopt when it is admitted, and then its cost
// has been taken from the account's limit. A refusal is always not_run.
std::optional<Failure> CheckAdmission(EntryTables& tables,
                                      const RequestSpec& spec,
                                      Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUEST_ADMISSION_H_
