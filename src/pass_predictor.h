// Predicts when an engine prefills the parts sent to it. An engine runs forward
// passes: prompts that arrive during a pass are prefilled together in the next
// one. The prefill of a pass stalls the engine's answers for that pass, so only
// parts in the same pass add up against the gap target of an answer.
#ifndef SRC_PASS_PREDICTOR_H_
#define SRC_PASS_PREDICTOR_H_

#include <cstdint>
#include <vector>

#include "src/clock.h"

namespace burdockhatch {

class PassPredictor {
 public:
  // A prompt, or a part of one, that is sent to the engine for prefill.
  struct Part {
    uint64_t request_id = 0;
    double prefill_ms = 0;
    // Expected time of the first event of the whole prompt. A part that is not
    // reported finished by then counts as pending again, as its engine may be
    // slow.
    Time due{};
  };

  // Adds a part to the next pass. `decode_ms` is the duration of a pass without
  // prefill.
  void AddPart(const Part& part, double decode_ms, Time now);

  // Records that the prompt of the request has been prefilled.
  void FinishPart(uint64_t request_id, Time now);

  // Removes the parts of a request that has ended. A pass that has started
  // keeps its duration.
  void CancelPart(uint64_t request_id, Time now);

  // Returns the prefill time that would share a pass with a part added now.
  double SharedPrefillMs(Time now) const;

  // Returns the time until the prefill of a part added now starts.
  double WaitMs(Time now) const;

 private:
  struct Pass {
    // Bounds of the start time. A part that arrives between them may run in
    // this pass or the next one and counts for both.
    Time earliest_start{};
    Time latest_start{};
    double decode_ms = 0;
    double prefill_ms = 0;
    // Part of prefill_ms that was added after earliest_start.
    double maybe_missed_ms = 0;
    // Prefill that the previous pass may have missed.
    double maybe_carried_ms = 0;
    std::vector<Part> parts;

    Time LatestEnd() const;
  };

  // Drops passes that have ended; their parts stay in unconfirmed_parts_ until
  // they are reported finished or cancelled.
  void RetireEndedPasses(Time now);
  // Returns the prefill time of all parts past their due time whose pass should
  // have ended.
  double OverdueMs(Time now) const;

  std::vector<Pass> passes_;             // In order of start time.
  std::vector<Part> unconfirmed_parts_;  // Parts of passes that have ended.
};

}  // namespace burdockhatch

#endif  // SRC_PASS_PREDICTOR_H_
