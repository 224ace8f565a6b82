#include "src/daemon_loop.h"

#include <csignal>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "src/config_edit.h"
#include "src/connection_ends.h"
#include "src/daemon_common.h"
#include "src/exception_guard.h"
#include "src/log.h"
#include "src/object_api_http.h"
#include "src/random.h"
#include "src/settings_reload.h"

namespace burdockhatch {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr auto kInstancePollInterval = std::chrono::seconds(15);
// Until the first instance list has been read, it is polled more often, so that
// the process becomes ready soon after its start.
constexpr auto kInitialInstancePollInterval = std::chrono::seconds(1);
// Limit of the messages queued for the control thread. Above it, messages that
// the next one of their type supersedes are dropped.
constexpr uint64_t kMaxQueuedMessages = 16 * 1024;
// Time between the end of all work and the end of the process, in which peers
// may still request a lost chunk.
constexpr Duration kStopLinger = std::chrono::milliseconds(300);
// Time before the end of the stop grace at which the process begins to exit.
constexpr Duration kStopMargin = std::chrono::milliseconds(700);
// Time to write the last responses and to linger, after the requests in
// progress have been ended.
constexpr Duration kLastResponsesTime = std::chrono::milliseconds(600);

ConfigDistributorOptions ConfigSpreadOptionsFor(const Settings& settings,
                                                const PeerId& self) {
  ConfigDistributorOptions options;
  options.self = self;
  options.role = settings.role;
  options.data_centre = settings.data_centre;
  options.address = settings.bus_address;
  options.seed = self.incarnation.value();
  for (const PeerSettings& it : settings.seed_peers) {
    options.seed_peers.push_back({it.instance, it.address});
  }
  return options;
}

bool IsSupersededByNext(const MessageBody& body) {
  return std::holds_alternative<LoadReport>(body) ||
         std::holds_alternative<Heartbeat>(body);
}

}  // namespace

struct DaemonLoop::Internals {
  Internals(asio::io_context& control,
            ConfigDistributorOptions options,
            Time now)
      : config_spread(std::move(options), now),
        tick_timer(control),
        instance_timer(control),
        signals(control, SIGTERM, SIGINT, SIGHUP) {}

  ConfigDistributor config_spread;
  Time next_config_spread_tick{};
  asio::steady_timer tick_timer;
  asio::steady_timer instance_timer;
  asio::signal_set signals;
  std::vector<std::thread> threads;
  Random random{0};
  ObjectVersion instance_version;
  bool instances_known = false;
  std::atomic<uint64_t> queued_messages = 0;
  // Whether the bus and the HTTP server are running.
  std::atomic<bool> started = false;
  ServingPhase phase = ServingPhase::kStarting;
  Time stop_requested_at{};
  Duration stop_grace{};
  std::optional<Time> exit_at;  // Of a stop that is bounded.
  Time accept_until{};          // End of the phase kTerminating.
  bool work_ended = false;      // By the end of the stop grace.
  Time drained_at{};            // Time at which all work was found complete.
  bool drained = false;  // Whether all work was complete at the last tick.
};

DaemonLoop::DaemonLoop(Settings settings)
    : settings_(std::move(settings)),
      self_{settings_.instance, NewIncarnation()},
      internals_(
          std::make_unique<Internals>(control_io_,
                                      ConfigSpreadOptionsFor(settings_, self_),
                                      clock_.Now())) {
  internals_->random = Random(self_.incarnation.value());
  internals_->stop_grace = settings_.limits.stop_grace;
}

DaemonLoop::~DaemonLoop() = default;

int DaemonLoop::Run() {
  SetLogIdentity(settings_.instance, settings_.data_centre);
  // Writing to a connection that its peer has closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  if (!StartComponents()) {
    return 1;
  }
  auto traffic_work = asio::make_work_guard(traffic_io_);
  for (uint32_t i = 0; i < settings_.limits.traffic_threads; ++i) {
    internals_->threads.emplace_back([this] { RunLoopGuarded(traffic_io_); });
  }
  Log(LogLevel::kInfo, "started",
      {{"incarnation", std::to_string(self_.incarnation.value())},
       {"bus", settings_.bus_address},
       {"http", settings_.http_address}});
  OnStart();
  PollInstances();
  StartTick();
  WaitForSignal();
  RunLoopGuarded(control_io_);

  http_server_->Stop();
  bus_->Stop();
  traffic_io_.stop();
  for (std::thread& it : internals_->threads) {
    it.join();
  }
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

