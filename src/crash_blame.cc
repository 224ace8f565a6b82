#include "src/crash_blame.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "src/log.h"
#include "src/random.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

// Many processes may pass on the same wrong block at once.
constexpr Duration kCorrectionInterval = std::chrono::seconds(1);
// Distinguishes the mark of a request from the key of a part with the same id.
constexpr uint64_t kOwnMarkSalt = 0x6f776e;
constexpr Duration kPruneInterval = std::chrono::seconds(1);
bool Contains(const PartKeys& parts, PartKey part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

// Whether all of `subset` is in `parts`.
bool ContainsAll(const PartKeys& parts, const PartKeys& subset) {
  return std::all_of(subset.begin(), subset.end(),
                     [&](PartKey it) { return Contains(parts, it); });
}

PartKeys Intersect(const PartKeys& a, const PartKeys& b) {
  PartKeys common;
  std::copy_if(a.begin(), a.end(), std::back_inserter(common),
               [&](PartKey it) { return Contains(b, it); });
  return common;
}

PartKeys Sorted(PartKeys parts) {
  std::sort(parts.begin(), parts.end());
  parts.erase(std::unique(parts.begin(), parts.end()), parts.end());
  return parts;
}

}  // namespace

PartKey MakePartKey(std::string_view model, std::string_view part) {
  return MakePartKey(model, StableHash(part));
}

PartKey MakePartKey(std::string_view model, uint64_t prefix_hash) {
  return PartKey(MixHash(StableHash(model), prefix_hash));
}

PartKey MakeOwnMark(std::string_view model, uint64_t prompt_hash) {
  return PartKey(
      MixHash(kOwnMarkSalt, MakePartKey(model, prompt_hash).value()));
}

// --- Requests ---------------------------------------------------------------

// A part that requests were answered with gets its first trial one crash later,
// as many requests may share it and most crashes have another cause.
bool CrashBlame::NeedsTrial(const Suspect& suspect, Time now) const {
  if (suspect.blocks > 0) {
    return !suspect.IsBlocked(now);
  }
  const uint32_t crashes = suspect.was_answered ? 2 : 1;
  return WeightByRequests(suspect.sightings) >= crashes * kFullCrashWeight;
}

bool CrashBlame::IsShared(const Suspect& suspect, Time now) const {
  return suspect.blocks > 0 || NeedsTrial(suspect, now);
}

CrashBlame::Decision CrashBlame::Check(const PartKeys& parts,
                                       uint64_t trial,
                                       Time now,
                                       PartKey own_mark) const {
  Decision decision = requests_.Check(own_mark, trial, now);
  if (parts.empty()) {
    return decision;
  }
  for (const Suspect& it : suspects_) {
    if (!ContainsAll(parts, it.parts)) {
      continue;
    }
    if (it.IsBlocked(now)) {
      decision.verdict = Verdict::kBlocked;
      decision.blocked_left =
          std::max(decision.blocked_left, it.blocked_until - now);
    } else if (decision.verdict == Verdict::kSend && NeedsTrial(it, now)) {
      decision.is_trial = true;
      if (IsBeingTried(it, trial, now)) {
        decision.verdict = Verdict::kWait;
      }
    }
  }
  return decision;
}

bool CrashBlame::IsBeingTried(const Suspect& suspect,
                              uint64_t trial,
                              Time now) const {
  if (suspect.trial && *suspect.trial != trial &&
      now - suspect.trial_since < kTrialTimeout) {
    return true;
  }
  // Attempts that were sent before the parts became suspect.
  return std::any_of(unanswered_attempts_.begin(), unanswered_attempts_.end(),
                     [&](const auto& it) {
                       return it.first != trial &&
                              now - it.second.sent_at < kTrialTimeout &&
                              ContainsAll(it.second.parts, suspect.parts);
                     });
}

bool CrashBlame::IsCrowded(const PartKeys& parts, Time now) const {
  return limits_.enabled &&
         std::any_of(parts.begin(), parts.end(), [&](PartKey part) {
           const auto it = unanswered_counts_.find(part);
           return it != unanswered_counts_.end() &&
                  it->second >= limits_.max_unanswered &&
                  !IsAnswered(part, now);
         });
}

