// Fuzzes the parser of claim shards, which reads what the object API returns.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "src/claim_shard.h"

// A shard that is accepted must survive a round trip: an agent writes back the
// claims of others, and a claim that is lost allows a second execution.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto records = ParseClaimShard(text);
  if (!records) {
    return 0;
  }
  for (const auto& [key, record] : *records) {
    if (record.claimed_at < UnixSeconds(0)) {
      abort();
    }
  }
  const std::string once = SerializeClaimShard(*records);
  const auto again = ParseClaimShard(once);
  const bool kept = again && again->size() == records->size() &&
                    SerializeClaimShard(*again) == once;
  if (!kept) {
    abort();
  }
  return 0;
}
