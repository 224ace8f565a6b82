// Places the requests of all entries on the engines of a service. One agent
// runs it for each service; its state is rebuilt from the entries.
//
// An engine stops writing while it reads, so a long prompt delays every answer
// on the engine that reads it. Short prompts therefore share as few engines as
// hold them, and long prompts are read in parts by the others, one after the
// other. The border moves with the number of short requests in progress.
#ifndef SRC_PLACEMENT_SCHEDULER_H_
#define SRC_PLACEMENT_SCHEDULER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/ids.h"
#include "src/messages.h"
#include "src/pass_predictor.h"
#include "src/units.h"

namespace burdockhatch {

// Equal for lists of the same targets of which the same are cold.
uint64_t TargetListFingerprint(const TargetList& list);

class PlacementScheduler {
 public:
  struct Decision {
    PeerId entry;
    PlacementReply reply;
  };

  // `cold_share` of a cold target's rate is used by this scheduler.
  explicit PlacementScheduler(double cold_share = 0.5)
      : cold_share_(cold_share) {}

  // Takes the list unless a newer one is known. An equal revision is taken too:
  // the withdrawals of an entry may have changed.
  void SetTargets(const TargetList& list, Time now);

  // Decides at once, or queues the request.
  void RequestPlacement(const PeerId& entry, const PlacementAsk& ask, Time now);

  void ApplyChange(const PeerId& entry,
                   const PlacementChange& change,
                   Time now);

  // Replaces what is known of the entry's placed work. Work placed within
  // kSnapshotDelay stays, as the reply may still be under way.
  void Restore(const PeerId& entry,
               const PlacementSnapshot& snapshot,
               Time now);

  // Adds work that another scheduler has placed.
  void Adopt(const PeerId& entry, const PlacedWork& work, Time now);

  void ForgetEntry(const PeerId& entry, Time now);

  // Places what waits; call it every kPlacementTickInterval while HasWaiting().
  void Tick(Time now);

  bool HasWaiting() const;
  std::vector<Decision> TakeDecisions();
  PlacementSnapshot MakeSnapshot(const PeerId& entry) const;

  // JSON text.
  std::string Dump(Time now) const;

 private:
  using WorkKey = std::pair<PeerId, uint64_t>;

  struct Work {
    PlacedWork placed;
    uint64_t serial = 0;  // Unique among the works of the scheduler.
    Time placed_at{};
    Duration expected_first_event{0};
    double part_ms = 0;  // Read by each of its targets.
    bool is_long = false;
  };

  struct Target {
    TargetDescription description;
    bool listed = false;
    Time cold_until{};
    Time next_cold_request{};
    uint32_t short_answers = 0;
    uint32_t long_answers = 0;
    uint32_t writing = 0;  // Answers whose first event has come.
    uint32_t reading = 0;  // Prompts that it reads, whole or in part.
    Tokens memory_used;
    std::map<Duration, uint32_t> gap_targets;  // Of the answers it writes.
    PassPredictor passes;                      // What it reads.
    Time suspect_until{};
    Duration suspect_for{0};

    uint32_t answers() const { return short_answers + long_answers; }
  };

  struct Waiting {
    PeerId entry;
    PlacementAsk ask;
    Time asked_at{};
    Time first_event_by{};
    Time give_up_at{};
  };

  struct Pool {
    EngineCost cost;
    double cold_requests_per_s = 0;
    uint64_t revision = 0;
    uint64_t fingerprint = 0;
    std::map<TargetId, Target> targets;
    std::vector<Target*> order;  // Short prompts fill it from the front.
    std::map<WorkKey, Work> works;
    std::vector<Waiting> waiting;
    uint32_t short_works = 0;
    uint32_t long_works = 0;
    double long_reading_ms = 0;  // Of the prompts in progress, all parts.
    size_t short_share = 1;      // Targets at the front for short prompts.
    Time shrink_at{};
    Time next_try{};  // Of what waits.
  };

  struct Choice {
    TargetId target;
    std::vector<TargetId> helpers;
    std::vector<MemoryHold> holds;
    double part_ms = 0;
    Duration expected_first_event{0};
  };

  // A target that may read a part of a long prompt.
  struct Candidate {
    Target* target;
    double room_ms;
    double wait_ms;  // Until it can begin.
  };

