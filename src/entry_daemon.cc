#include "src/entry_daemon.h"

#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>

#include "src/daemon_common.h"
#include "src/daemon_loop.h"
#include "src/entry_core.h"
#include "src/entry_tables.h"
#include "src/exception_guard.h"

namespace burdockhatch {

namespace {

constexpr Duration kCounterInterval = std::chrono::seconds(1);

EntryOptions MakeEntryOptions(const Settings& settings, const PeerId& self) {
  EntryOptions options;
  options.self = self;
  options.data_centre = settings.data_centre;
  options.region = settings.region;
  options.seed = self.incarnation.value();
  options.subset_size = settings.subset_size;
  options.crash_blame = settings.crash_blame;
  return options;
}

class EntryDaemon : public DaemonLoop {
 public:
  explicit EntryDaemon(const Settings& settings)
      : DaemonLoop(settings), core_(MakeEntryOptions(settings_, self_)) {}

  // HttpSessionDelegate, called on traffic threads:

  void SubmitRequest(RequestSpec spec) override {
    PostToControlThread([this, spec = std::move(spec)](Time now) {
      core_.OnRequest(spec, now);
    });
  }

  void OnCallerDisconnected(const RequestId& request) override {
    PostToControlThread(
        [this, request](Time now) { core_.OnCallerGone(request, now); });
  }

  // Progress that is reported while the control thread is busy is merged into
  // one event, with the last reported `next_chunk` of each request.
  void ReportProgress(const AttemptId& attempt, uint32_t next_chunk) override {
    {
      const std::lock_guard lock(progress_mutex_);
      pending_progress_[attempt.request] = {attempt, next_chunk};
      if (progress_event_posted_) {
        return;
      }
      progress_event_posted_ = true;
    }
    PostToControlThread([this](Time now) { DeliverProgress(now); });
  }

  void SendOfferToAgent(const PeerId& to, Offer offer) override {
    const AttemptId attempt = offer.attempt;
    bus_->Send(to, std::move(offer), [this, attempt] {
      PostToControlThread(
          [this, attempt](Time now) { core_.OnSendFailed(attempt, now); });
    });
  }

 protected:
  void OnStart() override {}

  void OnTick(Time now) override {
    core_.Tick(now);
    if (now >= next_counters_at_) {
      next_counters_at_ = now + kCounterInterval;
      ExportBlameCounters(core_.tables().blame, now, &metrics_);
    }
  }

  void OnConfig(FleetConfigPtr config, Time now) override {
    core_.OnConfig(std::move(config), now);
  }

  void OnInstances(const std::vector<InstanceInfo>& instances,
                   Time now) override {
    instances_known_ = true;
    core_.OnInstances(instances, now);
  }

  void OnMessage(const Message& message, Time now) override {
    core_.OnMessage(message, now);
  }

  // Passes chunks directly to their session, bypassing the control thread.
  // Returns whether the message was consumed.
  bool HandleOnBusThread(Message& message) override {
    auto* chunk = std::get_if<Chunk>(&message.body);
    if (chunk == nullptr) {
      return false;
    }
    http_server_->DeliverChunk(std::move(*chunk));
    return true;
  }

  void OnUnreachable(const InstanceId& peer, Time now) override {
    core_.OnPeerUnreachable(peer, now);
  }

  void ExecuteActions(Time) override {
    for (EntryAction& it : core_.TakeActions()) {
      // The actions that follow may answer other requests.
      RunGuarded("action", [&] {
        std::visit([this](auto& action) { Execute(action); }, it);
      });
    }
  }

  bool IsReady() const override { return config_ && instances_known_; }

  void BeginDrain(Time now) override { core_.BeginDrain(now); }

  bool IsDrained() const override { return core_.IsDrained(); }

  std::optional<Duration> StopGrace() const override {
    return configured_stop_grace();
  }

  void OnStopPlanned(Time work_ends_at) override {
    core_.OnStopPlanned(work_ends_at);
  }

  size_t EndOpenWork(Time now) override { return core_.EndOpenRequests(now); }

  void SendGoodbye() override {
    for (const auto& [peer, users] : connection_users_) {
      bus_->Send({peer, Incarnation()}, Goodbye{});
    }
  }

  std::string CoreStateJson(Time now) const override { return core_.Dump(now); }

  Duration AcceptPeriodAfterStop() const override {
    return settings_.limits.balancer_lag;
  }

 private:
  struct ChunkProgress {
    AttemptId attempt;
    uint32_t next_chunk = 0;
  };

  void DeliverProgress(Time now) {
    std::map<RequestId, ChunkProgress> progress;
    {
      const std::lock_guard lock(progress_mutex_);
      progress.swap(pending_progress_);
      progress_event_posted_ = false;
    }
    for (const auto& [request, it] : progress) {
      core_.OnProgress(it.attempt, it.next_chunk, now);
    }
  }

  void Execute(SendOffer& action) {
    http_server_->FillAndSendOffer(action.to, std::move(action.offer));
  }

  void Execute(SendMessage& action) {
    bus_->Send(action.to, std::move(action.body));
  }

  void Execute(const SpreadReport& action) {
    for (const InstanceId& it : HeartbeatPeers()) {
      bus_->Send({it, Incarnation()}, action.report);
    }
  }

  void Execute(const CompleteRequest& action) {
    http_server_->Complete(action);
  }

  void Execute(const FailRequest& action) { http_server_->Fail(action); }

  void Execute(const ConnectPeer& action) {
    Connect(ConnectionUser::kCore, action.instance, action.address);
  }

  void Execute(const DisconnectPeer& action) {
    Disconnect(ConnectionUser::kCore, action.instance);
  }

  EntryCore core_;
  bool instances_known_ = false;
  Time next_counters_at_{};

  std::mutex progress_mutex_;  // Protects the two members below.
  std::map<RequestId, ChunkProgress> pending_progress_;
  bool progress_event_posted_ = false;
};

}  // namespace

int RunEntry(const Settings& settings) {
  EntryDaemon daemon(settings);
  return daemon.Run();
}

}  // namespace burdockhatch