bool DaemonLoop::StartComponents() {
  ObjectApiHttpOptions object_api_options;
  object_api_options.address = settings_.object_api_address;
  object_api_ = std::make_unique<ObjectApiHttp>(control_io_, traffic_io_,
                                                object_api_options);
  BusOptions bus_options;
  bus_options.self = self_;
  bus_options.bind_address = settings_.bus_address;
  Bus::Handlers handlers;
  handlers.on_message = [this](Message message) {
    ReceiveOnBusThread(std::move(message));
  };
  handlers.on_unreachable = [this](const InstanceId& peer) {
    PostToControlThread([this, peer](Time now) {
      internals_->config_spread.OnPeerUnreachable(peer, now);
      OnUnreachable(peer, now);
    });
  };
  HttpEntryOptions http_options;
  http_options.address = settings_.http_address;
  http_options.limits = settings_.limits;
  http_options.caller_api_enabled = settings_.role == Role::kEntry;
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(bus, StartBus(bus_options, handlers));
        bus_ = std::move(bus);
        BOOST_LEAF_AUTO(http,
                        StartHttpEntry(http_options, this, &clock_, &metrics_));
        http_server_ = std::move(http);
        internals_->started = true;
        return true;
      },
      [](const BusError& error) {
        Log(LogLevel::kError, "start_failed", {{"reason", error.message}});
        return false;
      },
      [](const HttpEntryError& error) {
        Log(LogLevel::kError, "start_failed", {{"reason", error.message}});
        return false;
      },
      [] {
        Log(LogLevel::kError, "start_failed");
        return false;
      });
}

void DaemonLoop::PostToControlThread(std::function<void(Time now)> event) {
  asio::post(control_io_, [this, event = std::move(event)] {
    event(Now());
    ExecutePendingActions();
  });
}

std::vector<InstanceId> DaemonLoop::HeartbeatPeers() const {
  return internals_->config_spread.heartbeat_peers();
}

void DaemonLoop::ExecutePendingActions() {
  ExecuteConfigActions();
  ExecuteActions(Now());
}

// --- Tick and planned stop --------------------------------------------------

