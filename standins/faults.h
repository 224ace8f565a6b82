// Faults of a stand-in, set at run time by POST /faults. Runs on one thread.
#ifndef STANDINS_FAULTS_H_
#define STANDINS_FAULTS_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

#include <boost/json.hpp>

#include "src/random.h"

namespace burdockhatch::standins {

// Faults that every stand-in has; the HTTP server applies them.
//   down          bool: close the connection at once, before any effect
//   hang          bool: read the request and never answer
//   delay_ms      number: wait before the effect
//   close_before  probability: close before any effect
//   lose_answer   probability: apply the effect, then close the connection
//   cut_answer    probability: apply the effect, send half the answer, close
std::set<std::string> CommonFaults();

class Faults {
 public:
  Faults(uint64_t seed, std::set<std::string> known);

  // Merges a JSON object into the faults. null, false and 0 end a fault;
  // {"reset":true} ends all others first. Returns what is wrong with `text`,
  // and then changes nothing, or an empty string.
  std::string Merge(std::string_view text);

  // The faults that are on, as a JSON object.
  std::string Text() const;

  bool Flag(std::string_view name) const;
  double Number(std::string_view name) const;
  // Draws whether a fault with a probability happens now. A value of true
  // counts as 1.
  bool Chance(std::string_view name);
  void Clear(std::string_view name);

 private:
  std::set<std::string> known_;
  boost::json::object on_;
  Random random_;
};

}  // namespace burdockhatch::standins

#endif  // STANDINS_FAULTS_H_
