#include "src/pass_predictor.h"

#include <algorithm>
#include <iterator>

#include "src/units.h"

namespace burdockhatch {

namespace {

// From the decision to the engine: two messages and a new connection.
constexpr Duration kSendDelay = std::chrono::milliseconds(8);
// Parts that are sent within this time share a pass.
constexpr Duration kTogether = std::chrono::milliseconds(2);
// Added to each pass and to its reading, as a pass that is taken to have ended
// too soon would make room twice.
constexpr double kPassMarginMs = 20;
constexpr double kReadMargin = 0.1;

void Erase(std::vector<PassPredictor::Part>* parts, uint64_t work) {
  std::erase_if(*parts, [work](const auto& it) { return it.work == work; });
}

}  // namespace

Time PassPredictor::Pass::Ends() const {
  return starts_by +
         FromMs(pass_ms + (read_ms + carried_ms) * (1 + kReadMargin) +
                kPassMarginMs);
}

void PassPredictor::Advance(Time now) {
  while (!passes_.empty() && now >= passes_.front().Ends()) {
    std::vector<Part>& parts = passes_.front().parts;
    unfinished_.insert(unfinished_.end(), parts.begin(), parts.end());
    passes_.erase(passes_.begin());
  }
}

void PassPredictor::Add(const Part& part, double pass_ms, Time now) {
  Advance(now);
  if (passes_.empty() || now >= passes_.back().starts_by) {
    Pass pass;
    pass.pass_ms = pass_ms;
    pass.starts_from = now + kTogether;
    pass.starts_by = now + kSendDelay + FromMs(pass_ms);
    if (!passes_.empty()) {
      const Pass& last = passes_.back();
      pass.starts_by = std::max(pass.starts_by, last.Ends());
      const double unsure_ms =
          pass_ms + kPassMarginMs + last.read_ms * kReadMargin;
      pass.starts_from =
          std::max(pass.starts_from, last.Ends() - FromMs(unsure_ms));
      pass.carried_ms = last.late_ms;
    }
    passes_.push_back(std::move(pass));
  }
  Pass& pass = passes_.back();
  pass.read_ms += part.read_ms;
  pass.late_ms += now > pass.starts_from ? part.read_ms : 0;
  pass.parts.push_back(part);
}

void PassPredictor::Finish(uint64_t work, Time now) {
  Advance(now);
  Erase(&unfinished_, work);
  const auto pass =
      std::find_if(passes_.begin(), passes_.end(), [&](const Pass& it) {
        return std::any_of(it.parts.begin(), it.parts.end(),
                           [&](const Part& part) { return part.work == work; });
      });
  if (pass == passes_.end()) {
    return;
  }
  for (const Part& it : pass->parts) {
    pass->read_ms -= it.work == work ? it.read_ms : 0;
  }
  Erase(&pass->parts, work);
  // Its pass is over, and those before it. What else was to share the pass may
  // have come too late for it, so that it counts until its own end.
  if (pass->parts.empty()) {
    const auto next = std::next(pass);
    for (auto it = passes_.begin(); it != next; ++it) {
      unfinished_.insert(unfinished_.end(), it->parts.begin(), it->parts.end());
    }
    passes_.erase(passes_.begin(), next);
    if (!passes_.empty()) {
      Pass& front = passes_.front();
      front.starts_by = std::min(front.starts_by, now + kSendDelay);
    }
  }
}

void PassPredictor::Cancel(uint64_t work, Time now) {
  Advance(now);
  Erase(&unfinished_, work);
  for (Pass& pass : passes_) {
    if (now < pass.starts_by) {
      for (const Part& it : pass.parts) {
        pass.read_ms -= it.work == work ? it.read_ms : 0;
      }
    }
    Erase(&pass.parts, work);
  }
}

double PassPredictor::OverdueMs(Time now) const {
  double sum = 0;
  const auto add = [&](const std::vector<Part>& parts) {
    for (const Part& it : parts) {
      sum += now >= it.due ? it.read_ms : 0;
    }
  };
  add(unfinished_);
  for (const Pass& it : passes_) {
    if (now >= it.Ends()) {
      add(it.parts);
    }
  }
  return sum;
}

double PassPredictor::SharedMs(Time now) const {
  double shared = OverdueMs(now);
  if (!passes_.empty()) {
    const Pass& last = passes_.back();
    if (now < last.starts_by) {
      shared += last.read_ms + last.carried_ms;
    } else if (now < last.Ends()) {
      shared += last.late_ms;
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
  if (now < last.starts_by) {
    wait += ToMs(last.starts_by - now) + last.read_ms + last.carried_ms;
  } else if (now < last.Ends()) {
    wait += ToMs(last.Ends() - now);
  }
  return wait;
}

}  // namespace burdockhatch
