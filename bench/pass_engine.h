// A model engine that works in passes, as the platform of the users describes
// its engines: a pass reads what waits, in pieces, and makes some tokens of
// each answer. Used to measure the placement of mixed prompt lengths.
#ifndef BENCH_PASS_ENGINE_H_
#define BENCH_PASS_ENGINE_H_

#include <cstdint>
#include <vector>

#include "src/engine_cost.h"
#include "src/units.h"

namespace burdockhatch::bench {

// What a pass has done for one request, known at its end.
struct PassEvent {
  enum class Kind : uint8_t { kPartRead, kTokens, kAnswered };
  Kind kind;
  uint64_t request;
};

class PassEngine {
 public:
  explicit PassEngine(const EngineCost& cost) : cost_(cost) {}

  // Queues a prompt, or a part of one, to be read. Parts that help another
  // engine are read first.
  void Read(uint64_t request, Tokens tokens, double read_ms, bool helps);
  // Starts the answer of a request whose parts are all read.
  void Write(uint64_t request, Tokens context, Tokens output);
  void Cancel(uint64_t request);

  bool IsIdle() const { return parts_.empty() && answers_.empty(); }
  // Begins a pass and returns how long it takes. What is added until then
  // belongs to the next one.
  double BeginPassMs();
  std::vector<PassEvent> EndPass();

  double busy_reading_ms() const { return busy_reading_ms_; }

 private:
  struct Part {
    uint64_t request;
    double tokens_left;
    double ms_per_token;
    bool helps;
    double tokens_in_pass = 0;
  };
  struct Answer {
    uint64_t request;
    double context_k;
    int64_t tokens_left;
    bool in_pass = false;
  };

  const EngineCost cost_;
  std::vector<Part> parts_;  // Helping parts first, then in order of arrival.
  std::vector<Answer> answers_;
  uint32_t steps_ = 0;
  double busy_reading_ms_ = 0;
};

}  // namespace burdockhatch::bench

#endif  // BENCH_PASS_ENGINE_H_
