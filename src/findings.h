// Collects all errors of an input, so that they are reported together.
#ifndef SRC_FINDINGS_H_
#define SRC_FINDINGS_H_

#include <string>
#include <vector>

namespace burdockhatch {

// One error in an input.
struct Finding {
  // JSON pointer (RFC 6901) to the faulty value; empty for the whole document.
  // For a command line, the faulty word.
  std::string path;
  // States the error and what is expected, without a full stop.
  std::string message;

  auto operator<=>(const Finding&) const = default;
};

struct Findings {
  std::vector<Finding> list;

  void Add(std::string path, std::string message);
  bool empty() const { return list.empty(); }
};

// Formats one line per finding: "<path>: <message>".
std::string ToString(const Findings& findings);

}  // namespace burdockhatch

#endif  // SRC_FINDINGS_H_
