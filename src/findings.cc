#include "src/findings.h"

#include <utility>

#include <fmt/format.h>

namespace burdockhatch {

void Findings::Add(std::string path, std::string message) {
  list.push_back(Finding{std::move(path), std::move(message)});
}

std::string ToString(const Findings& findings) {
  std::string text;
  for (const Finding& it : findings.list) {
    const std::string& path = it.path.empty() ? "(document)" : it.path;
    text += fmt::format("{}: {}\n", path, it.message);
  }
  return text;
}

}  // namespace burdockhatch
