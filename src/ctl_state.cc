#include "src/ctl_state.h"

#include <fmt/format.h>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace burdockhatch {

namespace json = boost::json;

namespace {

const json::value* Find(const json::object* object, std::string_view name) {
  return object == nullptr ? nullptr
                           : object->if_contains({name.data(), name.size()});
}

const json::object* FindObject(const json::object* object,
                               std::string_view name) {
  const json::value* value = Find(object, name);
  return value == nullptr ? nullptr : value->if_object();
}

}  // namespace

std::optional<std::vector<json::object>> ReadStateList(std::string_view state,
                                                       std::string_view section,
                                                       std::string_view list) {
  boost::system::error_code ec;
  const json::value root = json::parse({state.data(), state.size()}, ec);
  const json::object* core =
      FindObject(ec ? nullptr : root.if_object(), "core");
  const json::value* values = Find(FindObject(core, section), list);
  if (values == nullptr || !values->is_array()) {
    return std::nullopt;
  }
  std::vector<json::object> objects;
  for (const json::value& it : values->get_array()) {
    if (!it.is_object()) {
      return std::nullopt;
    }
    objects.push_back(it.get_object());
  }
  return objects;
}

std::string TextOf(const json::object& object, std::string_view name) {
  const json::value* value = Find(&object, name);
  if (value == nullptr) {
    return "";
  }
  return value->is_string() ? std::string(value->get_string())
                            : json::serialize(*value);
}

int64_t CountOf(const json::object& object, std::string_view name) {
  const json::value* value = Find(&object, name);
  boost::system::error_code ec;
  const int64_t count = value == nullptr ? 0 : value->to_number<int64_t>(ec);
  return ec ? 0 : count;
}

std::string SecondsOf(const json::object& object, std::string_view name) {
  const json::value* value = Find(&object, name);
  boost::system::error_code ec;
  const double seconds = value == nullptr ? 0 : value->to_number<double>(ec);
  return fmt::format("{:.1f}", ec ? 0 : seconds);
}

}  // namespace burdockhatch