void CrashBlame::OnSent(const PartKeys& parts,
                        uint64_t trial,
                        Time now,
                        PartKey own_mark) {
  requests_.OnSent(own_mark, trial, now);
  RemoveUnansweredAttempt(trial);
  UnansweredAttempt attempt{{}, now};
  for (const PartKey it : Sorted(parts)) {
    if (!IsAnswered(it, now)) {
      attempt.parts.push_back(it);
      ++unanswered_counts_[it];
    }
  }
  if (!attempt.parts.empty()) {
    unanswered_attempts_[trial] = std::move(attempt);
  }
  for (Suspect& it : suspects_) {
    if (!it.IsBlocked(now) && ContainsAll(parts, it.parts)) {
      it.trial = trial;
      it.trial_since = now;
    }
  }
}

void CrashBlame::RemoveUnansweredAttempt(uint64_t trial) {
  const auto attempt = unanswered_attempts_.find(trial);
  if (attempt == unanswered_attempts_.end()) {
    return;
  }
  for (const PartKey it : attempt->second.parts) {
    const auto count = unanswered_counts_.find(it);
    if (--count->second == 0) {
      unanswered_counts_.erase(count);
    }
  }
  unanswered_attempts_.erase(attempt);
}

void CrashBlame::EndTrial(uint64_t trial) {
  requests_.EndTrial(trial);
  RemoveUnansweredAttempt(trial);
  for (Suspect& it : suspects_) {
    if (it.trial == trial) {
      it.trial.reset();
    }
  }
}

// --- Answers ----------------------------------------------------------------

bool CrashBlame::IsAnswered(PartKey part, Time now) const {
  const auto it = answered_.find(part);
  return it != answered_.end() && now - it->second <= limits_.memory;
}

void CrashBlame::RememberAnswer(PartKey part, Time at, Time now) {
  Time& last = answered_[part];
  last = std::max(last, at);
  // Removing the older half at once makes the cost of an answer constant on
  // average.
  if (answered_.size() > limits_.max_answered_parts) {
    std::vector<Time> times;
    for (const auto& [key, time] : answered_) {
      times.push_back(time);
    }
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    const Time oldest_kept = std::max(*middle, now - limits_.memory);
    absl::erase_if(answered_,
                   [&](const auto& it) { return it.second <= oldest_kept; });
  }
}

bool CrashBlame::ClearPart(PartKey part, Time answered_at, Time now) {
  bool was_shared = false;
  for (Suspect& it : suspects_) {
    const auto found = std::find(it.parts.begin(), it.parts.end(), part);
    if (found == it.parts.end() ||
        (!it.sightings.empty() && answered_at < it.sightings.back().at)) {
      continue;
    }
    was_shared = was_shared || IsShared(it, now);
    it.parts.erase(found);
    it.changed = true;
    if (it.parts.empty()) {
      ++counters_.cleared;
    }
    Log(LogLevel::kInfo, "part_cleared",
        {{"part", FormatKeys({part})},
         {"left", FormatKeys(it.parts)},
         {"crash_weight", std::to_string(WeightByRequests(it.sightings))},
         {"was_blocked", it.IsBlocked(now) ? "true" : "false"}});
  }
  std::erase_if(suspects_, [](const Suspect& it) { return it.parts.empty(); });
  MergeEqualSuspects();
  return was_shared;
}

void CrashBlame::OnAnswer(const PartKeys& parts, Time now, PartKey own_mark) {
  if (!limits_.enabled) {
    return;
  }
  requests_.Clear(own_mark, now, now);
  for (const PartKey it : parts) {
    RememberAnswer(it, now, now);
    if (!suspects_.empty() && ClearPart(it, now, now)) {
      changed_answers_.emplace_back(it, now);
    }
  }
}

bool CrashBlame::Lift(PartKey part, Time now) {
  if (requests_.Clear(part, now, now)) {
    changed_answers_.emplace_back(part, now);
    return true;
  }
  const bool was_suspect =
      std::any_of(suspects_.begin(), suspects_.end(),
                  [&](const Suspect& it) { return Contains(it.parts, part); });
  RememberAnswer(part, now, now);
  ClearPart(part, now, now);
  changed_answers_.emplace_back(part, now);
  return was_suspect;
}

// --- Crashes ----------------------------------------------------------------

PartKeys CrashBlame::Candidates(const PartKeys& parts, Time now) const {
  PartKeys candidates;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(candidates),
               [&](PartKey it) { return !IsAnswered(it, now); });
  return Sorted(candidates.empty() ? parts : candidates);
}

