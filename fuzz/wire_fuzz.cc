// Fuzzes the codec of messages between processes, which reads what any process
// that reaches the bus sends.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

#include <boost/leaf/handle_errors.hpp>

#include "src/wire.h"

namespace {

using burdockhatch::Message;
using burdockhatch::WireError;

// Aborts when a rejection comes without a WireError.
template <class Decoder>
std::optional<Message> Decoded(const Decoder& decode) {
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<Message>> {
        BOOST_LEAF_AUTO(message, decode());
        return std::optional<Message>(std::move(message));
      },
      [](WireError) { return std::optional<Message>(); },
      []() -> std::optional<Message> { abort(); });
}

}  // namespace

// A message that is accepted must have the same encoding after a round trip.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Decoded([&] { return Decode(text); });
  const auto message = Decoded([&] { return DecodePayload(text); });
  if (!message) {
    return 0;
  }
  const std::string once = Encode(*message);
  const auto again = Decoded([&] { return Decode(once); });
  const bool kept = again && again->body.index() == message->body.index() &&
                    Encode(*again) == once;
  if (!kept) {
    abort();
  }
  return 0;
}
