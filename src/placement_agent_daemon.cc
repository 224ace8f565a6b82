#include <map>
#include <variant>

#include <fmt/format.h>

#include "src/daemon_common.h"
#include "src/feed_relay.h"
#include "src/forward_daemon.h"
#include "src/forward_loop_daemon.h"
#include "src/log.h"
#include "src/placement_scheduler.h"

namespace burdockhatch {

namespace {

constexpr Duration kIdleTickInterval = std::chrono::milliseconds(200);
// An entry sends a message at least every half second. After this silence it
// has stopped or has chosen another leader.
constexpr Duration kEntryTimeout = std::chrono::seconds(3);

class PlacementAgent : public ForwardDaemonBase {
 public:
  PlacementAgent(const Settings& settings, const ForwardPlatform& platform)
      : ForwardDaemonBase(settings),
        feed_(platform.make_feed(io_, settings_.object_api_address)),
        feed_relay_(feed_.get(),
                    this,
                    [this](const PeerId& entry, MessageBody body) {
                      bus_->Send(entry, std::move(body));
                    }),
        scheduler_(settings_.crash_blame) {}

 protected:
  std::string OnStart() override { return ""; }

  void OnMessage(const Message& message, Time now) override {
    const PeerId& entry = message.sender;
    if (!last_heard_.contains(entry)) {
      RemovePreviousIncarnations(entry, now);
      Log(LogLevel::kInfo, "entry_met",
          {{"entry", entry.instance.value()},
           {"incarnation", std::to_string(entry.incarnation.value())}});
    }
    last_heard_[entry] = now;
    if (const auto* ask = std::get_if<PlacementAsk>(&message.body)) {
      scheduler_.RequestPlacement(entry, *ask, now);
      metrics_.IncrementCounter("burdockhatch_placement_asks_total", "");
    } else if (const auto* it = std::get_if<PlacementChange>(&message.body)) {
      scheduler_.ApplyChange(entry, *it, now);
    } else if (const auto* it = std::get_if<PlacementSnapshot>(&message.body)) {
      scheduler_.RestoreSnapshot(entry, *it, now);
    } else if (const auto* it = std::get_if<TargetList>(&message.body)) {
      scheduler_.SetTargets(*it, now);
    } else if (const auto* it = std::get_if<BlameReport>(&message.body)) {
      scheduler_.blame().Merge(*it, now);
    } else if (const auto* it = std::get_if<FeedPoll>(&message.body)) {
      feed_relay_.OnPoll(entry, *it, now);
    } else if (std::holds_alternative<Heartbeat>(message.body)) {
      bus_->Send(entry, Heartbeat{Role::kAgent, settings_.data_centre,
                                  settings_.bus_address, false});
    } else if (std::holds_alternative<Goodbye>(message.body)) {
      RemoveEntry(entry, now);
    }
    SendDecisions();
    SpreadBlame(now);
    if (scheduler_.HasQueuedRequests() && !wait_timer_) {
      StartWaitTimer();
    }
  }

  void OnUnreachable(const InstanceId&, Time) override {}

  Duration OnTick(Time now) override {
    std::vector<PeerId> silent;
    for (const auto& [entry, heard] : last_heard_) {
      if (now - heard > kEntryTimeout) {
        silent.push_back(entry);
      }
    }
    for (const PeerId& it : silent) {
      Log(LogLevel::kInfo, "entry_silent", {{"entry", it.instance.value()}});
      RemoveEntry(it, now);
    }
    scheduler_.blame().Prune(now);
    SendDecisions();
    SpreadBlame(now);
    ExportBlameCounters(scheduler_.blame(), now, &metrics_);
    return kIdleTickInterval;
  }

  bool IsReady() const override { return true; }

  void OnStopRequested() override {
    for (const auto& [entry, heard] : last_heard_) {
      bus_->Send(entry, Goodbye{});
    }
  }

  // The entries switch to another agent as soon as they receive the goodbye.
  bool CanExit(Duration) override { return true; }

  std::string Dump(Time now) const override {
    return fmt::format(
        "{{\"entries\":{},\"placement\":{},\"crash_blame\":{},\"feed_relay\":{}"
        "}}",
        last_heard_.size(), scheduler_.Dump(now), scheduler_.blame().Dump(now),
        feed_relay_.Dump(now));
  }

 private:
  void StartWaitTimer() {
    wait_timer_ = Schedule(kPlacementTickInterval, [this] {
      wait_timer_.reset();
      scheduler_.Tick(Now());
      SendDecisions();
      if (scheduler_.HasQueuedRequests()) {
        StartWaitTimer();
      }
    });
  }

  // A new incarnation of an entry proves that the previous one has stopped.
  void RemovePreviousIncarnations(const PeerId& entry, Time now) {
    std::vector<PeerId> previous;
    for (const auto& [peer, heard] : last_heard_) {
      if (peer.instance == entry.instance) {
        previous.push_back(peer);
      }
    }
    for (const PeerId& it : previous) {
      RemoveEntry(it, now);
    }
  }

  void RemoveEntry(const PeerId& entry, Time now) {
    last_heard_.erase(entry);
    scheduler_.RemoveEntry(entry, now);
  }

  void SendDecisions() {
    for (PlacementScheduler::Decision& it : scheduler_.TakeDecisions()) {
      bus_->Send(it.entry, std::move(it.reply));
    }
  }

  // The entries keep the blocks for the case that this agent stops, and refuse
  // blocked requests without asking.
  void SpreadBlame(Time now) {
    const BlameReport news = scheduler_.blame().TakeChanges(true, now);
    if (news.empty()) {
      return;
    }
    for (const auto& [entry, heard] : last_heard_) {
      bus_->Send(entry, news);
    }
  }

  std::unique_ptr<FleetFeed> feed_;
  FeedRelay feed_relay_;
  PlacementScheduler scheduler_;
  std::map<PeerId, Time> last_heard_;
  std::unique_ptr<Timer> wait_timer_;
};

}  // namespace

int RunPlacementAgent(const Settings& settings, ForwardPlatform platform) {
  return PlacementAgent(settings, platform).Run();
}

}  // namespace burdockhatch
