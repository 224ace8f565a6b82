// Finds the prompt parts that crash model engines, and decides which requests
// are no longer sent because of them.
//
// A request is evidence when its engine breaks off before the first event of
// the answer. Its parts that no request has been answered with are suspects, as
// one set: each further crash reduces the set to the parts in common, and each
// answer removes the parts of its prompt. While a set is suspect, requests that
// contain all of it are tried one at a time, and after enough crashes they are
// blocked for a limited time. The module knows no clock, network or store: its
// state can be exported, merged and rebuilt.
//
// A request that crashes engines by itself is found by its own mark, see
// request_blame.h. Its crashes count once against the parts that it shares.
#ifndef SRC_CRASH_BLAME_H_
#define SRC_CRASH_BLAME_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "src/clock.h"
#include "src/crash_evidence.h"
#include "src/messages.h"
#include "src/request_blame.h"
#include "src/units.h"

namespace burdockhatch {

// Returns the key of a part of a prompt for `model`. What crashes the engines
// of one model may be harmless for another.
PartKey MakePartKey(std::string_view model, std::string_view part);
PartKey MakePartKey(std::string_view model, uint64_t prefix_hash);
// Returns the mark of the request with the prompt `prompt_hash`, which no part
// has as its key.
PartKey MakeOwnMark(std::string_view model, uint64_t prompt_hash);

class CrashBlame {
 public:
  using Verdict = BlameVerdict;
  using Decision = BlameDecision;
  struct Counters {
    uint64_t crashes = 0;  // Crashes that count against a part.
    uint64_t blocks = 0;
    uint64_t cleared = 0;  // Suspect sets cleared by answers.
    uint64_t refused = 0;  // Requests refused, as counted by CountRefusal().
    uint64_t waits = 0;    // Requests that waited for a trial.
  };

  explicit CrashBlame(CrashBlameLimits limits = {})
      : limits_(limits), requests_(limits) {}

  // Returns whether a request with these parts may be sent now. `trial` is
  // unique to the attempt. `own_mark` is PartKey() if the request has none.
  Decision Check(const PartKeys& parts,
                 uint64_t trial,
                 Time now,
                 PartKey own_mark = PartKey()) const;
  // Whether as many requests are in progress as may share one of these parts
  // that no request was answered with.
  bool IsCrowded(const PartKeys& parts, Time now) const;
  // Records that the attempt is sent. If a part is suspect, other requests with
  // the same suspect parts wait until EndTrial().
  void OnSent(const PartKeys& parts,
              uint64_t trial,
              Time now,
              PartKey own_mark = PartKey());
  // The attempt has ended or has delivered its first event.
  void EndTrial(uint64_t trial);

  // Records that an attempt with these parts has delivered its first event.
  void OnAnswer(const PartKeys& parts, Time now, PartKey own_mark = PartKey());
  // Records that `target` broke off an attempt, sent at `sent_at`, before its
  // first event.
  void OnCrash(const PartKeys& parts,
               std::string_view target,
               Time sent_at,
               CrashEvidence evidence,
               Time now,
               PartKey own_mark = PartKey());
  // Ends the suspicion and the block of a part, as an operator may. Returns
  // whether the part was suspect.
  bool Lift(PartKey part, Time now);

  // Adds what another process knows. Idempotent: a crash that is known already
  // does not count again.
  void Merge(const BlameReport& report, Time now);
  // Returns all suspects, and the parts answered most recently.
  BlameReport Export(Time now) const;
  // Returns what has changed since the last call, for other processes: suspects
  // that need trials or have been blocked, and answers that have cleared one of
  // these. Most suspicions are cleared soon and are not worth a message to each
  // process.
  BlameReport TakeChanges(Time now);

  // Returns the requests that have been blocked by themselves since the last
  // call.
  BlameReport TakeBlockedRequests(Time now);

  // Returns all suspects that TakeChanges() would tell of, changed or not.
  BlameReport ExportShared(Time now) const;

  // Whether this process blocks parts by its own judgement. One that knows only
  // few of the requests collects evidence and blocks what others have blocked.
  // True until it is set.
  void SetJudging(bool judging) {
    is_judging_ = judging;
    requests_.SetJudging(judging);
  }
  // The same for requests by themselves, which need no knowledge of answers to
  // others.
  void SetJudgingRequests(bool judging) { requests_.SetJudging(judging); }
  // Whether TakeChanges() tells of requests that are suspect by themselves.
  // True until it is set.
  void SetTellsRequests(bool tells) { requests_.SetTellsSuspects(tells); }

