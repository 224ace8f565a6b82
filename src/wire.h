// Codec of the messages between processes. Everything that arrives from another
// process passes Decode, which lets only well-formed messages through.
#ifndef SRC_WIRE_H_
#define SRC_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

#include "src/messages.h"

namespace burdockhatch {

enum class WireError : uint8_t {
  kTruncated,       // Shorter than the frame header.
  kUnknownVersion,  // Written by a codec of another version.
  kCorrupt,         // The checksum does not match.
  kMalformed,       // Not the expected protobuf message, or without a body.
  kMissingId,       // An id that the body needs is empty or zero.
  kBadAmount,       // An amount is negative or above its limit.
  kBadCount,        // Too many elements in a list.
  kBadEnum,         // A number that names no value of its enumeration.
  kTooLong,         // A text is longer than its limit.
};

std::string_view ToString(WireError error);

// Limits of what Decode accepts.
inline constexpr size_t kMaxWireIdBytes = 256;
inline constexpr size_t kMaxWirePathBytes = 8 * 1024;
inline constexpr size_t kMaxWireBodyBytes = 32 * 1024 * 1024;
inline constexpr int kMaxPrefixHashes = 16 * 1024;
inline constexpr int kMaxAccountRates = 16 * 1024;
inline constexpr int64_t kMaxWireAmount = int64_t{1} << 40;
inline constexpr Duration kMaxWireDuration = std::chrono::hours(24 * 7);

// Frame: one byte codec version, eight bytes checksum, one protobuf message.
std::string Encode(const Message& message);

// Fails with a WireError.
boost::leaf::result<Message> Decode(std::string_view bytes);

// Checks and converts the protobuf message of a frame. Separate from Decode so
// that a fuzzer reaches it without having to guess a checksum.
boost::leaf::result<Message> DecodePayload(std::string_view payload);

}  // namespace burdockhatch

#endif  // SRC_WIRE_H_
