// Reads members of the state that a process reports at /debug/state.
#ifndef SRC_CTL_STATE_H_
#define SRC_CTL_STATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

namespace burdockhatch {

// Returns the objects of the list `list` in the section `section` of the
// state's "core", or nullopt if the state has no such list of objects.
std::optional<std::vector<boost::json::object>> ReadStateList(
    std::string_view state,
    std::string_view section,
    std::string_view list);

// Return the member, or an empty text or 0 if it is missing or of another type.
// A value that is no string is returned as JSON by TextOf.
std::string TextOf(const boost::json::object& object, std::string_view name);
int64_t CountOf(const boost::json::object& object, std::string_view name);
// Returns the member as seconds with one decimal.
std::string SecondsOf(const boost::json::object& object, std::string_view name);

}  // namespace burdockhatch

#endif  // SRC_CTL_STATE_H_
