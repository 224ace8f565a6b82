#include "src/forward_loop_daemon.h"

#include <chrono>
#include <csignal>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/post.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "src/connection_ends.h"
#include "src/daemon_common.h"
#include "src/exception_guard.h"
#include "src/log.h"
#include "src/settings_reload.h"

namespace burdockhatch {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace {

// Delay until the next tick after one that has failed.
constexpr Duration kTickRetryDelay = std::chrono::milliseconds(50);

}  // namespace

ForwardDaemonBase::ForwardDaemonBase(Settings settings)
    : settings_(std::move(settings)),
      self_{settings_.instance, NewIncarnation()},
      timers_(io_),
      signals_(io_, SIGTERM, SIGINT, SIGHUP),
      tick_(io_),
      stop_grace_(settings_.forwarding->stop_grace) {}

ForwardDaemonBase::~ForwardDaemonBase() = default;

std::unique_ptr<Timer> ForwardDaemonBase::Schedule(
    Duration delay,
    std::function<void()> callback) {
  return timers_.Schedule(delay, std::move(callback));
}

int ForwardDaemonBase::Run() {
  SetLogIdentity(settings_.instance, settings_.data_centre);
  // Writing to a connection that the peer has closed must not kill the process.
  std::signal(SIGPIPE, SIG_IGN);
  std::string error = StartServers();
  if (error.empty()) {
    error = OnStart();
  }
  if (!error.empty()) {
    Log(LogLevel::kError, "start_failed", {{"reason", error}});
    return 1;
  }
  Log(LogLevel::kInfo, "started",
      {{"incarnation", std::to_string(self_.incarnation.value())},
       {"bus", settings_.bus_address},
       {"http", settings_.http_address}});
  WaitForSignal();
  Tick();
  RunLoopGuarded(io_);
  OnLoopEnded();
  admin_server_->Stop();
  bus_->Stop();
  Log(LogLevel::kInfo, "stopped");
  return 0;
}

std::string ForwardDaemonBase::StartServers() {
  BusOptions bus_options;
  bus_options.self = self_;
  bus_options.bind_address = settings_.bus_address;
  Bus::Handlers handlers;
  handlers.on_message = [this](Message message) {
    asio::post(io_, [this, message = std::move(message)] {
      RunGuarded("message", [&] { OnMessage(message, Now()); });
    });
  };
  handlers.on_unreachable = [this](const InstanceId& peer) {
    asio::post(io_, [this, peer] {
      RunGuarded("unreachable", [&] { OnUnreachable(peer, Now()); });
    });
  };
  HttpEntryOptions http_options;
  http_options.address = settings_.http_address;
  http_options.limits = settings_.limits;
  http_options.limits.traffic_threads = 1;
  http_options.caller_api_enabled = false;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_AUTO(bus, StartBus(bus_options, handlers));
        bus_ = std::move(bus);
        BOOST_LEAF_AUTO(http,
                        StartHttpEntry(http_options, this, &clock_, &metrics_));
        admin_server_ = std::move(http);
        return std::string();
      },
      [](const BusError& error) { return error.message; },
      [](const HttpEntryError& error) { return error.message; },
      [] { return std::string("unknown error"); });
}

void ForwardDaemonBase::WaitForSignal() {
  signals_.async_wait([this](boost::system::error_code ec, int signal) {
    if (!ec) {
      RunGuarded("signal", [&] { OnSignal(signal); });
      WaitForSignal();
    }
  });
}

void ForwardDaemonBase::OnSignal(int signal) {
  // The settings may also have changed without a SIGHUP.
  UpdateStopGrace();
  if (signal == SIGHUP) {
    // Addresses and limits are read only at startup: the platform restarts a
    // process whose addresses change.
    Log(LogLevel::kInfo, "reload_requested");
    return;
  }
  if (!stopping_) {
    stopping_ = true;
    stop_requested_at_ = Now();
    Log(LogLevel::kInfo, "stopping", {{"signal", std::to_string(signal)}});
    admin_server_->SetPhase(ServingPhase::kTerminating);
    OnStopRequested();
  }
}

void ForwardDaemonBase::UpdateStopGrace() {
  const std::optional<Settings> settings = ReloadSettings(settings_);
  if (!settings || !settings->forwarding ||
      settings->forwarding->stop_grace == stop_grace_) {
    return;
  }
  const Duration former =
      std::exchange(stop_grace_, settings->forwarding->stop_grace);
  Log(LogLevel::kInfo, "stop_grace_changed",
      {{"from_ms", std::to_string(former.count() / 1'000)},
       {"to_ms", std::to_string(stop_grace_.count() / 1'000)}});
  if (stopping_) {
    OnStopGraceChanged();
  }
}

void ForwardDaemonBase::Tick() {
  const Time now = Now();
  Duration next = kTickRetryDelay;
  RunGuarded("tick", [&] { next = OnTick(now); });
  bool can_exit = false;
  RunGuarded("serving_phase", [&] {
    UpdateReadiness();
    can_exit = stopping_ && CanExit(now - stop_requested_at_);
  });
  if (can_exit) {
    io_.stop();
    return;
  }
  tick_.expires_after(next);
  tick_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

void ForwardDaemonBase::UpdateReadiness() {
  const bool ready = IsReady();
  if (ready == ready_ || stopping_) {
    return;
  }
  ready_ = ready;
  Log(LogLevel::kInfo, ready ? "ready" : "not_ready");
  admin_server_->SetPhase(ready ? ServingPhase::kServing
                                : ServingPhase::kStarting);
}

void ForwardDaemonBase::DumpState(std::function<void(std::string)> done) {
  asio::post(io_, [this, done = std::move(done)] {
    done(fmt::format(
        "{{\"instance\":\"{}\",\"incarnation\":{},"
        "\"data_centre\":\"{}\",\"ready\":{},\"stopping\":{},"
        "\"core\":{}}}\n",
        settings_.instance.value(), self_.incarnation.value(),
        settings_.data_centre.value(), ready_, stopping_, Dump(Now())));
  });
}

void ForwardDaemonBase::LiftPart(PartKey part) {
  asio::post(io_, [this, part] {
    const bool was_suspect = LiftPartNow(part, Now());
    Log(LogLevel::kInfo, "part_lifted",
        {{"part", fmt::format("{:016x}", part.value())},
         {"was_suspect", was_suspect ? "true" : "false"}});
  });
}

std::string ForwardDaemonBase::MetricsText() {
  ExportBusCounters(bus_->Stats(), &metrics_);
  metrics_.SetGauge("burdockhatch_caught_exceptions", "",
                    static_cast<int64_t>(CaughtExceptions()));
  ExportConnectionEnds(&metrics_);
  return metrics_.ExpositionText();
}

}  // namespace burdockhatch
