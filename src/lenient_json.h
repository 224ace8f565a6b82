// Parses JSON text of which single parts are unreadable: nested too deeply,
// with numbers out of range, invalid UTF-8 or syntax errors. An unreadable part
// does not affect the text around it.
#ifndef SRC_LENIENT_JSON_H_
#define SRC_LENIENT_JSON_H_

#include <cstddef>
#include <optional>
#include <string_view>

#include <boost/json/value.hpp>

namespace burdockhatch {

// Levels of arrays and objects of a readable value.
inline constexpr size_t kMaxJsonDepth = 32;

struct LenientJson {
  boost::json::value value;
  // Smallest parts that could not be parsed. Each is replaced by a placeholder,
  // an object for which HasUnreadablePart() returns true.
  size_t unreadable_parts = 0;
};

// Returns nullopt if the brackets and quotes of `text` do not match, because
// its parts then cannot be told apart.
std::optional<LenientJson> ParseLenientJson(std::string_view text);

// Returns whether a key of `object` is unreadable, so that it may lack any
// member, or whether it is a placeholder.
bool HasUnreadableKey(const boost::json::object& object);

// Returns whether `value` is or contains a placeholder.
bool HasUnreadablePart(const boost::json::value& value);

}  // namespace burdockhatch

#endif  // SRC_LENIENT_JSON_H_
