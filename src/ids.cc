#include "src/ids.h"

#include <charconv>

#include <fmt/format.h>

namespace burdockhatch {

namespace {

constexpr size_t kHexDigitsPerWord = 16;
constexpr size_t kRequestIdLength = 2 * kHexDigitsPerWord;

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

uint64_t ParseHexWord(std::string_view digits) {
  uint64_t word = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), word, 16);
  return word;
}

}  // namespace

std::string ToString(const RequestId& id) {
  return fmt::format("{:016x}{:016x}", id.high, id.low);
}

std::string ToString(const AttemptId& id) {
  return fmt::format("{}-{}", ToString(id.request), id.number.value());
}

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (text.size() != kRequestIdLength || !IsLowerHex(text)) {
    return std::nullopt;
  }
  return RequestId{ParseHexWord(text.substr(0, kHexDigitsPerWord)),
                   ParseHexWord(text.substr(kHexDigitsPerWord))};
}

std::optional<AttemptId> ParseAttemptId(std::string_view text) {
  if (text.size() < kRequestIdLength + 2 || text[kRequestIdLength] != '-') {
    return std::nullopt;
  }
  std::optional<RequestId> request =
      ParseRequestId(text.substr(0, kRequestIdLength));
  if (!request) {
    return std::nullopt;
  }
  std::string_view digits = text.substr(kRequestIdLength + 1);
  uint32_t number = 0;
  const char* end = digits.data() + digits.size();
  auto [rest, ec] = std::from_chars(digits.data(), end, number);
  // Leading zeros are rejected, so that each attempt has exactly one text form.
  if (ec != std::errc() || rest != end || digits[0] == '0') {
    return std::nullopt;
  }
  return AttemptId{*request, AttemptNumber(number)};
}

StreamId StreamIdOf(const AttemptId& id) {
  return StreamId(ToString(id));
}

}  // namespace burdockhatch
