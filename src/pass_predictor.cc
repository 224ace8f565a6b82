#include "src/pass_predictor.h"

#include <algorithm>
#include <iterator>

#include "src/units.h"

namespace burdockhatch {

namespace {

// Delay from the placement decision to the engine: two messages and a new
// connection.
constexpr Duration kSendDelay = std::chrono::milliseconds(8);
// Parts sent within this time of each other run in the same pass.
constexpr Duration kSamePassWindow = std::chrono::milliseconds(2);
// Fixed margin added to the duration of each pass. If a pass were assumed to
// end too early, its capacity would be used twice.
constexpr double kPassMarginMs = 20;
// Further margin, relative to the prefill of the pass.
constexpr double kPrefillMargin = 0.1;

void EraseRequest(std::vector<PassPredictor::Part>* parts,
                  uint64_t request_id) {
  std::erase_if(*parts, [request_id](const auto& it) {
    return it.request_id == request_id;
  });
}

}  // namespace

Time PassPredictor::Pass::LatestEnd() const {
  return latest_start +
         FromMs(decode_ms +
                (prefill_ms + maybe_carried_ms) * (1 + kPrefillMargin) +
                kPassMarginMs);
}

void PassPredictor::RetireEndedPasses(Time now) {
  while (!passes_.empty() && now >= passes_.front().LatestEnd()) {
    std::vector<Part>& parts = passes_.front().parts;
    unconfirmed_parts_.insert(unconfirmed_parts_.end(), parts.begin(),
                              parts.end());
    passes_.erase(passes_.begin());
  }
}

void PassPredictor::AddPart(const Part& part, double decode_ms, Time now) {
  RetireEndedPasses(now);
  if (passes_.empty() || now >= passes_.back().latest_start) {
    Pass pass;
    pass.decode_ms = decode_ms;
    pass.earliest_start = now + kSamePassWindow;
    pass.latest_start = now + kSendDelay + FromMs(decode_ms);
    if (!passes_.empty()) {
      const Pass& last = passes_.back();
      pass.latest_start = std::max(pass.latest_start, last.LatestEnd());
      const double uncertainty_ms =
          decode_ms + kPassMarginMs + last.prefill_ms * kPrefillMargin;
      pass.earliest_start = std::max(pass.earliest_start,
                                     last.LatestEnd() - FromMs(uncertainty_ms));
      pass.maybe_carried_ms = last.maybe_missed_ms;
    }
    passes_.push_back(std::move(pass));
  }
  Pass& pass = passes_.back();
  pass.prefill_ms += part.prefill_ms;
  pass.maybe_missed_ms += now > pass.earliest_start ? part.prefill_ms : 0;
  pass.parts.push_back(part);
}

void PassPredictor::FinishPart(uint64_t request_id, Time now) {
  RetireEndedPasses(now);
  EraseRequest(&unconfirmed_parts_, request_id);
  const auto pass =
      std::find_if(passes_.begin(), passes_.end(), [&](const Pass& it) {
        return std::any_of(
            it.parts.begin(), it.parts.end(),
            [&](const Part& part) { return part.request_id == request_id; });
      });
  if (pass == passes_.end()) {
    return;
  }
  for (const Part& it : pass->parts) {
    pass->prefill_ms -= it.request_id == request_id ? it.prefill_ms : 0;
  }
  EraseRequest(&pass->parts, request_id);
  if (pass->parts.empty()) {
    // The last known part has finished, so this pass and those before it have
    // ended. Remaining parts of earlier passes may have arrived too late for
    // theirs and stay unconfirmed until they finish.
    const auto next = std::next(pass);
    for (auto it = passes_.begin(); it != next; ++it) {
      unconfirmed_parts_.insert(unconfirmed_parts_.end(), it->parts.begin(),
                                it->parts.end());
    }
    passes_.erase(passes_.begin(), next);
    if (!passes_.empty()) {
      Pass& front = passes_.front();
      front.latest_start = std::min(front.latest_start, now + kSendDelay);
    }
  }
}

void PassPredictor::CancelPart(uint64_t request_id, Time now) {
  RetireEndedPasses(now);
  EraseRequest(&unconfirmed_parts_, request_id);
  for (Pass& pass : passes_) {
    if (now < pass.latest_start) {
      for (const Part& it : pass.parts) {
        pass.prefill_ms -= it.request_id == request_id ? it.prefill_ms : 0;
      }
    }
    EraseRequest(&pass.parts, request_id);
  }
}

double PassPredictor::OverdueMs(Time now) const {
  double sum = 0;
  const auto add = [&](const std::vector<Part>& parts) {
    for (const Part& it : parts) {
      sum += now >= it.due ? it.prefill_ms : 0;
    }
  };
  add(unconfirmed_parts_);
  for (const Pass& it : passes_) {
    if (now >= it.LatestEnd()) {
      add(it.parts);
    }
  }
  return sum;
}

double PassPredictor::SharedPrefillMs(Time now) const {
  double shared = OverdueMs(now);
  if (!passes_.empty()) {
    const Pass& last = passes_.back();
    if (now < last.latest_start) {
      shared += last.prefill_ms + last.maybe_carried_ms;
    } else if (now < last.LatestEnd()) {
      shared += last.maybe_missed_ms;
    }
  }
  return shared;
}

double PassPredictor::WaitMs(Time now) const {
  double wait = OverdueMs(now);
  if (passes_.empty()) {
    return wait;
  }
  const Pass& last = passes_.back();
  if (now < last.latest_start) {
    wait +=
        ToMs(last.latest_start - now) + last.prefill_ms + last.maybe_carried_ms;
  } else if (now < last.LatestEnd()) {
    wait += ToMs(last.LatestEnd() - now);
  }
  return wait;
}

}  // namespace burdockhatch
