// Collects everything that is wrong with an input, each with its place, so that
// all of it is reported together.
#ifndef SRC_FINDINGS_H_
#define SRC_FINDINGS_H_

#include <string>
#include <vector>

namespace burdockhatch {

// One thing that is wrong with an input.
struct Finding {
  std::string
      place;  // A JSON pointer (RFC 6901); empty for the whole document.
  std::string
      message;  // What is wrong and what is expected, without a full stop.

  auto operator<=>(const Finding&) const = default;
};

struct Findings {
  std::vector<Finding> list;

  void Add(std::string place, std::string message);
  bool empty() const { return list.empty(); }
};

// One line a finding: "<place>: <message>".
std::string ToString(const Findings& findings);

}  // namespace burdockhatch

#endif  // SRC_FINDINGS_H_