void DaemonLoop::StartTick() {
  internals_->tick_timer.expires_after(kTickInterval);
  internals_->tick_timer.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

void DaemonLoop::Tick() {
  const Time now = Now();
  RunGuarded("config_tick", [&] {
    if (now >= internals_->next_config_spread_tick) {
      internals_->next_config_spread_tick = now + kConfigTickInterval;
      internals_->config_spread.Tick(now);
    }
  });
  RunGuarded("tick", [&] {
    OnTick(now);
    ExecutePendingActions();
  });
  RunGuarded("serving_phase", [&] { UpdateServingPhase(now); });
  if (!control_io_.stopped()) {
    StartTick();
  }
}

void DaemonLoop::UpdateServingPhase(Time now) {
  Internals& internals = *internals_;
  if (internals.phase == ServingPhase::kStarting ||
      internals.phase == ServingPhase::kServing) {
    internals.phase =
        IsReady() ? ServingPhase::kServing : ServingPhase::kStarting;
  } else if (internals.phase == ServingPhase::kTerminating &&
             now >= internals.accept_until) {
    internals.phase = ServingPhase::kDraining;
    Log(LogLevel::kInfo, "draining");
    BeginDrain(now);
    ExecutePendingActions();
  } else if (internals.phase == ServingPhase::kDraining) {
    const bool drained = IsDrained() && http_server_->Stats().requests == 0;
    if (drained && !internals.drained) {
      internals.drained_at = now;
    }
    internals.drained = drained;
    if (drained && now >= internals.drained_at + kStopLinger) {
      FinishStop();
    } else {
      KeepStopGrace(now);
    }
  }
  http_server_->SetPhase(internals.phase);
}

void DaemonLoop::WaitForSignal() {
  internals_->signals.async_wait(
      [this](boost::system::error_code ec, int signal_number) {
        if (!ec) {
          WaitForSignal();
          OnSignal(signal_number);
        }
      });
}

void DaemonLoop::OnSignal(int signal_number) {
  // The settings may also have changed without a SIGHUP.
  UpdateStopGrace();
  if (signal_number == SIGHUP) {
    // Other settings are read only at startup.
    Log(LogLevel::kInfo, "reload_requested");
  } else if (internals_->phase == ServingPhase::kStarting ||
             internals_->phase == ServingPhase::kServing) {
    BeginStop(signal_number);
  }
}

void DaemonLoop::BeginStop(int signal_number) {
  Log(LogLevel::kInfo, "planned_stop",
      {{"signal", std::to_string(signal_number)}});
  internals_->config_spread.BeginDrain();
  internals_->phase = ServingPhase::kTerminating;
  internals_->stop_requested_at = Now();
  PlanStop();
  UpdateServingPhase(Now());
}

Duration DaemonLoop::configured_stop_grace() const {
  return internals_->stop_grace;
}

void DaemonLoop::UpdateStopGrace() {
  const std::optional<Settings> settings = ReloadSettings(settings_);
  if (!settings || settings->limits.stop_grace == internals_->stop_grace) {
    return;
  }
  const Duration former =
      std::exchange(internals_->stop_grace, settings->limits.stop_grace);
  Log(LogLevel::kInfo, "stop_grace_changed",
      {{"from_ms", std::to_string(former.count() / 1'000)},
       {"to_ms", std::to_string(internals_->stop_grace.count() / 1'000)}});
  if (internals_->phase == ServingPhase::kTerminating ||
      internals_->phase == ServingPhase::kDraining) {
    PlanStop();
  }
}

void DaemonLoop::PlanStop() {
  Internals& internals = *internals_;
  internals.accept_until =
      internals.stop_requested_at + AcceptPeriodAfterStop();
  const std::optional<Duration> grace = StopGrace();
  if (!grace) {
    return;
  }
  internals.exit_at = internals.stop_requested_at + *grace - kStopMargin;
  const Time work_ends_at = *internals.exit_at - kLastResponsesTime;
  internals.accept_until = std::min(internals.accept_until, work_ends_at);
  OnStopPlanned(work_ends_at);
}

void DaemonLoop::KeepStopGrace(Time now) {
  Internals& internals = *internals_;
  if (!internals.exit_at) {
    return;
  }
  const Time exit_at = *internals.exit_at;
  if (internals.work_ended && now >= exit_at) {
    Log(LogLevel::kWarning, "stop_grace_over",
        {{"responses", std::to_string(http_server_->Stats().requests)}});
    FinishStop();
  } else if (!internals.work_ended && now >= exit_at - kLastResponsesTime) {
    internals.work_ended = true;
    if (const size_t ended = EndOpenWork(now)) {
      Log(LogLevel::kWarning, "requests_ended_by_stop",
          {{"count", std::to_string(ended)}});
    }
    ExecutePendingActions();
  }
}

void DaemonLoop::FinishStop() {
  ExecutePendingActions();
  SendGoodbye();
  control_io_.stop();
}

// --- Configuration and instances --------------------------------------------

void DaemonLoop::ExecuteConfigActions() {
  for (ConfigDistributorAction& it : internals_->config_spread.TakeActions()) {
    std::visit([this](auto& action) { Execute(action); }, it);
  }
}

void DaemonLoop::Execute(SendConfigMessage& action) {
  bus_->Send(action.to, std::move(action.body));
}

void DaemonLoop::Execute(const WatchConfig& action) {
  object_api_->Watch(FleetConfigObjectName(), action.after, action.wait,
                     [this](const ObjectReply& reply) {
                       internals_->config_spread.OnObjectReply(reply, Now());
                       ExecutePendingActions();
                     });
}

void DaemonLoop::Execute(const ApplyConfig& action) {
  config_ = action.config;
  bus_->SetConfigVersion(config_->version);
  http_server_->SetConfig(config_);
  OnConfig(config_, Now());
  Log(LogLevel::kInfo, "config_applied",
      {{"version", std::to_string(config_->version.value())}});
}

void DaemonLoop::Execute(const ConnectConfigPeer& action) {
  Connect(ConnectionUser::kConfig, action.instance, action.address);
}

void DaemonLoop::Execute(const DisconnectConfigPeer& action) {
  Disconnect(ConnectionUser::kConfig, action.instance);
}

void DaemonLoop::Connect(ConnectionUser user,
                         const InstanceId& peer,
                         const std::string& address) {
  std::vector<ConnectionUser>& users = connection_users_[peer];
  if (std::find(users.begin(), users.end(), user) == users.end()) {
    users.push_back(user);
  }
  bus_->Connect(peer, address);
}

void DaemonLoop::Disconnect(ConnectionUser user, const InstanceId& peer) {
  const auto it = connection_users_.find(peer);
  if (it == connection_users_.end()) {
    return;
  }
  std::erase(it->second, user);
  if (it->second.empty()) {
    connection_users_.erase(it);
    bus_->Disconnect(peer);
  }
}

void DaemonLoop::PollInstances() {
  object_api_->ListInstances(
      internals_->instance_version,
      [this](const InstanceListReply& reply) { OnInstanceList(reply); });
}

void DaemonLoop::OnInstanceList(const InstanceListReply& reply) {
  Internals& internals = *internals_;
  if (reply.status == ObjectStatus::kOk) {
    internals.instance_version = reply.version;
    internals.instances_known = true;
    if (reply.skipped > 0) {
      Log(LogLevel::kWarning, "instances_skipped",
          {{"count", std::to_string(reply.skipped)},
           {"first", reply.first_skipped}});
    }
    internals.config_spread.OnInstances(reply.instances, Now());
    OnInstances(reply.instances, Now());
    ExecutePendingActions();
  }
  // Jitter keeps processes that started together from polling at the same time.
  const auto base =
      internals.instances_known
          ? std::chrono::milliseconds(kInstancePollInterval)
          : std::chrono::milliseconds(kInitialInstancePollInterval);
  const auto ms = static_cast<uint64_t>(base.count());
  const auto wait = ms / 2 + internals.random.UniformBelow(ms);
  internals.instance_timer.expires_after(std::chrono::milliseconds(wait));
  internals.instance_timer.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      PollInstances();
    }
  });
}

// --- Messages ---------------------------------------------------------------

void DaemonLoop::ReceiveOnBusThread(Message message) {
  Internals& internals = *internals_;
  // Chunks are delivered to HTTP sessions, and the HTTP server starts after the
  // bus.
  if (!internals.started || HandleOnBusThread(message)) {
    return;
  }
  if (internals.queued_messages >= kMaxQueuedMessages &&
      IsSupersededByNext(message.body)) {
    metrics_.IncrementCounter("burdockhatch_messages_dropped_total", "");
    return;
  }
  ++internals.queued_messages;
  PostToControlThread([this, message = std::move(message)](Time now) {
    --internals_->queued_messages;
    internals_->config_spread.OnMessage(message, now);
    OnMessage(message, now);
  });
}

// --- Observability ----------------------------------------------------------

void DaemonLoop::DumpState(std::function<void(std::string)> done) {
  asio::post(control_io_,
             [this, done = std::move(done)] { done(StateText()); });
}

std::string DaemonLoop::StateText() const {
  const BusStats bus = bus_->Stats();
  const HttpEntryStats http = http_server_->Stats();
  return fmt::format(
      "{{\"instance\":\"{}\",\"incarnation\":{},\"data_centre\":\"{}\","
      "\"config_version\":{},\"bus\":{{\"sent\":{},\"received\":{},"
      "\"not_sent\":{},\"rejected\":{},\"other_incarnation\":{},"
      "\"connections\":{},\"queued\":{}}},\"sessions\":{{\"connections\":{},"
      "\"requests\":{}}},\"request_memory\":{},\"config\":{},\"core\":{}}}\n",
      settings_.instance.value(), self_.incarnation.value(),
      settings_.data_centre.value(), config_ ? config_->version.value() : 0,
      bus.sent, bus.received, bus.not_sent, bus.rejected, bus.other_incarnation,
      bus.connections, bus.queued, http.connections, http.requests,
      DumpRequestMemory(http.memory), internals_->config_spread.Dump(Now()),
      CoreStateJson(Now()));
}

std::string DaemonLoop::MetricsText() {
  UpdateMetrics();
  return metrics_.ExpositionText();
}

void DaemonLoop::UpdateMetrics() {
  ExportBusCounters(bus_->Stats(), &metrics_);
  ExportConnectionEnds(&metrics_);
  // The threads of the HTTP server may serve a request before `http_server_` is
  // set.
  if (!internals_->started) {
    return;
  }
  const HttpEntryStats http = http_server_->Stats();
  metrics_.SetGauge("burdockhatch_connections", "",
                    static_cast<int64_t>(http.connections));
  metrics_.SetGauge("burdockhatch_requests_in_progress", "",
                    static_cast<int64_t>(http.requests));
  if (settings_.role == Role::kEntry) {
    ExportRequestMemory(http.memory, &metrics_);
  }
}

}  // namespace burdockhatch
