// Helpers that fill structs from Boost.JSON values. Every error becomes a
// finding with a JSON pointer and reading continues, so that one pass reports
// all errors of a document.
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

// Inclusive bounds of an integer, in the unit of the field that is read.
struct Bounds {
  int64_t min = 0;
  int64_t max = 0;
};

// Parses JSON text. A syntax error adds a finding with its byte offset.
std::optional<boost::json::value> ParseJson(std::string_view text,
                                            Findings* findings);

// Appends `key` to the JSON pointer `path`, escaped as RFC 6901 requires.
std::string ChildPath(std::string_view path, std::string_view key);
std::string ChildPath(std::string_view path, size_t index);

// Returns whether `text` has the form of an id: 1 to kMaxIdLength letters,
// digits or ". _ : @ -". Such an id needs no escaping in JSON, JSON pointers
// and URL paths.
bool IsValidId(std::string_view text);

// Each of these converts one JSON value. They return nullopt and add a finding
// when the value has another type or is out of bounds.
std::optional<int64_t> ParseInteger(const boost::json::value& value,
                                    const std::string& path,
                                    Bounds bounds,
                                    Findings* findings);
std::optional<std::string> ParseString(const boost::json::value& value,
                                       const std::string& path,
                                       size_t max_length,
                                       Findings* findings);
std::optional<bool> ParseBool(const boost::json::value& value,
                              const std::string& path,
                              Findings* findings);
std::optional<std::string> ParseId(const boost::json::value& value,
                                   const std::string& path,
                                   Findings* findings);

// Reads the members of one JSON object. An absent member leaves `*field`
// unchanged, so that it keeps its default. Call ReportUnknownKeys() last.
class ObjectReader {
 public:
  // `value` must outlive the reader. Adds a finding when `value` is not an
  // object; all members count as absent then.
  ObjectReader(const boost::json::value& value,
               std::string path,
               Findings* findings);

  bool is_object() const { return object_ != nullptr; }
  const std::string& path() const { return path_; }
  // The JSON pointer of the member `key`.
  std::string PathOf(std::string_view key) const;

  // Returns the member, or null when it is absent, and marks its key as known.
  const boost::json::value* Find(std::string_view key);

  // Adds a finding for each of `keys` that is absent.
  void Require(std::initializer_list<std::string_view> keys);

  void ReadInteger(std::string_view key, Bounds bounds, int64_t* field);
  void ReadNumber(std::string_view key, double min, double max, double* field);
  void ReadString(std::string_view key, size_t max_length, std::string* field);
  void ReadBool(std::string_view key, bool* field);

  template <class Rep>
  void ReadCount(std::string_view key, Bounds bounds, Rep* field) {
    int64_t number = static_cast<int64_t>(*field);
    ReadInteger(key, bounds, &number);
    *field = static_cast<Rep>(number);
  }

  template <class Tag>
  void ReadQuantity(std::string_view key, Bounds bounds, Quantity<Tag>* field) {
    int64_t number = field->value();
    ReadInteger(key, bounds, &number);
    *field = Quantity<Tag>(number);
  }

  // `bounds` and the number in the JSON text are in `Unit`.
  template <class Unit, class Field>
  void ReadDuration(std::string_view key, Bounds bounds, Field* field) {
    int64_t number = std::chrono::duration_cast<Unit>(*field).count();
    ReadInteger(key, bounds, &number);
    *field = std::chrono::duration_cast<Field>(Unit(number));
  }

  // The number is in seconds and may have a fraction; `bounds_ms` are in
  // milliseconds.
  template <class Field>
  void ReadSeconds(std::string_view key, Bounds bounds_ms, Field* field) {
    if (Find(key) == nullptr) {
      return;
    }
    using Seconds = std::chrono::duration<double>;
    double number = std::chrono::duration_cast<Seconds>(*field).count();
    ReadNumber(key, static_cast<double>(bounds_ms.min) / 1e3,
               static_cast<double>(bounds_ms.max) / 1e3, &number);
    *field = std::chrono::duration_cast<Field>(Seconds(number));
  }

  template <class Tag>
  void ReadId(std::string_view key, StringId<Tag>* field) {
    if (const boost::json::value* it = Find(key)) {
      if (auto text = ParseId(*it, PathOf(key), findings_)) {
        *field = StringId<Tag>(std::move(*text));
      }
    }
  }

  // Reads an array of ids. Adds a finding for each id that occurs twice.
  template <class Tag>
  void ReadIds(std::string_view key, std::vector<StringId<Tag>>* field) {
    if (std::optional<std::vector<std::string>> texts = ReadIdList(key)) {
      field->clear();
      for (std::string& it : *texts) {
        field->emplace_back(std::move(it));
      }
    }
  }

  template <class Tag>
  void ReadIds(std::string_view key, std::set<StringId<Tag>>* field) {
    if (std::optional<std::vector<std::string>> texts = ReadIdList(key)) {
      field->clear();
      for (std::string& it : *texts) {
        field->emplace(std::move(it));
      }
    }
  }

  // Reads a string that must be one of the names in `choices`.
  template <class Enum>
  void ReadEnum(
      std::string_view key,
      std::initializer_list<std::pair<std::string_view, Enum>> choices,
      Enum* field) {
    std::vector<std::string_view> names;
    for (const auto& it : choices) {
      names.push_back(it.first);
    }
    if (std::optional<size_t> index = FindNameIndex(key, names)) {
      *field = (choices.begin() + *index)->second;
    }
  }

  // Adds a finding for each member that no earlier call has looked up.
  void ReportUnknownKeys();

 private:
  std::optional<std::vector<std::string>> ReadIdList(std::string_view key);
  std::optional<size_t> FindNameIndex(
      std::string_view key,
      const std::vector<std::string_view>& names);

  const boost::json::object* object_ = nullptr;
  std::string path_;
  Findings* findings_;
  std::set<std::string_view> known_keys_;
};

}  // namespace burdockhatch

#endif  // SRC_JSON_READER_H_
