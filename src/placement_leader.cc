#include "src/placement_leader.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "src/log.h"
#include "src/placement_client.h"

namespace burdockhatch {

namespace {

// An entry sends a message at least every half second. After this silence it
// has stopped or has chosen another leader.
constexpr Duration kEntryTimeout = std::chrono::seconds(3);
// An entry sends asks, changes and, once a second, snapshots to its leader
// only. An agent that has received none of them for this long leads for no
// entry.
constexpr Duration kLeadingTime = std::chrono::milliseconds(1'500);
// Time in which the entries of a new leader tell it of parts that requests were
// answered with.
constexpr Duration kFirstAnswersTime = std::chrono::milliseconds(300);
// Requests that are blocked by themselves are told together.
constexpr Duration kBlockSpreadInterval = std::chrono::milliseconds(200);

constexpr Duration kSignalSpreadInterval = std::chrono::milliseconds(100);
constexpr Duration kShareCheckInterval = std::chrono::milliseconds(100);

bool IsForLeaderOnly(const MessageBody& body) {
  return std::holds_alternative<PlacementAsk>(body) ||
         std::holds_alternative<PlacementChange>(body) ||
         std::holds_alternative<PlacementSnapshot>(body);
}

}  // namespace

PlacementLeader::PlacementLeader(Heartbeat heartbeat,
                                 const CrashBlameLimits& blame_limits,
                                 SendFunction send,
                                 const TargetSignalLimits& signal_limits)
    : heartbeat_(std::move(heartbeat)),
      send_(std::move(send)),
      scheduler_(blame_limits, signal_limits) {
  scheduler_.blame().SetJudging(false);
  // The entries that have seen the crashes tell the other agents.
  scheduler_.blame().SetTellsRequests(false);
}

void PlacementLeader::OnMessage(const Message& message, Time now) {
  const PeerId& entry = message.sender;
  if (!entries_.contains(entry)) {
    RemovePreviousIncarnations(entry, now);
    Log(LogLevel::kInfo, "entry_met",
        {{"entry", entry.instance.value()},
         {"incarnation", std::to_string(entry.incarnation.value())}});
    // The entry may be the only one left that can tell the next leader.
    if (BlameReport known = scheduler_.blame().Export(now);
        !known.records.empty()) {
      send_(entry, std::move(known));
    }
    if (SignalReport known = scheduler_.signals().Export(now); !known.empty()) {
      for (SignalRecord& it : known.records) {
        it.back_off_left = Duration(0);
      }
      send_(entry, std::move(known));
    }
  }
  entries_[entry].last_heard = now;
  if (IsForLeaderOnly(message.body)) {
    entries_[entry].last_led = now;
    last_led_at_ = now;
  }
  UpdateJudging(now);
  if (const auto* ask = std::get_if<PlacementAsk>(&message.body)) {
    scheduler_.RequestPlacement(entry, *ask, now);
  } else if (const auto* it = std::get_if<PlacementChange>(&message.body)) {
    scheduler_.ApplyChange(entry, *it, now);
  } else if (const auto* it = std::get_if<PlacementSnapshot>(&message.body)) {
    scheduler_.RestoreSnapshot(entry, *it, now);
  } else if (const auto* it = std::get_if<TargetList>(&message.body)) {
    scheduler_.SetTargets(*it, now);
  } else if (const auto* it = std::get_if<BlameReport>(&message.body)) {
    scheduler_.blame().Merge(*it, now);
  } else if (const auto* it = std::get_if<SignalReport>(&message.body)) {
    const SignalReport news = scheduler_.MergeSignals(entry, *it, now);
    signal_news_.records.insert(signal_news_.records.end(),
                                news.records.begin(), news.records.end());
  } else if (std::holds_alternative<Heartbeat>(message.body)) {
    send_(entry, heartbeat_);
  } else if (std::holds_alternative<Goodbye>(message.body)) {
    RemoveEntry(entry, now);
  }
  SendDecisions();
  SpreadBlame(now);
  SpreadBlockedRequests(now);
}

// An agent that places no requests is told of crashes but not of answers, and
// one that has just begun to has been told of few.
void PlacementLeader::UpdateJudging(Time now) {
  const bool is_leading =
      last_led_at_ != Time() && now - last_led_at_ < kLeadingTime;
  if (!is_leading) {
    leading_since_.reset();
  } else if (!leading_since_) {
    leading_since_ = now;
  }
  scheduler_.blame().SetJudging(is_leading &&
                                now - *leading_since_ >= kFirstAnswersTime);
  scheduler_.blame().SetJudgingRequests(is_leading);
}

// An entry that is heard and sends nothing that is for the leader only follows
// another agent, or none.
void PlacementLeader::UpdateRateShare(Time now) {
  if (now < next_share_check_) {
    return;
  }
  next_share_check_ = now + kShareCheckInterval;
  const bool all_follow =
      !entries_.empty() &&
      std::all_of(entries_.begin(), entries_.end(), [&](const auto& it) {
        return it.second.last_led != Time() &&
               now - it.second.last_led < kLeadingTime;
      });
  // An agent that has just started does not know of other leaders yet.
  if (!all_follow || last_shared_at_ == Time()) {
    last_shared_at_ = now;
  }
  const bool is_sole =
      all_follow && now - last_shared_at_ >= PlacementClient::kSettleTime;
  if (is_sole == is_sole_leader_) {
    return;
  }
  is_sole_leader_ = is_sole;
  Log(LogLevel::kInfo, "rate_share_changed",
      {{"sole_leader", is_sole ? "true" : "false"},
       {"entries", std::to_string(entries_.size())}});
  scheduler_.SetRateShare(is_sole ? PlacementScheduler::kSoleLeaderShare
                                  : PlacementScheduler::kLeaderShare,
                          std::nullopt, now);
}

// News of many targets come at about the same time, so they are told together.
void PlacementLeader::SpreadSignals(Time now) {
  if (signal_news_.empty() || now < next_signal_spread_) {
    return;
  }
  next_signal_spread_ = now + kSignalSpreadInterval;
  SignalReport news;
  std::swap(news, signal_news_);
  if (news.records.size() > kMaxSignalRecords) {
    news = scheduler_.signals().Export(now);
  }
  for (const auto& [entry, state] : entries_) {
    send_(entry, news);
  }
}

void PlacementLeader::Tick(Time now) {
  UpdateJudging(now);
  UpdateRateShare(now);
  std::vector<PeerId> silent;
  for (const auto& [entry, state] : entries_) {
    if (now - state.last_heard > kEntryTimeout) {
      silent.push_back(entry);
    }
  }
  for (const PeerId& it : silent) {
    Log(LogLevel::kInfo, "entry_silent", {{"entry", it.instance.value()}});
    RemoveEntry(it, now);
  }
  scheduler_.Tick(now);
  SendDecisions();
  SpreadBlame(now);
  SpreadBlockedRequests(now);
  SpreadSignals(now);
}

void PlacementLeader::SendGoodbyes() {
  for (const auto& [entry, state] : entries_) {
    send_(entry, Goodbye{});
  }
}

bool PlacementLeader::LiftPart(PartKey part, Time now) {
  const bool had = scheduler_.blame().Lift(part, now);
  SpreadBlame(now);
  return had;
}

void PlacementLeader::RemovePreviousIncarnations(const PeerId& entry,
                                                 Time now) {
  std::vector<PeerId> previous;
  for (const auto& [peer, state] : entries_) {
    if (peer.instance == entry.instance) {
      previous.push_back(peer);
    }
  }
  for (const PeerId& it : previous) {
    RemoveEntry(it, now);
  }
}

void PlacementLeader::RemoveEntry(const PeerId& entry, Time now) {
  entries_.erase(entry);
  scheduler_.RemoveEntry(entry, now);
}

void PlacementLeader::SendDecisions() {
  for (PlacementScheduler::Decision& it : scheduler_.TakeDecisions()) {
    send_(it.entry, std::move(it.reply));
  }
}

void PlacementLeader::SpreadBlame(Time now) {
  const BlameReport news = scheduler_.blame().TakeChanges(now);
  if (news.empty()) {
    return;
  }
  for (const auto& [entry, state] : entries_) {
    send_(entry, news);
  }
}

// Each entry refuses blocked requests when its leader is lost, and passes the
// report on to its leader if that is another agent.
void PlacementLeader::SpreadBlockedRequests(Time now) {
  if (now < next_block_spread_) {
    return;
  }
  const BlameReport blocked = scheduler_.blame().TakeBlockedRequests(now);
  if (blocked.empty()) {
    return;
  }
  next_block_spread_ = now + kBlockSpreadInterval;
  for (const auto& [entry, state] : entries_) {
    send_(entry, blocked);
  }
}

std::string PlacementLeader::Dump(Time now) const {
  return scheduler_.Dump(now);
}

}  // namespace burdockhatch
