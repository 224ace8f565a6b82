#include "src/request_blame.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "src/log.h"

namespace burdockhatch {

namespace {

constexpr size_t kMaxClearedMarks = 1'024;

}  // namespace

// --- Requests ---------------------------------------------------------------

BlameDecision RequestBlame::Check(PartKey mark,
                                  uint64_t trial,
                                  Time now) const {
  BlameDecision decision;
  const auto it = suspects_.find(mark);
  if (it == suspects_.end() || !it->second.IsStrong()) {
    return decision;
  }
  if (it->second.IsBlocked(now)) {
    decision.verdict = BlameVerdict::kBlocked;
    decision.blocked_left = it->second.blocked_until - now;
    return decision;
  }
  decision.is_trial = true;
  if (IsBeingTried(mark, trial, now)) {
    decision.verdict = BlameVerdict::kWait;
  }
  return decision;
}

bool RequestBlame::IsBeingTried(PartKey mark, uint64_t trial, Time now) const {
  const auto trials = trials_.find(mark);
  return trials != trials_.end() &&
         std::any_of(
             trials->second.begin(), trials->second.end(), [&](uint64_t it) {
               return it != trial && now - open_.at(it).sent_at < kTrialTimeout;
             });
}

void RequestBlame::OnSent(PartKey mark, uint64_t trial, Time now) {
  if (!limits_.enabled || mark == PartKey()) {
    return;
  }
  EndTrial(trial);
  open_[trial] = {mark, now};
  trials_[mark].push_back(trial);
}

void RequestBlame::EndTrial(uint64_t trial) {
  const auto attempt = open_.find(trial);
  if (attempt == open_.end()) {
    return;
  }
  const auto trials = trials_.find(attempt->second.mark);
  std::erase(trials->second, trial);
  if (trials->second.empty()) {
    trials_.erase(trials);
  }
  open_.erase(attempt);
}

// --- Evidence ---------------------------------------------------------------

void RequestBlame::OnCrash(const CrashSighting& sighting, Time now) {
  const PartKey mark = sighting.own_mark;
  if (!limits_.enabled || mark == PartKey()) {
    return;
  }
  Suspect& suspect = FindOrAdd(mark);
  if (suspect.IsBlocked(now) || !AddSighting(sighting, &suspect.sightings)) {
    return;
  }
  suspect.changed = has_changes_ = true;
  ++counters_.crashes;
  if (suspect.IsStrong()) {
    Log(LogLevel::kWarning, "request_suspected",
        {{"own_mark", FormatKeys({mark})},
         {"crashes", std::to_string(suspect.sightings.size())},
         {"crash_weight", std::to_string(TotalWeight(suspect.sightings))}});
  }
  BlockIfDue(mark, suspect, now);
}

// Crashes before the response head count half. One more crash than the limit
// is enough if all of them are such.
bool RequestBlame::IsBlockDue(const Suspect& suspect, Time now) const {
  if (suspect.IsBlocked(now) || !is_judging_) {
    return false;
  }
  if (suspect.blocks > 0) {
    return !suspect.sightings.empty() &&
           suspect.sightings.back().at >= suspect.blocked_until;
  }
  return TotalWeight(suspect.sightings) >= limits_.crashes * kFullCrashWeight ||
         suspect.sightings.size() > limits_.crashes;
}

void RequestBlame::BlockIfDue(PartKey mark, Suspect& suspect, Time now) {
  if (!IsBlockDue(suspect, now) || UnblockTwins(mark, suspect)) {
    return;
  }
  ++suspect.blocks;
  const Duration length = BlockLength(limits_, suspect.blocks);
  suspect.blocked_until = now + length;
  suspect.changed = has_changes_ = true;
  ++counters_.blocks;
  RememberBlocked(mark);
  Log(LogLevel::kWarning, "request_blocked",
      {{"own_mark", FormatKeys({mark})},
       {"crashes", std::to_string(suspect.sightings.size())},
       {"crash_weight", std::to_string(TotalWeight(suspect.sightings))},
       {"blocks", std::to_string(suspect.blocks)},
       {"block_s", FormatSeconds(length)}});
}

// Two requests that were on the same targets at the same crashes are equally
// suspect. One more trial of each, on targets of their own, tells them apart.
bool RequestBlame::UnblockTwins(PartKey mark, const Suspect& suspect) {
  if (suspect.sightings.size() > limits_.crashes) {
    return false;
  }
  bool found = false;
  for (auto& [other, twin] : suspects_) {
    const bool is_twin =
        other != mark && twin.blocks <= 1 &&
        std::equal(twin.sightings.begin(), twin.sightings.end(),
                   suspect.sightings.begin(), suspect.sightings.end(),
                   [](const CrashSighting& a, const CrashSighting& b) {
                     return IsSameCrash(a, b) && a.weight == b.weight;
                   });
    if (!is_twin) {
      continue;
    }
    found = true;
    if (twin.blocks > 0) {
      twin.blocks = 0;
      twin.blocked_until = Time();
      Log(LogLevel::kWarning, "request_unblocked",
          {{"own_mark", FormatKeys({other})}, {"twin", FormatKeys({mark})}});
    }
  }
  return found;
}

RequestBlame::Suspect& RequestBlame::FindOrAdd(PartKey mark) {
  if (suspects_.size() >= kMaxSuspects && !suspects_.contains(mark)) {
    DropLeast();
  }
  return suspects_[mark];
}

void RequestBlame::DropLeast() {
  const auto rank = [](const Suspect& it) {
    return std::tuple(it.blocks, TotalWeight(it.sightings),
                      it.sightings.empty() ? Time() : it.sightings.back().at);
  };
  const auto least = std::min_element(suspects_.begin(), suspects_.end(),
                                      [&](const auto& a, const auto& b) {
                                        return rank(a.second) < rank(b.second);
                                      });
  if (least->second.IsStrong()) {
    Log(LogLevel::kWarning, "suspect_request_dropped",
        {{"own_mark", FormatKeys({least->first})},
         {"blocks", std::to_string(least->second.blocks)}});
  }
  suspects_.erase(least);
}

bool RequestBlame::Clear(PartKey mark, Time answered_at, Time now) {
  const auto found = suspects_.find(mark);
  if (found == suspects_.end()) {
    return false;
  }
  const Suspect& suspect = found->second;
  if (!suspect.sightings.empty() && answered_at < suspect.sightings.back().at) {
    return false;
  }
  if (suspect.IsStrong()) {
    ++counters_.cleared;
    Log(LogLevel::kInfo, "request_cleared",
        {{"own_mark", FormatKeys({mark})},
         {"crash_weight", std::to_string(TotalWeight(suspect.sightings))},
         {"was_blocked", suspect.IsBlocked(now) ? "true" : "false"}});
  }
  if (suspect.blocks > 0 || (tells_suspects_ && suspect.IsStrong())) {
    changed_answers_.emplace_back(mark, answered_at);
    has_changes_ = true;
  }
  suspects_.erase(found);
  RememberCleared(mark, answered_at, now);
  return true;
}

void RequestBlame::RememberCleared(PartKey mark, Time answered_at, Time now) {
  if (cleared_.size() >= kMaxClearedMarks) {
    absl::erase_if(cleared_, [&](const auto& it) {
      return now - it.second > limits_.memory / 2;
    });
  }
  if (cleared_.size() >= kMaxClearedMarks) {
    cleared_.clear();
  }
  cleared_[mark] = answered_at;
}

void RequestBlame::Prune(Time now) {
  for (auto& [mark, suspect] : suspects_) {
    if (suspect.blocks == 0) {
      std::erase_if(suspect.sightings, [&](const CrashSighting& it) {
        return now - it.at > limits_.memory;
      });
    }
  }
  absl::erase_if(suspects_, [&](const auto& it) {
    const Suspect& suspect = it.second;
    return now >= SuspectExpiry(limits_, suspect.sightings, suspect.blocks,
                                suspect.blocked_until);
  });
  absl::erase_if(cleared_, [&](const auto& it) {
    return now - it.second > limits_.memory;
  });
  std::vector<uint64_t> lost;
  for (const auto& [trial, attempt] : open_) {
    if (now - attempt.sent_at >= kTrialTimeout) {
      lost.push_back(trial);
    }
  }
  for (const uint64_t it : lost) {
    EndTrial(it);
  }
}

// --- Exchange with other processes ------------------------------------------

BlameRecord RequestBlame::MakeRecord(PartKey mark,
                                     const Suspect& suspect,
                                     Time now) const {
  BlameRecord record;
  record.parts = {mark};
  record.is_own_mark = true;
  record.sightings = ToRecord(suspect.sightings, now);
  record.blocks = suspect.blocks;
  record.blocked_left = std::max(suspect.blocked_until - now, Duration(0));
  return record;
}

void RequestBlame::Merge(const BlameRecord& record, Time now) {
  if (!limits_.enabled || record.sightings.empty()) {
    return;
  }
  const PartKey mark = record.parts.front();
  const auto cleared = cleared_.find(mark);
  const Time cleared_at = cleared == cleared_.end() ? Time() : cleared->second;
  if (now - LastCrashAge(record) <= cleared_at) {
    return;
  }
  Suspect& suspect = FindOrAdd(mark);
  for (const BlameRecord::Sighting& it : record.sightings) {
    const bool is_remembered = record.blocks > 0 || it.age <= limits_.memory;
    if (is_remembered && now - it.age > cleared_at &&
        AddSighting(FromRecord(it, now), &suspect.sightings)) {
      suspect.changed = has_changes_ = true;
    }
  }
  if (record.blocks > suspect.blocks) {
    suspect.blocks = record.blocks;
    suspect.blocked_until = LearnedBlockEnd(limits_, record, now);
    RememberBlocked(mark);
    suspect.changed = has_changes_ = true;
    Log(LogLevel::kWarning, "request_block_learned",
        {{"own_mark", FormatKeys({mark})},
         {"blocks", std::to_string(suspect.blocks)},
         {"left_s", FormatSeconds(record.blocked_left)}});
  }
  if (now >= SuspectExpiry(limits_, suspect.sightings, suspect.blocks,
                           suspect.blocked_until)) {
    suspects_.erase(mark);
    return;
  }
  BlockIfDue(mark, suspect, now);
}

void RequestBlame::Export(Time now, BlameReport* report) const {
  std::vector<BlameRecord> records;
  for (const auto& [mark, suspect] : suspects_) {
    records.push_back(MakeRecord(mark, suspect, now));
  }
  const auto weight = [](const BlameRecord& record) {
    uint32_t sum = 0;
    for (const BlameRecord::Sighting& it : record.sightings) {
      sum += it.weight;
    }
    return sum;
  };
  std::sort(records.begin(), records.end(),
            [&](const BlameRecord& a, const BlameRecord& b) {
              return std::pair(a.blocks, weight(a)) >
                     std::pair(b.blocks, weight(b));
            });
  for (BlameRecord& it : records) {
    if (report->records.size() < kMaxBlameRecords) {
      report->records.push_back(std::move(it));
    }
  }
}

void RequestBlame::ExportShared(Time now, BlameReport* report) const {
  for (const auto& [mark, suspect] : suspects_) {
    if (suspect.IsStrong() && report->records.size() < kMaxBlameRecords) {
      report->records.push_back(MakeRecord(mark, suspect, now));
    }
  }
}

void RequestBlame::TakeChanges(Time now, BlameReport* report) {
  if (!std::exchange(has_changes_, false)) {
    return;
  }
  for (auto& [mark, suspect] : suspects_) {
    const bool changed = std::exchange(suspect.changed, false);
    if (changed && tells_suspects_ && suspect.IsStrong() &&
        report->records.size() < kMaxBlameRecords) {
      report->records.push_back(MakeRecord(mark, suspect, now));
    }
  }
  for (const auto& [mark, at] : std::exchange(changed_answers_, {})) {
    if (report->answered.size() < kMaxAnsweredInReport) {
      report->answered.push_back({mark, std::max(now - at, Duration(0))});
    }
  }
}

void RequestBlame::RememberBlocked(PartKey mark) {
  // Nobody takes them in a process that does not lead.
  if (newly_blocked_.size() < kMaxSuspects) {
    newly_blocked_.push_back(mark);
  }
}

void RequestBlame::TakeBlocked(Time now, BlameReport* report) {
  for (const PartKey it : std::exchange(newly_blocked_, {})) {
    const auto suspect = suspects_.find(it);
    if (suspect != suspects_.end() && suspect->second.blocks > 0) {
      report->records.push_back(MakeRecord(it, suspect->second, now));
    }
  }
}

// --- Diagnosis --------------------------------------------------------------

size_t RequestBlame::suspect_count() const {
  return static_cast<size_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [](const auto& it) { return it.second.IsStrong(); }));
}

uint32_t RequestBlame::CountBlocked(Time now) const {
  return static_cast<uint32_t>(
      std::count_if(suspects_.begin(), suspects_.end(),
                    [&](const auto& it) { return it.second.IsBlocked(now); }));
}

void RequestBlame::Dump(Time now, std::string* suspects) const {
  for (const auto& [mark, suspect] : suspects_) {
    if (suspect.IsStrong()) {
      *suspects += suspects->empty() ? "" : ",";
      *suspects += DumpSuspect(MakeRecord(mark, suspect, now),
                               suspect.IsBlocked(now) ? "blocked" : "trial");
    }
  }
}

}  // namespace burdockhatch
