// Codec of the messages between processes. All input from other processes is
// validated by Decode, which rejects malformed messages.
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
  kTruncated,       // Not longer than the frame header.
  kUnknownVersion,  // Written by a codec of another version.
  kCorrupt,         // The checksum does not match.
  kMalformed,       // Not a valid protobuf envelope, or it has no body.
  kMissingId,       // A required id is empty or zero.
  kBadAmount,       // An amount is negative or exceeds its limit.
  kBadCount,        // Too many elements in a list.
  kBadEnum,         // A number is not a value of its enumeration.
  kTooLong,         // A string or the payload exceeds its length limit.
};

std::string_view ToString(WireError error);

// Limits that Decode enforces. kMaxWireIdBytes also applies to addresses, HTTP
// methods and content types.
inline constexpr size_t kMaxWireIdBytes = 256;
inline constexpr size_t kMaxWirePathBytes = 8 * 1024;
inline constexpr size_t kMaxWireBodyBytes = 32 * 1024 * 1024;
inline constexpr int kMaxPrefixHashes = 16 * 1024;
inline constexpr int kMaxAccountRates = 16 * 1024;
inline constexpr int64_t kMaxWireAmount = int64_t{1} << 40;
inline constexpr Duration kMaxWireDuration = std::chrono::hours(24 * 7);

// Frame layout: codec version (1 byte), checksum (8 bytes), protobuf message.
std::string Encode(const Message& message);

// Fails with a WireError.
boost::leaf::result<Message> Decode(std::string_view bytes);

// Validates and converts the protobuf message of a frame. Separate from Decode
// so that fuzzers need not produce a valid checksum.
boost::leaf::result<Message> DecodePayload(std::string_view payload);

}  // namespace burdockhatch

#endif  // SRC_WIRE_H_
