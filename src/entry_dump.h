// Formats the state of an entry as JSON for operators.
#ifndef SRC_ENTRY_DUMP_H_
#define SRC_ENTRY_DUMP_H_

#include <string>

#include "src/entry_tables.h"

namespace burdockhatch {

std::string_view ToString(TargetAvailability availability);
std::string_view ToString(RequestPhase phase);

std::string DumpEntry(const EntryTables& tables, Time now);

}  // namespace burdockhatch

#endif  // SRC_ENTRY_DUMP_H_
