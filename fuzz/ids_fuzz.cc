// Fuzzes the parsers of request and attempt ids, which read what engines list.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/ids.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto request = ParseRequestId(text);
  const auto attempt = ParseAttemptId(text);
  const bool kept = (!request || ToString(*request) == text) &&
                    (!attempt || ToString(*attempt) == text);
  if (!kept) {
    abort();
  }
  return 0;
}
