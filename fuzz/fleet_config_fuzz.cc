// Fuzzes the parser of the fleet configuration, which reads what operators and
// the object API supply.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/findings.h"
#include "src/fleet_config.h"

// A document that is accepted must survive a round trip without change; one
// that is rejected must come with a finding.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Findings findings;
  const auto config = ParseFleetConfig(text, ConfigVersion(1), &findings);
  if (!config) {
    return findings.empty() ? (abort(), 0) : 0;
  }
  const std::string once = SerializeFleetConfig(*config);
  Findings none;
  const auto again = ParseFleetConfig(once, ConfigVersion(1), &none);
  if (!again || SerializeFleetConfig(*again) != once) {
    abort();
  }
  return 0;
}
