#include <utility>
#include <variant>

#include <fmt/format.h>

#include "src/daemon_common.h"
#include "src/feed_relay.h"
#include "src/forward_daemon.h"
#include "src/forward_loop_daemon.h"
#include "src/placement_leader.h"

namespace burdockhatch {

namespace {

constexpr Duration kIdleTickInterval = std::chrono::milliseconds(200);

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
        leader_(
            {Role::kAgent, settings_.data_centre, settings_.bus_address, false},
            settings_.crash_blame,
            [this](const PeerId& entry, MessageBody body) {
              bus_->Send(entry, std::move(body));
            },
            settings_.target_signals) {
    leader_.SetTargetPaceEnabled(settings_.forwarding->target_pace);
  }

 protected:
  std::string OnStart() override { return ""; }

  void OnMessage(const Message& message, Time now) override {
    if (std::holds_alternative<PlacementAsk>(message.body)) {
      metrics_.IncrementCounter("burdockhatch_placement_asks_total", "");
    }
    leader_.OnMessage(message, now);
    if (const auto* it = std::get_if<FeedPoll>(&message.body)) {
      feed_relay_.OnPoll(message.sender, *it, now);
    }
    if (leader_.HasQueuedRequests() && !wait_timer_) {
      StartWaitTimer();
    }
  }

  void OnUnreachable(const InstanceId&, Time) override {}

  Duration OnTick(Time now) override {
    leader_.Tick(now);
    ExportBlameCounters(leader_.blame(), now, &metrics_);
    ExportSignalCounters(leader_.signals(), &metrics_);
    ExportPaceCounters(leader_.pace_counters(), &metrics_);
    return kIdleTickInterval;
  }

  bool IsReady() const override { return true; }

  void OnStopRequested() override { leader_.SendGoodbyes(); }

  // The entries switch to another agent as soon as they receive the goodbye.
  bool CanExit(Duration) override { return true; }

  bool LiftPartNow(PartKey part, Time now) override {
    return leader_.LiftPart(part, now);
  }

  std::string Dump(Time now) const override {
    return fmt::format(
        "{{\"entries\":{},\"sole_leader\":{},\"placement\":{},"
        "\"crash_blame\":{},\"target_signals\":{},\"feed_relay\":{}}}",
        leader_.entry_count(), leader_.is_sole_leader(), leader_.Dump(now),
        leader_.blame().Dump(now), leader_.signals().Dump(now),
        feed_relay_.Dump(now));
  }

 private:
  void StartWaitTimer() {
    wait_timer_ = Schedule(kPlacementTickInterval, [this] {
      wait_timer_.reset();
      leader_.Tick(Now());
      if (leader_.HasQueuedRequests()) {
        StartWaitTimer();
      }
    });
  }

  std::unique_ptr<FleetFeed> feed_;
  FeedRelay feed_relay_;
  PlacementLeader leader_;
  std::unique_ptr<Timer> wait_timer_;
};

}  // namespace

int RunPlacementAgent(const Settings& settings, ForwardPlatform platform) {
  return PlacementAgent(settings, platform).Run();
}

}  // namespace burdockhatch