void CrashBlame::ReduceSuspects(const PartKeys& parts,
                                const PartKeys& candidates) {
  for (Suspect& it : suspects_) {
    PartKeys common = Intersect(it.parts, candidates);
    if (!common.empty() && !ContainsAll(parts, it.parts)) {
      it.parts = std::move(common);
      it.changed = true;
    }
  }
  MergeEqualSuspects();
}

std::vector<size_t> CrashBlame::FindSuspectsIn(const PartKeys& parts) const {
  std::vector<size_t> found;
  for (size_t i = 0; i < suspects_.size(); ++i) {
    if (ContainsAll(parts, suspects_[i].parts)) {
      found.push_back(i);
    }
  }
  return found;
}

size_t CrashBlame::AddSuspect(PartKeys parts, bool was_answered) {
  if (suspects_.size() >= std::max(limits_.max_suspects, 1U)) {
    // Drops the suspect with the least evidence.
    const auto least = std::min_element(
        suspects_.begin(), suspects_.end(),
        [](const Suspect& a, const Suspect& b) {
          return std::pair(a.blocks, WeightByRequests(a.sightings)) <
                 std::pair(b.blocks, WeightByRequests(b.sightings));
        });
    Log(LogLevel::kWarning, "suspect_part_dropped",
        {{"parts", FormatKeys(least->parts)},
         {"blocks", std::to_string(least->blocks)}});
    suspects_.erase(least);
  }
  Suspect& added = suspects_.emplace_back();
  added.parts = std::move(parts);
  added.was_answered = was_answered;
  return suspects_.size() - 1;
}

bool CrashBlame::IsBlockDue(const Suspect& suspect, Time now) const {
  if (suspect.IsBlocked(now) || !is_judging_) {
    return false;
  }
  if (suspect.blocks > 0) {
    return !suspect.sightings.empty() &&
           suspect.sightings.back().at >= suspect.blocked_until;
  }
  const uint32_t crashes =
      suspect.was_answered ? limits_.answered_crashes : limits_.crashes;
  return WeightByRequests(suspect.sightings) >= crashes * kFullCrashWeight;
}

void CrashBlame::Block(Suspect& suspect, Time now) {
  ++suspect.blocks;
  const Duration length = BlockLength(limits_, suspect.blocks);
  suspect.blocked_until = now + length;
  suspect.changed = true;
  ++counters_.blocks;
  Log(LogLevel::kWarning, "part_blocked",
      {{"parts", FormatKeys(suspect.parts)},
       {"crashes", std::to_string(suspect.sightings.size())},
       {"crash_weight", std::to_string(WeightByRequests(suspect.sightings))},
       {"first_crash_s_ago", FormatSeconds(now - suspect.sightings.front().at)},
       {"blocks", std::to_string(suspect.blocks)},
       {"block_s", FormatSeconds(length)}});
}

void CrashBlame::BlockLargestDue(const std::vector<size_t>& matching,
                                 Time now) {
  std::vector<size_t> due;
  std::copy_if(matching.begin(), matching.end(), std::back_inserter(due),
               [&](size_t i) { return IsBlockDue(suspects_[i], now); });
  for (const size_t i : due) {
    const PartKeys& parts = suspects_[i].parts;
    const bool is_largest = std::none_of(due.begin(), due.end(), [&](size_t j) {
      return suspects_[j].parts.size() > parts.size() &&
             ContainsAll(suspects_[j].parts, parts);
    });
    if (is_largest) {
      Block(suspects_[i], now);
    }
  }
}