  // Whether parts of the prompt would fit if the targets read nothing else.
  static bool FitsWhenIdle(const Pool& pool,
                           const std::vector<Candidate>& candidates,
                           double read_ms);
  static bool IsLong(const Pool& pool, Tokens prompt);
  // Of a prompt with its answer, on as many engines as may share one.
  static Tokens MostTokens(const Pool& pool);
  static double PassMsOf(const Pool& pool, const Target& target);
  // Milliseconds of reading that a target could do in one pass without a pause
  // that is too long for the answers it writes, if it read nothing else.
  static double FullRoomMs(const Pool& pool, const Target& target);
  // What is left of it now.
  static double ReadRoomMs(const Pool& pool, const Target& target, Time now);
  bool IsAvailable(const Target& target,
                   const PlacementAsk& ask,
                   Time now) const;
  static void UpdateShortShare(Pool& pool, double long_read_ms, Time now);
  // Milliseconds of reading of long prompts that wait or are being read.
  static double LongReadMs(const Pool& pool);
  std::optional<Choice> Choose(Pool& pool, const Waiting& waiting, Time now);
  std::optional<Choice> ChooseShort(Pool& pool,
                                    const Waiting& waiting,
                                    Time now);
  std::optional<Choice> ChooseLong(Pool& pool,
                                   const Waiting& waiting,
                                   Time now);
  static std::optional<Choice> ChooseAgainstPauses(
      const Pool& pool,
      const Waiting& waiting,
      std::vector<Candidate> candidates,
      Time now);
  static std::optional<uint32_t> AnswersPaused(const Pool& pool,
                                               const PlacementAsk& ask,
                                               const Target& target,
                                               double part_ms);
  // Splits the prompt among engines that read nothing, so that few answers of
  // a shorter gap target pause for too long.
  static std::optional<Choice> SplitPausingFew(
      const Pool& pool,
      const PlacementAsk& ask,
      std::vector<Candidate> candidates);
  // Parts of the prompt that are small enough for the largest room.
  static size_t LeastParts(const std::vector<Candidate>& candidates,
                           double read_ms);
  // Splits the prompt among `candidates`, whose answers it does not pause for
  // too long; nullopt when it cannot.
  static std::optional<Choice> Split(const Pool& pool,
                                     const PlacementAsk& ask,
                                     std::vector<Candidate> candidates);
  // The candidate that is to keep the prompt and write the answer; null when
  // none has room for it.
  static const Candidate* ChooseWriter(const Pool& pool,
                                       const PlacementAsk& ask,
                                       const std::vector<Candidate>& candidates,
                                       double part_ms);
  // Whether the prompt and its answer need the memory of several engines.
  static bool IsOversize(const Pool& pool, const PlacementAsk& ask);
  // Divides an oversize prompt among the writer's memory and that of helpers;
  // nullopt when they have too little.
  static std::optional<std::vector<MemoryHold>> ChooseHolds(
      const Pool& pool,
      const PlacementAsk& ask,
      const Target& writer,
      std::vector<const Target*> helpers);
  // The same with `parts` parts on the first candidates, whatever the pauses.
  static std::optional<Choice> SplitInto(
      const Pool& pool,
      const PlacementAsk& ask,
      const std::vector<Candidate>& candidates,
      size_t parts);
  // Orders what waits: first what can still be in time, by urgency. Refuses
  // what cannot be served any more.
  void SortWaiting(Pool& pool, Time now);
  void Place(Pool& pool, const Waiting& waiting, Choice choice, Time now);
  void AddWork(Pool& pool, const WorkKey& key, Work work, Time now);
  // `was_read`: its first event has come.
  static void EndReading(Pool& pool, Work& work, bool was_read, Time now);
  static void EndWork(Pool& pool,
                      std::map<WorkKey, Work>::iterator work,
                      Time now);
  void Refuse(const Waiting& waiting, Duration retry_after);
  void PlaceWaiting(Pool& pool, Time now);

  double cold_share_;
  std::map<ServiceId, Pool> pools_;
  std::set<PeerId> entries_;
  uint64_t next_serial_ = 1;
  std::vector<Decision> decisions_;
};

// Interval at which waiting requests are tried again.
inline constexpr Duration kPlacementTickInterval =
    std::chrono::milliseconds(10);

}  // namespace burdockhatch

#endif  // SRC_PLACEMENT_SCHEDULER_H_
