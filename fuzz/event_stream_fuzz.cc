// Fuzzes the cutting of a forwarded stream into events.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/event_stream.h"

// The events must not depend on where the network splits the text. The first
// byte says where.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  if (size == 0) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(data + 1),
                              size - 1);
  const size_t split = text.size() * data[0] / 255;
  burdockhatch::EventStream whole;
  burdockhatch::EventStream parts;
  const std::string expected = whole.Feed(text);
  const std::string first = parts.Feed(text.substr(0, split));
  if (first + parts.Feed(text.substr(split)) != expected ||
      whole.last_id() != parts.last_id()) {
    abort();
  }
  return 0;
}