void CrashBlame::OnCrash(const PartKeys& parts,
                         std::string_view target,
                         Time sent_at,
                         CrashEvidence evidence,
                         Time now,
                         PartKey own_mark) {
  if (!limits_.enabled) {
    return;
  }
  const CrashSighting sighting{StableHash(target),
                               static_cast<uint32_t>(evidence), own_mark,
                               sent_at, now};
  requests_.OnCrash(sighting, now);
  if (parts.empty()) {
    return;
  }
  const PartKeys candidates = Candidates(parts, now);
  const bool was_answered = IsAnswered(candidates.front(), now);
  const bool is_full = evidence == CrashEvidence::kAtStart;
  // A crash cuts off healthy requests too, before they are answered.
  if (was_answered && !is_full) {
    return;
  }
  if (is_full) {
    ReduceSuspects(parts, candidates);
  }
  std::vector<size_t> found = FindSuspectsIn(parts);
  const bool explained = std::any_of(found.begin(), found.end(), [&](size_t i) {
    const Suspect& it = suspects_[i];
    return it.parts == candidates || it.blocks > 0 ||
           WeightByRequests(it.sightings) >= kFullCrashWeight;
  });
  if (!explained) {
    AddSuspect(candidates, was_answered);
    found = FindSuspectsIn(parts);
  }
  for (const size_t i : found) {
    Suspect& suspect = suspects_[i];
    if (suspect.IsBlocked(now) || !AddSighting(sighting, &suspect.sightings)) {
      continue;
    }
    suspect.changed = true;
    ++counters_.crashes;
    Log(LogLevel::kWarning, "part_suspected",
        {{"parts", FormatKeys(suspect.parts)},
         {"target", std::string(target)},
         {"evidence", is_full ? "at_start" : "unanswered"},
         {"crash_weight", std::to_string(WeightByRequests(suspect.sightings))},
         {"answered_before", suspect.was_answered ? "true" : "false"}});
  }
  BlockLargestDue(found, now);
}

// Suspects become equal when their parts are reduced.
void CrashBlame::MergeEqualSuspects() {
  for (size_t i = 0; i < suspects_.size(); ++i) {
    for (size_t j = suspects_.size() - 1; j > i; --j) {
      Suspect& kept = suspects_[i];
      const Suspect& other = suspects_[j];
      if (kept.parts != other.parts) {
        continue;
      }
      for (const CrashSighting& it : other.sightings) {
        AddSighting(it, &kept.sightings);
      }
      if (other.blocks > kept.blocks) {
        kept.blocks = other.blocks;
        kept.blocked_until = other.blocked_until;
      }
      kept.was_answered = kept.was_answered && other.was_answered;
      kept.changed = true;
      suspects_.erase(suspects_.begin() + static_cast<std::ptrdiff_t>(j));
    }
  }
}

void CrashBlame::Prune(Time now) {
  if (now < next_prune_) {
    return;
  }
  next_prune_ = now + kPruneInterval;
  requests_.Prune(now);
  for (Suspect& it : suspects_) {
    if (it.blocks == 0) {
      std::erase_if(it.sightings, [&](const CrashSighting& sighting) {
        return now - sighting.at > limits_.memory;
      });
    }
  }
  std::erase_if(suspects_, [&](const Suspect& it) {
    if (now <
        SuspectExpiry(limits_, it.sightings, it.blocks, it.blocked_until)) {
      return false;
    }
    Log(LogLevel::kInfo, "suspect_part_expired",
        {{"parts", FormatKeys(it.parts)},
         {"crash_weight", std::to_string(WeightByRequests(it.sightings))},
         {"blocks", std::to_string(it.blocks)}});
    return true;
  });
  absl::erase_if(answered_, [&](const auto& it) {
    return now - it.second > limits_.memory;
  });
  absl::erase_if(corrected_, [&](const auto& it) {
    return now - it.second >= kCorrectionInterval;
  });
  std::vector<uint64_t> lost;
  for (const auto& [trial, attempt] : unanswered_attempts_) {
    if (now - attempt.sent_at >= kTrialTimeout) {
      lost.push_back(trial);
    }
  }
  for (const uint64_t it : lost) {
    RemoveUnansweredAttempt(it);
  }
}

// --- Exchange with other processes ------------------------------------------

BlameRecord CrashBlame::MakeRecord(const Suspect& suspect, Time now) const {
  BlameRecord record;
  record.parts = suspect.parts;
  record.was_answered = suspect.was_answered;
  record.sightings = ToRecord(suspect.sightings, now);
  record.blocks = suspect.blocks;
  record.blocked_left = std::max(suspect.blocked_until - now, Duration(0));
  return record;
}

BlameReport CrashBlame::Export(Time now) const {
  BlameReport report;
  for (const Suspect& it : suspects_) {
    if (report.records.size() < kMaxBlameRecords) {
      report.records.push_back(MakeRecord(it, now));
    }
  }
  requests_.Export(now, &report);
  std::vector<std::pair<Time, PartKey>> recent;
  for (const auto& [part, at] : answered_) {
    recent.emplace_back(at, part);
  }
  const size_t n = std::min(recent.size(), kMaxAnsweredInReport);
  std::partial_sort(recent.begin(),
                    recent.begin() + static_cast<std::ptrdiff_t>(n),
                    recent.end(), std::greater<>());
  for (size_t i = 0; i < n; ++i) {
    report.answered.push_back(
        {recent[i].second, std::max(now - recent[i].first, Duration(0))});
  }
  return report;
}

