// Fuzzes the parser of server-sent events, which reads what an engine sends.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "src/server_sent_events.h"

namespace {

std::string Events(burdockhatch::ServerSentEventParser& parser,
                   std::string_view text) {
  std::string events;
  parser.Feed(text, [&](std::string_view data) {
    events += data;
    events += '\0';
  });
  return events;
}

}  // namespace

// Events must not depend on where the network splits the text. The first byte
// says where.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  if (size == 0) {
    return 0;
  }
  const std::string_view text(reinterpret_cast<const char*>(data + 1),
                              size - 1);
  const size_t split = text.size() * data[0] / 255;
  ServerSentEventParser whole;
  ServerSentEventParser parts;
  const std::string expected = Events(whole, text);
  const std::string first = Events(parts, text.substr(0, split));
  if (first + Events(parts, text.substr(split)) != expected) {
    abort();
  }
  return 0;
}
