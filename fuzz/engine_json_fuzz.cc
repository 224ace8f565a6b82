// Fuzzes the parsers of what an engine answers.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/engine_json.h"

// Amounts that are accepted are never negative: the agent adds them up.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  ParseStreamEvent(text);
  ParseCacheEvents(text);
  if (const auto list = ParseEngineHoldings(text)) {
    for (const EngineHolding& holding : list->holdings) {
      if (holding.memory < Tokens(0)) {
        abort();
      }
    }
  }
  if (const auto load = ParseEngineLoad(text)) {
    const bool valid =
        load->memory_used >= Tokens(0) && load->memory_total >= Tokens(0) &&
        load->completed >= Tokens(0) && load->uptime >= Duration(0);
    if (!valid) {
      abort();
    }
  }
  return 0;
}