BlameReport CrashBlame::ExportShared(Time now) const {
  BlameReport report;
  for (const Suspect& it : suspects_) {
    if (IsShared(it, now) && report.records.size() < kMaxBlameRecords) {
      report.records.push_back(MakeRecord(it, now));
    }
  }
  requests_.ExportShared(now, &report);
  return report;
}

BlameReport CrashBlame::TakeChanges(Time now) {
  BlameReport report;
  for (Suspect& it : suspects_) {
    const bool changed = std::exchange(it.changed, false);
    if (changed && IsShared(it, now) &&
        report.records.size() < kMaxBlameRecords) {
      report.records.push_back(MakeRecord(it, now));
    }
  }
  requests_.TakeChanges(now, &report);
  for (const auto& [part, at] : std::exchange(changed_answers_, {})) {
    if (report.answered.size() < kMaxAnsweredInReport) {
      report.answered.push_back({part, std::max(now - at, Duration(0))});
    }
  }
  return report;
}

BlameReport CrashBlame::TakeBlockedRequests(Time now) {
  BlameReport report;
  requests_.TakeBlocked(now, &report);
  return report;
}

void CrashBlame::Merge(const BlameReport& report, Time now) {
  if (!limits_.enabled) {
    return;
  }
  for (const BlameReport::Answered& it : report.answered) {
    if (requests_.Clear(it.part, now - it.age, now)) {
      continue;
    }
    RememberAnswer(it.part, now - it.age, now);
    if (ClearPart(it.part, now - it.age, now)) {
      changed_answers_.emplace_back(it.part, now - it.age);
    }
    ApplyEarlierAnswer(it.part, now);
  }
  for (const BlameRecord& it : report.records) {
    if (it.is_own_mark) {
      requests_.Merge(it, now);
    } else {
      MergeRecord(it, now);
    }
  }
}

void CrashBlame::ApplyEarlierAnswer(PartKey part, Time now) {
  if (!IsAnswered(part, now)) {
    return;
  }
  const Time answered_at = answered_[part];
  for (Suspect& it : suspects_) {
    if (!Contains(it.parts, part)) {
      continue;
    }
    if (!it.was_answered && it.parts.size() > 1) {
      std::erase(it.parts, part);
      it.changed = true;
      continue;
    }
    it.changed = it.changed || !it.was_answered;
    it.was_answered = true;
    std::erase_if(it.sightings, [&](const CrashSighting& sighting) {
      return sighting.at <= answered_at;
    });
    if (it.blocks == 1 && WeightByRequests(it.sightings) <
                              limits_.answered_crashes * kFullCrashWeight) {
      it.blocks = 0;
      it.blocked_until = Time();
      it.changed = true;
      changed_answers_.emplace_back(part, answered_at);
      Log(LogLevel::kWarning, "part_unblocked",
          {{"part", FormatKeys({part})},
           {"crash_weight", std::to_string(WeightByRequests(it.sightings))}});
    }
  }
  std::erase_if(suspects_, [](const Suspect& it) {
    return it.sightings.empty() && it.blocks == 0;
  });
  MergeEqualSuspects();
}

void CrashBlame::RemoveAnsweredParts(const BlameRecord& record,
                                     PartKeys* parts,
                                     Time now) {
  std::erase_if(*parts, [&](PartKey part) {
    if (!IsAnswered(part, now)) {
      return false;
    }
    if (record.blocks > 0) {
      CorrectOthers(part, now);
    }
    return true;
  });
}

void CrashBlame::CorrectOthers(PartKey part, Time now) {
  const auto answer = answered_.find(part);
  Time& corrected = corrected_[part];
  if (answer != answered_.end() && now - corrected >= kCorrectionInterval) {
    corrected = now;
    changed_answers_.emplace_back(part, answer->second);
  }
}

CrashSightings CrashBlame::UnrefutedSightings(const BlameRecord& record,
                                              const PartKeys& parts,
                                              Time now) const {
  Time answered_at{};
  for (const PartKey it : parts) {
    const auto answer = answered_.find(it);
    if (record.was_answered && answer != answered_.end()) {
      answered_at = std::max(answered_at, answer->second);
    }
  }
  CrashSightings sightings;
  for (const BlameRecord::Sighting& it : record.sightings) {
    const bool is_remembered = record.blocks > 0 || it.age <= limits_.memory;
    if (now - it.age > answered_at && is_remembered) {
      sightings.push_back(FromRecord(it, now));
    }
  }
  return sightings;
}

