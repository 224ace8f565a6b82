#include "src/findings.h"

#include <utility>

#include <fmt/format.h>

namespace burdockhatch {

void Findings::Add(std::string place, std::string message) {
  list.push_back(Finding{std::move(place), std::move(message)});
}

std::string ToString(const Findings& findings) {
  std::string text;
  for (const Finding& it : findings.list) {
    const std::string& place = it.place.empty() ? "(document)" : it.place;
    text += fmt::format("{}: {}\n", place, it.message);
  }
  return text;
}

}  // namespace burdockhatch
