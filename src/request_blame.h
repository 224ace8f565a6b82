// Finds the requests that crash engines by themselves, whatever parts of their
// prompts they share with others.
//
// A request is known by its own mark, which stays the same when its client
// sends it again, through any entry. A mark is remembered only while a crash
// counts against it, so the cost does not grow with the requests that are
// answered. Requests that were only beside a crash are tried one at a time and
// cleared by their answer.
#ifndef SRC_REQUEST_BLAME_H_
#define SRC_REQUEST_BLAME_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "src/clock.h"
#include "src/crash_evidence.h"
#include "src/messages.h"
#include "src/units.h"

namespace burdockhatch {

class RequestBlame {
 public:
  // Marks that are remembered; the one with the least evidence is dropped.
  static constexpr size_t kMaxSuspects = 512;

  struct Counters {
    uint64_t crashes = 0;  // Crashes that count against a mark.
    uint64_t blocks = 0;
    uint64_t cleared = 0;
  };

  explicit RequestBlame(const CrashBlameLimits& limits) : limits_(limits) {}

  // Marks may be PartKey(): such requests are always sent and never suspect.
  BlameDecision Check(PartKey mark, uint64_t trial, Time now) const;
  void OnSent(PartKey mark, uint64_t trial, Time now);
  // The attempt has ended or has delivered its first event.
  void EndTrial(uint64_t trial);
  void OnCrash(const CrashSighting& sighting, Time now);
  // A request with the mark has been answered, or an operator lifts the block.
  // Returns whether the mark was suspect.
  bool Clear(PartKey mark, Time answered_at, Time now);

  // Adds what another process knows. Idempotent.
  void Merge(const BlameRecord& record, Time now);
  // Appends all suspects, those with the most evidence first.
  void Export(Time now, BlameReport* report) const;
  // Appends the suspects that other processes are told of.
  void ExportShared(Time now, BlameReport* report) const;
  // Appends what has changed since the last call. A process that does not tell
  // of suspects tells only of answers that have cleared a blocked mark.
  void TakeChanges(Time now, BlameReport* report);

  // Appends the marks that have been blocked since the last call.
  void TakeBlocked(Time now, BlameReport* report);

  void SetJudging(bool judging) { is_judging_ = judging; }
  void SetTellsSuspects(bool tells) { tells_suspects_ = tells; }
  void Prune(Time now);

  const Counters& counters() const { return counters_; }
  // Marks that need trials or are blocked.
  size_t suspect_count() const;
  uint32_t CountBlocked(Time now) const;
  // Appends the marks that need trials or are blocked as JSON objects.
  void Dump(Time now, std::string* suspects) const;

 private:
  struct Suspect {
    CrashSightings sightings;
    uint32_t blocks = 0;  // Times blocked.
    Time blocked_until{};
    bool changed = false;  // Since the last TakeChanges().

    bool IsBlocked(Time now) const { return now < blocked_until; }
    // Whether the crashes are reason enough to try requests one at a time.
    bool IsStrong() const {
      return blocks > 0 || TotalWeight(sightings) >= kFullCrashWeight;
    }
  };
  struct OpenAttempt {
    PartKey mark;
    Time sent_at{};
  };

  // Returns the suspect of the mark, which is added if it is not known.
  Suspect& FindOrAdd(PartKey mark);
  void DropLeast();
  bool IsBlockDue(const Suspect& suspect, Time now) const;
  // Ends the blocks of requests with exactly the same evidence. Returns whether
  // there are any.
  bool UnblockTwins(PartKey mark, const Suspect& suspect);
  void BlockIfDue(PartKey mark, Suspect& suspect, Time now);
  void RememberBlocked(PartKey mark);
  // Whether another attempt with the mark is in progress.
  bool IsBeingTried(PartKey mark, uint64_t trial, Time now) const;
  void RememberCleared(PartKey mark, Time answered_at, Time now);
  BlameRecord MakeRecord(PartKey mark, const Suspect& suspect, Time now) const;

  CrashBlameLimits limits_;
  absl::flat_hash_map<PartKey, Suspect> suspects_;
  // Attempts in progress, by trial and by mark.
  absl::flat_hash_map<uint64_t, OpenAttempt> open_;
  absl::flat_hash_map<PartKey, std::vector<uint64_t>> trials_;
  // Time of the answer that has cleared a mark, so that a late report does not
  // make it suspect again.
  absl::flat_hash_map<PartKey, Time> cleared_;
  // Answers to be told to others.
  std::vector<std::pair<PartKey, Time>> changed_answers_;
  std::vector<PartKey> newly_blocked_;  // Since the last TakeBlocked().
  bool has_changes_ = false;            // Since the last TakeChanges().
  bool is_judging_ = true;
  bool tells_suspects_ = true;
  Counters counters_;
};

}  // namespace burdockhatch

#endif  // SRC_REQUEST_BLAME_H_