bool CrashBlame::IsRefutedBlock(const BlameRecord& record,
                                const CrashSightings& sightings,
                                const PartKeys& parts,
                                Time now) {
  const uint32_t weight = WeightByRequests(sightings);
  const bool is_refuted = record.was_answered && record.blocks == 1 &&
                          sightings.size() < record.sightings.size() &&
                          weight < limits_.answered_crashes * kFullCrashWeight;
  if (is_refuted) {
    for (const PartKey it : parts) {
      CorrectOthers(it, now);
    }
  }
  return is_refuted;
}

void CrashBlame::MergeRecord(const BlameRecord& record, Time now) {
  if (record.sightings.empty()) {
    return;
  }
  const Duration last_age = LastCrashAge(record);
  // A part that was answered after the last of these crashes is not to blame.
  PartKeys parts = Sorted(record.parts);
  std::erase_if(parts, [&](PartKey part) {
    const auto it = answered_.find(part);
    return it != answered_.end() && it->second > now - last_age;
  });
  if (!record.was_answered) {
    RemoveAnsweredParts(record, &parts, now);
  }
  if (parts.empty()) {
    return;
  }
  const CrashSightings sightings = UnrefutedSightings(record, parts, now);
  const bool is_block =
      record.blocks > 0 && !IsRefutedBlock(record, sightings, parts, now);
  if (sightings.empty() && !is_block) {
    return;
  }
  const auto known =
      std::find_if(suspects_.begin(), suspects_.end(),
                   [&](const Suspect& it) { return it.parts == parts; });
  const size_t index = known != suspects_.end()
                           ? static_cast<size_t>(known - suspects_.begin())
                           : AddSuspect(parts, record.was_answered);
  Suspect& suspect = suspects_[index];
  for (const CrashSighting& it : sightings) {
    if (AddSighting(it, &suspect.sightings)) {
      suspect.changed = true;
    }
  }
  if (is_block && record.blocks > suspect.blocks) {
    suspect.blocks = record.blocks;
    suspect.blocked_until = LearnedBlockEnd(limits_, record, now);
    if (now >= SuspectExpiry(limits_, suspect.sightings, suspect.blocks,
                             suspect.blocked_until)) {
      suspects_.erase(suspects_.begin() + static_cast<std::ptrdiff_t>(index));
      return;
    }
    suspect.changed = true;
    Log(LogLevel::kWarning, "part_block_learned",
        {{"parts", FormatKeys(suspect.parts)},
         {"blocks", std::to_string(suspect.blocks)},
         {"left_s", FormatSeconds(record.blocked_left)}});
  }
  BlockLargestDue({index}, now);
}

// --- Diagnosis --------------------------------------------------------------

uint32_t CrashBlame::CountBlocked(Time now) const {
  return requests_.CountBlocked(now) +
         static_cast<uint32_t>(std::count_if(
             suspects_.begin(), suspects_.end(),
             [&](const Suspect& it) { return it.IsBlocked(now); }));
}

CrashBlame::Counters CrashBlame::counters() const {
  Counters sum = counters_;
  sum.crashes += requests_.counters().crashes;
  sum.blocks += requests_.counters().blocks;
  sum.cleared += requests_.counters().cleared;
  return sum;
}

std::string CrashBlame::Dump(Time now) const {
  const Counters sum = counters();
  std::string suspects;
  for (const Suspect& it : suspects_) {
    const std::string_view state = it.IsBlocked(now)     ? "blocked"
                                   : NeedsTrial(it, now) ? "trial"
                                                         : "suspect";
    suspects += suspects.empty() ? "" : ",";
    suspects += DumpSuspect(MakeRecord(it, now), state);
  }
  requests_.Dump(now, &suspects);
  return fmt::format(
      "{{\"enabled\":{},\"crashes\":{},\"blocks\":{},\"cleared\":{},"
      "\"refused\":{},\"waits\":{},\"answered_parts\":{},\"suspects\":[{}]}}",
      limits_.enabled, sum.crashes, sum.blocks, sum.cleared, sum.refused,
      sum.waits, answered_.size(), suspects);
}

}  // namespace burdockhatch
