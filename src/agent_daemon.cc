#include "src/agent_daemon.h"

#include <algorithm>
#include <map>
#include <memory>
#include <mutex>
#include <utility>
#include <variant>

#include "src/agent_core.h"
#include "src/daemon_loop.h"
#include "src/engine_http.h"
#include "src/plain_service_http.h"

namespace burdockhatch {

namespace {

constexpr Duration kProbeInterval = std::chrono::seconds(1);

AgentOptions MakeAgentOptions(const Settings& settings, const PeerId& self) {
  const TargetSettings& target = settings.target;
  AgentOptions options;
  options.self = self;
  options.target = target.target;
  options.data_centre = settings.data_centre;
  options.model = target.model;
  options.service = target.service;
  options.memory = target.memory;
  options.full_budget = target.full_budget;
  options.prefill_rate = target.prefill_rate;
  options.time_per_token = target.time_per_token;
  options.max_service_calls = target.max_service_calls;
  options.honours_fencing = target.honours_fencing;
  return options;
}

class AgentDaemon : public DaemonLoop {
 public:
  explicit AgentDaemon(const Settings& settings)
      : DaemonLoop(settings), core_(MakeAgentOptions(settings_, self_)) {}

  // An agent accepts no requests from callers.
  void SubmitRequest(RequestSpec) override {}
  void OnCallerDisconnected(const RequestId&) override {}
  void ReportProgress(const AttemptId&, uint32_t) override {}
  void SendOfferToAgent(const PeerId&, Offer) override {}

 protected:
  void OnStart() override {
    const std::string& address = settings_.target.address;
    if (settings_.target.kind == TargetKind::kEngine) {
      engine_ = MakeHttpEngine(control_io_, traffic_io_, address);
    } else {
      service_ = MakeHttpPlainService(control_io_, traffic_io_, address);
    }
  }

  void OnTick(Time now) override {
    ReportProgress(now);
    core_.Tick(now, clock_.WallNow());
    if (now >= next_probe_at_) {
      next_probe_at_ = now + kProbeInterval;
      ProbeTarget();
    }
  }

  void OnConfig(FleetConfigPtr config, Time now) override {
    core_.OnConfig(std::move(config), now);
  }

  void OnInstances(const std::vector<InstanceInfo>&, Time) override {}

  void OnMessage(const Message& message, Time now) override {
    UpdateIncarnation(message.sender, now);
    core_.OnMessage(message, now);
  }

  bool HandleOnBusThread(Message&) override { return false; }

  void OnUnreachable(const InstanceId&, Time) override {}

  void ExecuteActions(Time) override {
    for (AgentAction& it : core_.TakeActions()) {
      std::visit([this](auto& action) { Execute(action); }, it);
    }
  }

  bool IsReady() const override { return config_ != nullptr; }

  void BeginDrain(Time now) override { core_.BeginDrain(now); }

  bool IsDrained() const override { return core_.Drained(); }

  // AgentCore has sent Goodbye to its subscribers.
  void SendGoodbye() override {}

  std::string CoreStateJson(Time now) const override { return core_.Dump(now); }

  // Time for which new work is accepted after a stop was requested. Zero,
  // because no load balancer sends work to an agent: entries are notified, and
  // later offers are refused with outcome kNotRun.
  Duration AcceptPeriodAfterStop() const override { return Duration(0); }

 private:
  // Position of the relay of one stream.
  struct RelayPosition {
    uint32_t next_chunk = 0;
    Tokens tokens;
    bool changed = false;
  };

  // A new incarnation of an entry shows that the previous one has ended.
  void UpdateIncarnation(const PeerId& sender, Time now) {
    Incarnation& latest = latest_incarnations_[sender.instance];
    if (sender.incarnation > latest) {
      if (latest != Incarnation()) {
        core_.OnPeerGone({sender.instance, latest}, now);
      }
      latest = sender.incarnation;
    }
  }

  // --- Target ---

  void ProbeTarget() {
    if (service_) {
      service_->CheckHealth([this](bool healthy) {
        core_.OnServiceProbe(healthy, Now());
        ExecutePendingActions();
      });
      return;
    }
    engine_->FetchLoad([this](const EngineLoad* load) {
      core_.OnEngineLoad(load, Now());
      ExecutePendingActions();
    });
    engine_->FetchCacheEvents(
        last_cache_event_sequence_, [this](std::vector<CacheEvent> list) {
          for (const CacheEvent& it : list) {
            last_cache_event_sequence_ =
                std::max(last_cache_event_sequence_, it.sequence);
          }
          core_.OnCacheEvents(list, Now());
          ExecutePendingActions();
        });
  }

