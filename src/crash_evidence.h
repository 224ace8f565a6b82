// The evidence of crashes that crash_blame.h and request_blame.h judge by.
#ifndef SRC_CRASH_EVIDENCE_H_
#define SRC_CRASH_EVIDENCE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/clock.h"
#include "src/messages.h"
#include "src/units.h"

namespace burdockhatch {

struct CrashBlameLimits {
  bool enabled = true;
  // Crashes, one after the other and without an answer between them, after
  // which requests with the suspect parts are blocked.
  uint32_t crashes = 2;
  // The same for parts that requests were answered with within `memory`.
  uint32_t answered_crashes = 4;
  // Time for which a crash or an answer counts.
  Duration memory = std::chrono::seconds(60);
  // Duration of the first block. Each further block of the same parts is
  // kBlockGrowth times as long, up to `max_block`.
  Duration block = std::chrono::minutes(2);
  Duration max_block = std::chrono::hours(24);
  // Requests in progress, without an event so far, that share a part which no
  // request was answered with within `memory`. The first crash of such a part
  // can take down that many targets.
  uint32_t max_unanswered = 3;
  // Sets of suspect parts that are remembered.
  uint32_t max_suspects = 256;
  // Parts that requests were answered with that are remembered.
  uint32_t max_answered_parts = 4096;

  static constexpr int kBlockGrowth = 4;
};

// How much the end of an attempt says about the request's parts. The values are
// weights: a crash that counts in full has the weight kAtStart.
enum class CrashEvidence : uint8_t {
  kUnanswered = 1,  // The engine broke off without a response head.
  kAtStart = 2,     // It broke off between the head and the first event.
};
inline constexpr uint32_t kFullCrashWeight =
    static_cast<uint32_t>(CrashEvidence::kAtStart);
// A trial whose end was not reported is given up after this time.
inline constexpr Duration kTrialTimeout = std::chrono::seconds(5);

enum class BlameVerdict : uint8_t {
  kSend,
  kWait,  // Another suspect request is being tried.
  kBlocked,
};

struct BlameDecision {
  BlameVerdict verdict = BlameVerdict::kSend;
  // With kSend: the request is suspect, so its engine may crash.
  bool is_trial = false;
  Duration blocked_left{0};  // With kBlocked.
};

// A crash under a suspect request.
struct CrashSighting {
  uint64_t target = 0;  // Hash of the target's id.
  uint32_t weight = 0;
  PartKey own_mark;  // Of the request; PartKey() if it has none.
  Time sent_at{};    // Of the request.
  Time at{};         // Of the crash.
};
using CrashSightings = std::vector<CrashSighting>;

// Whether both tell of the same crash of a target.
bool IsSameCrash(const CrashSighting& a, const CrashSighting& b);

// Adds a crash in the order of time. Returns false if it is known or coincides
// with one that is: no request was sent before the crash that precedes its own,
// so that a loss of many targets at one moment counts as one crash.
bool AddSighting(const CrashSighting& sighting, CrashSightings* sightings);

uint32_t TotalWeight(const CrashSightings& sightings);
// As TotalWeight(), but the crashes of one request count as the heaviest one of
// them, as they say nothing about the parts that it shares with others.
uint32_t WeightByRequests(const CrashSightings& sightings);

// Returns the duration of the `blocks`th block in a row.
Duration BlockLength(const CrashBlameLimits& limits, uint32_t blocks);
// Returns the time at which a suspect that has been blocked `blocks` times is
// forgotten. The next block is longer only while the suspect is remembered, so
// it is kept for as long again as it was blocked.
Time SuspectExpiry(const CrashBlameLimits& limits,
                   const CrashSightings& sightings,
                   uint32_t blocks,
                   Time blocked_until);
// Returns the end of the block that a record tells of. The end of a past block
// follows from its last crash. Counted from now, it would move on with each
// report, and the suspect would never expire.
Time LearnedBlockEnd(const CrashBlameLimits& limits,
                     const BlameRecord& record,
                     Time now);

std::vector<BlameRecord::Sighting> ToRecord(const CrashSightings& sightings,
                                            Time now);
CrashSighting FromRecord(const BlameRecord::Sighting& sighting, Time now);
// Returns the time since the last crash of a record, which is not empty.
Duration LastCrashAge(const BlameRecord& record);

std::string FormatKeys(const PartKeys& parts);
std::string FormatSeconds(Duration duration);
// Returns a suspect as a JSON object, for CrashBlame::Dump().
std::string DumpSuspect(const BlameRecord& record, std::string_view state);

}  // namespace burdockhatch

#endif  // SRC_CRASH_EVIDENCE_H_
