// A position in the history of the platform's store.
#ifndef SRC_STORE_REVISION_H_
#define SRC_STORE_REVISION_H_

#include <cstdint>

#include "src/ids.h"

namespace burdockhatch {

// Revisions grow with each change within one epoch, and are assigned again in
// the next one, so revisions of different epochs cannot be compared.
struct StoreRevision {
  uint64_t revision = 0;
  StoreEpoch epoch;

  bool operator==(const StoreRevision&) const = default;
};

}  // namespace burdockhatch

#endif  // SRC_STORE_REVISION_H_
