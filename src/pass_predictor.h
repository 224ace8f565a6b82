// Predicts what an engine reads, and when. An engine works in passes: what
// comes while it reads is read by the next pass, together with all else that
// came meanwhile. The answers that it writes pause for one pass at a time, so
// only what shares a pass counts against their gap target.
#ifndef SRC_PASS_PREDICTOR_H_
#define SRC_PASS_PREDICTOR_H_

#include <cstdint>
#include <vector>

#include "src/clock.h"

namespace burdockhatch {

class PassPredictor {
 public:
  // A prompt, or a part of one, that the engine is to read.
  struct Part {
    uint64_t work = 0;
    double read_ms = 0;
    // When the first event of the whole prompt is expected. A part that is not
    // finished by then counts again, as its engine may be slow.
    Time due{};
  };

  // `pass_ms`: a pass of the engine that reads nothing.
  void Add(const Part& part, double pass_ms, Time now);

  // The prompt has been read.
  void Finish(uint64_t work, Time now);

  // The request has ended. A pass that has begun takes its time all the same.
  void Cancel(uint64_t work, Time now);

  // Reading that shares a pass with a part that is added now.
  double SharedMs(Time now) const;

  // Until a part that is added now has its turn within its pass.
  double WaitMs(Time now) const;

 private:
  struct Pass {
    // When it begins at the earliest and at the latest. What comes between may
    // be left to the next pass, so it counts for both.
    Time starts_from{};
    Time starts_by{};
    double pass_ms = 0;
    double read_ms = 0;
    double late_ms = 0;     // Of `read_ms`: came after `starts_from`.
    double carried_ms = 0;  // May have been left by the pass before.
    std::vector<Part> parts;

    Time Ends() const;
  };

  // Forgets passes that have ended; their parts stay unfinished.
  void Advance(Time now);
  double OverdueMs(Time now) const;

  std::vector<Pass> passes_;      // In their order.
  std::vector<Part> unfinished_;  // Of passes that have ended.
};

}  // namespace burdockhatch

#endif  // SRC_PASS_PREDICTOR_H_
