// Injects faults into a fake server; POST /faults changes them at run time. Not
// thread-safe.
#ifndef STANDINS_FAULTS_H_
#define STANDINS_FAULTS_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "src/random.h"

namespace burdockhatch::standins {

// Returns the faults that every fake server has. HttpServer applies them:
//   down          bool: close the connection at once, before any effect
//   hang          bool: read the request and never answer
//   delay_ms      number: wait before the effect
//   close_before  probability: close before any effect
//   lose_answer   probability: apply the effect, then close the connection
//   cut_answer    probability: apply the effect, send half the answer, close
std::set<std::string> CommonFaultNames();

class Faults {
 public:
  Faults(uint64_t seed, std::set<std::string> known_names);

  // Merges a JSON object into the active faults. null, false and 0 end a fault;
  // {"reset":true} ends all active faults first. Returns an empty string, or an
  // error message if `text` is invalid; nothing changes then.
  std::string Merge(std::string_view text);

  // Returns the active faults as a JSON object.
  std::string ToJson() const;

  bool IsActive(std::string_view name) const;
  double Number(std::string_view name) const;
  // Decides at random whether a fault with a probability occurs now. A value of
  // true counts as probability 1.
  bool ShouldInject(std::string_view name);
  void Clear(std::string_view name);

 private:
  std::set<std::string> known_names_;
  boost::json::object active_;
  Random random_;
};

}  // namespace burdockhatch::standins

#endif  // STANDINS_FAULTS_H_