  // The traffic thread sends chunks directly to the bus; the control thread
  // learns the relay position at the next tick.
  Engine::StreamCallbacks RelayTo(const PeerId& entry,
                                  const AttemptId& attempt,
                                  const StreamId& stream) {
    Engine::StreamCallbacks callbacks;
    callbacks.on_start = [this, stream](StartStatus status) {
      core_.OnStreamStarted(stream, status, Now());
      ExecutePendingActions();
    };
    callbacks.on_chunk = [this, entry, attempt, stream](StreamChunk chunk) {
      RecordRelayedChunk(stream, chunk);
      bus_->Send(entry, Chunk{attempt, chunk.index, chunk.tokens,
                              std::move(chunk.data)});
    };
    callbacks.on_end = [this, stream](StreamEnd end, uint32_t chunk_count) {
      ReportProgress(Now());
      EraseRelayPositionIfEnded(stream, end);
      core_.OnStreamEnded(stream, end, chunk_count, Now());
      ExecutePendingActions();
    };
    return callbacks;
  }

  void RecordRelayedChunk(const StreamId& stream, const StreamChunk& chunk) {
    const std::lock_guard lock(relay_mutex_);
    RelayPosition& position = relay_positions_[stream];
    // Chunks that are relayed again after a reattach are not counted twice.
    if (chunk.index >= position.next_chunk) {
      position.next_chunk = chunk.index + 1;
      position.tokens += Tokens(chunk.tokens);
      position.changed = true;
    }
  }

  // After a lost connection the position is kept, because the agent may attach
  // to the stream again.
  void EraseRelayPositionIfEnded(const StreamId& stream, StreamEnd end) {
    if (end != StreamEnd::kConnectionLost) {
      const std::lock_guard lock(relay_mutex_);
      relay_positions_.erase(stream);
    }
  }

  void ReportProgress(Time now) {
    std::vector<std::pair<StreamId, RelayPosition>> changed;
    {
      const std::lock_guard lock(relay_mutex_);
      for (auto& [stream, position] : relay_positions_) {
        if (position.changed) {
          position.changed = false;
          changed.emplace_back(stream, position);
        }
      }
    }
    for (const auto& [stream, position] : changed) {
      core_.OnStreamProgress(stream, position.next_chunk, position.tokens, now);
    }
  }

  // --- Actions ---

  void Execute(SendToPeer& action) {
    bus_->Send(action.to, std::move(action.body));
  }

  void Execute(StartStream& action) {
    Engine::StreamCallbacks callbacks =
        RelayTo(action.entry, action.attempt, action.spec.stream);
    engine_->Start(std::move(action.spec), std::move(callbacks));
  }

  void Execute(const AttachStream& action) {
    engine_->Attach(action.stream, action.next_chunk,
                    RelayTo(action.entry, action.attempt, action.stream));
  }

  void Execute(const CancelStream& action) {
    engine_->Cancel(action.stream);
    EraseRelayPositionIfEnded(action.stream, StreamEnd::kCancelled);
  }

  void Execute(const ImportCacheAction& action) {
    engine_->ImportCache(action.cache, action.memory,
                         [this, cache = action.cache](StartStatus status) {
                           core_.OnCacheImported(cache, status, Now());
                           ExecutePendingActions();
                         });
  }

  void Execute(const ReleaseCacheAction& action) {
    engine_->ReleaseCache(action.cache);
  }

  void Execute(const ListEngine&) {
    if (!engine_) {
      return;
    }
    engine_->ListHoldings([this, asked_at = Now()](const EngineHoldings* list) {
      core_.OnEngineList(list, asked_at, Now());
      ExecutePendingActions();
    });
  }

  // The service adapter checks the timeout on the I/O thread just before the
  // first write, so the timeout must not extend beyond `not_after`.
  void Execute(DispatchCall& action) {
    const Duration left = action.not_after - Now();
    if (left <= Duration(0)) {
      PostToControlThread([this, attempt = action.attempt](Time now) {
        ServiceResponse answer;
        answer.status = CallStatus::kNotSent;
        core_.OnServiceAnswer(attempt, std::move(answer), now);
      });
      return;
    }
    action.request.timeout = std::min(action.request.timeout, left);
    service_->Call(std::move(action.request),
                   [this, attempt = action.attempt](ServiceResponse answer) {
                     core_.OnServiceAnswer(attempt, std::move(answer), Now());
                     ExecutePendingActions();
                   });
  }

  void Execute(const ReadObject& action) {
    object_api_->Read(action.name,
                      [this, name = action.name](const ObjectReply& reply) {
                        core_.OnObjectRead(name, reply, Now());
                        ExecutePendingActions();
                      });
  }

  void Execute(UpdateObject& action) {
    object_api_->Update(action.name, action.expected, std::move(action.value),
                        [this, name = action.name](const ObjectReply& reply) {
                          core_.OnObjectUpdated(name, reply, Now());
                          ExecutePendingActions();
                        });
  }

  AgentCore core_;
  std::unique_ptr<Engine> engine_;
  std::unique_ptr<PlainService> service_;
  std::map<InstanceId, Incarnation> latest_incarnations_;
  Time next_probe_at_{};
  uint64_t last_cache_event_sequence_ = 0;

  std::mutex relay_mutex_;  // Guards relay_positions_.
  std::map<StreamId, RelayPosition> relay_positions_;
};

}  // namespace

int RunAgent(const Settings& settings) {
  AgentDaemon daemon(settings);
  return daemon.Run();
}

}  // namespace burdockhatch