  // Forgets what has expired, at most once a second.
  void Prune(Time now);

  void CountRefusal() { ++counters_.refused; }
  void CountWait() { ++counters_.waits; }
  Counters counters() const;
  size_t suspect_count() const {
    return suspects_.size() + requests_.suspect_count();
  }
  uint32_t CountBlocked(Time now) const;

  // Returns the limits, counters and suspects as JSON.
  std::string Dump(Time now) const;

 private:
  struct Suspect {
    PartKeys parts;  // Sorted.
    // Requests with these parts were answered before the crashes.
    bool was_answered = false;
    CrashSightings sightings;
    uint32_t blocks = 0;  // Times blocked.
    Time blocked_until{};
    std::optional<uint64_t> trial;  // The attempt that is being tried.
    Time trial_since{};
    bool changed = false;  // Since the last TakeChanges().

    bool IsBlocked(Time now) const { return now < blocked_until; }
  };

  bool IsAnswered(PartKey part, Time now) const;
  void RemoveUnansweredAttempt(uint64_t trial);
  // Whether another attempt with all of these parts is in progress, whose
  // outcome will tell whether they crash targets.
  bool IsBeingTried(const Suspect& suspect, uint64_t trial, Time now) const;
  bool NeedsTrial(const Suspect& suspect, Time now) const;
  // Whether the suspect is told to other processes.
  bool IsShared(const Suspect& suspect, Time now) const;
  // Returns the parts that a crash of a request may be due to: those that no
  // request was answered with, or all of them if there is none.
  PartKeys Candidates(const PartKeys& parts, Time now) const;
  // Reduces suspects that share only some of their parts with the candidates to
  // these.
  void ReduceSuspects(const PartKeys& parts, const PartKeys& candidates);
  std::vector<size_t> FindSuspectsIn(const PartKeys& parts) const;
  size_t AddSuspect(PartKeys parts, bool was_answered);
  bool IsBlockDue(const Suspect& suspect, Time now) const;
  void Block(Suspect& suspect, Time now);
  // Blocks those of `matching` that are due and not contained in another one
  // that is due: the larger set explains the same crash and blocks fewer
  // requests.
  void BlockLargestDue(const std::vector<size_t>& matching, Time now);
  void MergeEqualSuspects();
  void MergeRecord(const BlameRecord& record, Time now);
  // Removes the parts of a record that others suspect because they do not know
  // that requests were answered with them, and tells them.
  void RemoveAnsweredParts(const BlameRecord& record,
                           PartKeys* parts,
                           Time now);
  // Tells others of the last answer with the part, at most once in
  // kCorrectionInterval.
  void CorrectOthers(PartKey part, Time now);
  // Returns the crashes of a record that no answer known here has followed.
  CrashSightings UnrefutedSightings(const BlameRecord& record,
                                    const PartKeys& parts,
                                    Time now) const;
  // Whether a block rests on crashes that answers known here have followed.
  // Tells others if so.
  bool IsRefutedBlock(const BlameRecord& record,
                      const CrashSightings& sightings,
                      const PartKeys& parts,
                      Time now);
  // Reconsiders suspects in the light of an answer that others have told of.
  void ApplyEarlierAnswer(PartKey part, Time now);
  // Removes the part from suspects whose last crash is before `answered_at`.
  // Returns whether other processes know one of these.
  bool ClearPart(PartKey part, Time answered_at, Time now);
  void RememberAnswer(PartKey part, Time at, Time now);
  BlameRecord MakeRecord(const Suspect& suspect, Time now) const;

  CrashBlameLimits limits_;
  RequestBlame requests_;
  std::vector<Suspect> suspects_;
  absl::flat_hash_map<PartKey, Time> answered_;  // Time of the last answer.
  // Attempts in progress with parts that no request was answered with when they
  // were sent, and the number of these for each part.
  struct UnansweredAttempt {
    PartKeys parts;
    Time sent_at{};
  };
  absl::flat_hash_map<uint64_t, UnansweredAttempt> unanswered_attempts_;
  absl::flat_hash_map<PartKey, uint32_t> unanswered_counts_;
  // Answers to be told to others, because they have cleared a suspect.
  std::vector<std::pair<PartKey, Time>> changed_answers_;
  // Parts about which others were corrected within kCorrectionInterval.
  absl::flat_hash_map<PartKey, Time> corrected_;
  Time next_prune_{};
  bool is_judging_ = true;
  Counters counters_;
};

}  // namespace burdockhatch

#endif  // SRC_CRASH_BLAME_H_
