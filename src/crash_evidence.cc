#include "src/crash_evidence.h"

#include <algorithm>

#include <fmt/format.h>

namespace burdockhatch {

namespace {

// Reports of one target within this time are about the same crash. The time of
// a crash shifts by the delay of each message that tells of it.
constexpr Duration kSameCrashWindow = std::chrono::seconds(2);

}  // namespace

bool IsSameCrash(const CrashSighting& a, const CrashSighting& b) {
  const Duration apart = a.at > b.at ? a.at - b.at : b.at - a.at;
  return b.target == a.target && apart < kSameCrashWindow;
}

bool AddSighting(const CrashSighting& sighting, CrashSightings* sightings) {
  const auto coincides = [&](const CrashSighting& it) {
    return (it.sent_at < sighting.at && sighting.sent_at < it.at) ||
           IsSameCrash(it, sighting);
  };
  const bool has_as_heavy = std::any_of(
      sightings->begin(), sightings->end(), [&](const CrashSighting& it) {
        return coincides(it) && it.weight >= sighting.weight;
      });
  if (has_as_heavy) {
    return false;
  }
  std::erase_if(*sightings, coincides);
  if (sightings->size() >= kMaxBlameSightings) {
    sightings->erase(sightings->begin());
  }
  const auto later = std::upper_bound(
      sightings->begin(), sightings->end(), sighting.at,
      [](Time at, const CrashSighting& it) { return at < it.at; });
  sightings->insert(later, sighting);
  return true;
}

uint32_t TotalWeight(const CrashSightings& sightings) {
  uint32_t weight = 0;
  for (const CrashSighting& it : sightings) {
    weight += it.weight;
  }
  return weight;
}

uint32_t WeightByRequests(const CrashSightings& sightings) {
  uint32_t weight = 0;
  for (size_t i = 0; i < sightings.size(); ++i) {
    const CrashSighting& it = sightings[i];
    // The first of the heaviest crashes of a request counts.
    bool counts = true;
    for (size_t j = 0; j < sightings.size(); ++j) {
      const CrashSighting& other = sightings[j];
      const bool is_same_request =
          it.own_mark != PartKey() && it.own_mark == other.own_mark && i != j;
      counts = counts &&
               !(is_same_request && (other.weight > it.weight ||
                                     (other.weight == it.weight && j < i)));
    }
    weight += counts ? it.weight : 0;
  }
  return weight;
}

Duration BlockLength(const CrashBlameLimits& limits, uint32_t blocks) {
  Duration length = limits.block;
  for (uint32_t i = 1; i < blocks && length < limits.max_block; ++i) {
    length *= CrashBlameLimits::kBlockGrowth;
  }
  return std::min(length, limits.max_block);
}

Time SuspectExpiry(const CrashBlameLimits& limits,
                   const CrashSightings& sightings,
                   uint32_t blocks,
                   Time blocked_until) {
  const Time last_crash = sightings.empty() ? Time() : sightings.back().at;
  const Time forgotten_at = last_crash + limits.memory;
  return blocks == 0 ? forgotten_at
                     : std::max(forgotten_at,
                                blocked_until + BlockLength(limits, blocks));
}

Time LearnedBlockEnd(const CrashBlameLimits& limits,
                     const BlameRecord& record,
                     Time now) {
  return record.blocked_left > Duration(0)
             ? now + std::min(record.blocked_left, limits.max_block)
             : std::min(now, now - LastCrashAge(record) +
                                 BlockLength(limits, record.blocks));
}

std::vector<BlameRecord::Sighting> ToRecord(const CrashSightings& sightings,
                                            Time now) {
  std::vector<BlameRecord::Sighting> to;
  for (const CrashSighting& it : sightings) {
    to.push_back({it.target, it.weight, it.at - it.sent_at,
                  std::max(now - it.at, Duration(0)), it.own_mark});
  }
  return to;
}

CrashSighting FromRecord(const BlameRecord::Sighting& sighting, Time now) {
  const Time at = now - sighting.age;
  return {sighting.target, std::min(sighting.weight, kFullCrashWeight),
          sighting.own_mark, at - sighting.request_age, at};
}

Duration LastCrashAge(const BlameRecord& record) {
  Duration age = record.sightings.front().age;
  for (const BlameRecord::Sighting& it : record.sightings) {
    age = std::min(age, it.age);
  }
  return age;
}

std::string FormatKeys(const PartKeys& parts) {
  std::string text;
  for (const PartKey it : parts) {
    text += fmt::format("{}{:016x}", text.empty() ? "" : ",", it.value());
  }
  return text;
}

std::string FormatSeconds(Duration duration) {
  return fmt::format("{:.1f}", ToMs(duration) / 1e3);
}

std::string DumpSuspect(const BlameRecord& record, std::string_view state) {
  std::string parts;
  for (const PartKey it : record.parts) {
    parts += fmt::format("{}\"{:016x}\"", parts.empty() ? "" : ",", it.value());
  }
  uint32_t weight = 0;
  for (const BlameRecord::Sighting& it : record.sightings) {
    weight += it.weight;
  }
  const Duration since =
      record.sightings.empty() ? Duration(0) : LastCrashAge(record);
  return fmt::format(
      "{{\"parts\":[{}],\"state\":\"{}\",\"crashes\":{},\"crash_weight\":{},"
      "\"last_crash_s_ago\":{},\"blocks\":{},\"blocked_left_s\":{},"
      "\"answered_before\":{},\"is_own_mark\":{}}}",
      parts, state, record.sightings.size(), weight, FormatSeconds(since),
      record.blocks, FormatSeconds(record.blocked_left), record.was_answered,
      record.is_own_mark);
}

}  // namespace burdockhatch
