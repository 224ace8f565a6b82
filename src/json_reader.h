// Helpers that fill aggregates from Boost.JSON values. Every problem becomes a
// finding with a JSON pointer, and reading goes on, so that one pass reports
// all of them.
#ifndef SRC_JSON_READER_H_
#define SRC_JSON_READER_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json/value.hpp>

#include "src/findings.h"
#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch {

inline constexpr size_t kMaxIdLength = 64;

// Inclusive bounds of a number, in the unit of the field.
struct Bounds {
  int64_t min = 0;
  int64_t max = 0;
};

// Parses JSON text. A syntax error becomes a finding with its byte offset.
std::optional<boost::json::value> ParseJson(std::string_view text,
                                            Findings* findings);

// Appends `key` to a JSON pointer, escaped as RFC 6901 asks.
std::string ChildPlace(std::string_view place, std::string_view key);
std::string ChildPlace(std::string_view place, size_t index);

// Whether `text` may be an id: 1 to kMaxIdLength letters, digits or ". _ : @
// -". Such an id needs no escaping in JSON, JSON pointers and URL paths.
bool IsValidId(std::string_view text);

// Reads one value; each returns nullopt and adds a finding when the value has
// another type or is out of bounds.
std::optional<int64_t> ReadInteger(const boost::json::value& value,
                                   const std::string& place,
                                   Bounds bounds,
                                   Findings* findings);
std::optional<std::string> ReadText(const boost::json::value& value,
                                    const std::string& place,
                                    size_t max_length,
                                    Findings* findings);
std::optional<bool> ReadFlag(const boost::json::value& value,
                             const std::string& place,
                             Findings* findings);
std::optional<std::string> ReadIdText(const boost::json::value& value,
                                      const std::string& place,
                                      Findings* findings);

// Reads the members of one JSON object. A member that is absent leaves its
// field at its default. Finish() reports the members that nobody asked for.
class ObjectReader {
 public:
  // `value` must outlive the reader. Adds a finding when it is not an object.
  ObjectReader(const boost::json::value& value,
               std::string place,
               Findings* findings);

  bool is_object() const { return object_ != nullptr; }
  const std::string& place() const { return place_; }
  std::string PlaceOf(std::string_view key) const;

  // The member, or null when it is absent. Marks it as known.
  const boost::json::value* Find(std::string_view key);

  // Adds a finding for each of `keys` that is absent.
  void Require(std::initializer_list<std::string_view> keys);

  void Integer(std::string_view key, Bounds bounds, int64_t* field);
  void Number(std::string_view key, double min, double max, double* field);
  void Text(std::string_view key, size_t max_length, std::string* field);
  void Flag(std::string_view key, bool* field);

  template <class Rep>
  void Count(std::string_view key, Bounds bounds, Rep* field) {
    int64_t number = static_cast<int64_t>(*field);
    Integer(key, bounds, &number);
    *field = static_cast<Rep>(number);
  }

  template <class Tag>
  void Amount(std::string_view key, Bounds bounds, Quantity<Tag>* field) {
    int64_t number = field->value();
    Integer(key, bounds, &number);
    *field = Quantity<Tag>(number);
  }

  // `bounds` are in the unit of `Unit`, as is the number in the JSON text.
  template <class Unit, class Field>
  void Time(std::string_view key, Bounds bounds, Field* field) {
    int64_t number = std::chrono::duration_cast<Unit>(*field).count();
    Integer(key, bounds, &number);
    *field = std::chrono::duration_cast<Field>(Unit(number));
  }

  template <class Tag>
  void Id(std::string_view key, StringId<Tag>* field) {
    if (const boost::json::value* it = Find(key)) {
      if (auto text = ReadIdText(*it, PlaceOf(key), findings_)) {
        *field = StringId<Tag>(std::move(*text));
      }
    }
  }

  // A list of different ids.
  template <class Tag>
  void Ids(std::string_view key, std::vector<StringId<Tag>>* field) {
    if (std::optional<std::vector<std::string>> texts = IdTexts(key)) {
      field->clear();
      for (std::string& it : *texts) {
        field->emplace_back(std::move(it));
      }
    }
  }

  template <class Tag>
  void Ids(std::string_view key, std::set<StringId<Tag>>* field) {
    if (std::optional<std::vector<std::string>> texts = IdTexts(key)) {
      field->clear();
      for (std::string& it : *texts) {
        field->emplace(std::move(it));
      }
    }
  }

  // One of the named values.
  template <class Enum>
  void Choice(std::string_view key,
              std::initializer_list<std::pair<std::string_view, Enum>> choices,
              Enum* field) {
    std::vector<std::string_view> names;
    for (const auto& it : choices) {
      names.push_back(it.first);
    }
    if (std::optional<size_t> index = ChoiceIndex(key, names)) {
      *field = (choices.begin() + *index)->second;
    }
  }

  // Adds a finding for each member that was not asked for.
  void Finish();

 private:
  std::optional<std::vector<std::string>> IdTexts(std::string_view key);
  std::optional<size_t> ChoiceIndex(std::string_view key,
                                    const std::vector<std::string_view>& names);

  const boost::json::object* object_ = nullptr;
  std::string place_;
  Findings* findings_;
  std::set<std::string_view> known_;
};

}  // namespace burdockhatch

#endif  // SRC_JSON_READER_H_
