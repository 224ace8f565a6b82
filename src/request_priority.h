// Decides, for the requests that wait for engines of one service, which are
// tried first, which are shed because not all can be in time, and when their
// callers are told to come back. Needs no network.
//
// Priorities order the short prompts among themselves and the long ones among
// themselves: a long prompt never passes a short one because of its priority,
// so that one long prompt cannot block many short ones.
//
// If all requests have the same priority, the decisions do not depend on it.
#ifndef SRC_REQUEST_PRIORITY_H_
#define SRC_REQUEST_PRIORITY_H_

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "src/clock.h"
#include "src/priority.h"
#include "src/units.h"

namespace burdockhatch {

// Requests that no other kind may starve.
struct RequestKind {
  Priority priority;
  int size_class = 0;  // Binary logarithm of the prompt's tokens.

  auto operator<=>(const RequestKind&) const = default;
};

RequestKind KindOf(Priority priority, Tokens prompt);

// Moving averages of the requests of each kind that were served and that were
// not. A kind lags if it is served much less often than the others, or less
// often than less urgent prompts of its size; it is then tried first.
class ServedShares {
 public:
  void OnServed(const RequestKind& kind, Time now);
  // The request was refused, or its caller left, before it was placed.
  void OnUnserved(const RequestKind& kind, Time now);

  // Whether recent requests had more than one priority.
  bool HasSeveralPriorities() const;
  bool Lags(const RequestKind& kind) const { return lagging_.contains(kind); }

 private:
  struct Share {
    double served = 0;
    double unserved = 0;

    double ended() const { return served + unserved; }
    double Ratio() const { return ended() > 0 ? served / ended() : 1; }
  };

  void Decay(Time now);
  void UpdateLagging();
  bool IsLagging(const RequestKind& kind, const Share& own) const;

  std::map<RequestKind, Share> shares_;
  std::set<RequestKind> lagging_;
  Time decayed_at_{};
};

// Times at which refused callers are told to come back: one after the other,
// each after those that are as urgent or more urgent.
class ReturnSchedule {
 public:
  // Returns a time from `earliest` to `latest`. The next caller that is not
  // more urgent comes `interval` later.
  Time Assign(Priority priority, Time earliest, Time latest, Duration interval);

 private:
  std::array<Time, kPriorityCount> next_{};
};

struct WaitingRequest {
  Priority priority = kMiddlePriority;
  bool lags = false;  // Its kind does.
  bool is_long = false;
  double prefill_ms = 0;
  Time asked_at{};
  Time first_event_by{};
};

// Returns whether `a` is tried before `b` for their urgency alone.
bool IsMoreUrgent(const WaitingRequest& a, const WaitingRequest& b);

struct EngineLoad {
  double engines = 1;  // That prefill long prompts.
  double busy_ms = 0;  // Prefill in progress on each of them.
};

struct QueuePlan {
  struct Shed {
    size_t request = 0;
    Duration retry_after{0};
  };
  // Positions of the requests in `waiting`. `order` holds those that are kept,
  // in the order in which they are tried.
  std::vector<size_t> order;
  std::vector<Shed> shed;
};

// Longest delay after which a refused caller is told to come back.
inline constexpr Duration kMaxShedReturnDelay = std::chrono::seconds(5);

QueuePlan PlanQueue(const std::vector<WaitingRequest>& waiting,
                    const EngineLoad& load,
                    ReturnSchedule& returns,
                    Time now);

}  // namespace burdockhatch

#endif  // SRC_REQUEST_PRIORITY_H_
