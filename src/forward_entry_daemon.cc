#include <algorithm>
#include <array>
#include <set>
#include <string_view>
#include <utility>
#include <variant>

#include <fmt/format.h>
#include <boost/leaf/handle_errors.hpp>

#include "src/caller_server.h"
#include "src/daemon_common.h"
#include "src/exception_guard.h"
#include "src/feed_follower.h"
#include "src/forward_daemon.h"
#include "src/forward_loop_daemon.h"
#include "src/forward_request.h"
#include "src/log.h"
#include "src/long_watch_feed.h"
#include "src/placement_client.h"
#include "src/relayed_feed.h"
#include "src/rendezvous.h"
#include "src/request_memory.h"
#include "src/restored_store.h"

namespace burdockhatch {

namespace leaf = boost::leaf;

namespace {

constexpr Duration kIdleTickInterval = std::chrono::milliseconds(50);
constexpr Duration kCounterInterval = std::chrono::seconds(1);
// How long the load balancer keeps sending after readiness turns false: it
// checks every second and stops after two failures, and a connection opened
// just before that may still carry a request.
constexpr Duration kBalancerLag = std::chrono::milliseconds(2'700);
// The listener closes this long before the process gives up its requests.
constexpr Duration kListenerCloseMargin = std::chrono::milliseconds(1'000);
// Time before the end of the stop grace at which the process begins to exit:
// the bus lingers for 300 ms, and the exit takes another 300 ms on a tenth of a
// core.
constexpr Duration kStopMargin = std::chrono::milliseconds(700);
// Time to write the last responses, and to refuse requests whose last bytes
// arrive with them, after the requests in progress have been ended.
constexpr Duration kLastResponsesTime = std::chrono::milliseconds(300);

// Agents of a data centre that may relay; the later ones replace silent ones.
constexpr size_t kMaxRelays = 4;
constexpr Duration kRelayChoiceInterval = std::chrono::seconds(1);
// Makes the order of the relays differ from that of the leaders.
constexpr uint64_t kRelayHashSeed = 0x72656c6179;

RequestRetryLimits MakeRetryLimits(const ForwardingSettings& settings) {
  return {settings.repeat_ratio, settings.repeat_window,
          settings.repeat_allowance};
}

class ForwardEntry : public ForwardDaemonBase, public PlacementBus {
 public:
  ForwardEntry(const Settings& settings, ForwardPlatform platform)
      : ForwardDaemonBase(settings),
        forwarding_settings_(*settings_.forwarding),
        protocol_(std::move(platform.protocol)),
        store_feed_(platform.make_feed(io_, settings_.object_api_address)),
        long_watch_feed_(store_feed_.get(), this),
        feed_(forwarding_settings_.long_watches ? &long_watch_feed_
                                                : store_feed_.get(),
              this,
              this),
        engine_memory_(platform.make_engine_memory(io_)),
        connector_(MakeForwardConnector(io_)),
        request_memory_(std::make_shared<RequestMemory>(
            settings_.limits.max_buffered_requests)),
        placement_client_(
            self_,
            {Role::kEntry, settings_.data_centre, settings_.bus_address, false},
            this,
            settings_.crash_blame,
            settings_.target_signals) {
    placement_client_.SetTargetPaceEnabled(forwarding_settings_.target_pace);
    context_.timers = this;
    context_.protocol = protocol_.get();
    context_.connector = connector_.get();
    context_.placement = &placement_client_;
    context_.engine_memory = engine_memory_.get();
    context_.metrics = &metrics_;
    context_.data_centre = settings_.data_centre;
    context_.regions = forwarding_settings_.regions;
    context_.balancer = ServiceBalancer(self_.incarnation.value());
    context_.retry_budget =
        RequestRetryBudget(MakeRetryLimits(forwarding_settings_));
    context_.max_startup_wait = forwarding_settings_.max_startup_wait;
    context_.response_limits = {settings_.limits.max_response,
                                settings_.limits.max_buffered_responses};
    context_.random =
        Random(StableHash(self_.instance.value()) ^ self_.incarnation.value());
    for (int i = 0; i < kFeedKindCount; ++i) {
      const auto kind = static_cast<FeedKind>(i);
      followers_[static_cast<size_t>(i)] = std::make_unique<FeedFollower>(
          kind, &feed_, this,
          self_.incarnation.value() + static_cast<uint64_t>(i),
          [this, kind](FeedUpdate update) {
            RunGuarded("feed_update", [&] { OnFeedUpdate(kind, update); });
          });
    }
  }

 protected:
  std::string OnStart() override {
    std::string error = leaf::try_handle_all(
        [&]() -> leaf::result<std::string> {
          BOOST_LEAF_AUTO(
              server,
              StartCallerServer(
                  io_, forwarding_settings_.caller_address, CallerLimits(),
                  settings_.limits.max_connections,
                  [this](const std::shared_ptr<CallerExchange>& exchange,
                         ReceivedRequest request) {
                    StartForwardRequest(&context_, exchange,
                                        std::move(request));
                  },
                  request_memory_));
          caller_server_ = std::move(server);
          return std::string();
        },
        [](const CallerServerError& error) { return error.message; },
        [] { return std::string("unknown error"); });
    if (error.empty()) {
      for (const auto& it : followers_) {
        it->Start();
      }
    }
    return error;
  }

  void OnMessage(const Message& message, Time now) override {
    feed_.OnMessage(message, now);
    placement_client_.OnMessage(message, now);
  }

  void OnUnreachable(const InstanceId& peer, Time now) override {
    feed_.OnUnreachable(peer, now);
    placement_client_.OnUnreachable(peer, now);
  }

  Duration OnTick(Time now) override {
    context_.directory.DropExpiredTargets(now);
    UpdateKeptWithdrawals(now);
    if (context_.directory.generation() != published_generation_) {
      UpdatePlacementTargets(now);
    }
    placement_client_.Tick(now);
    if (now >= next_relay_choice_at_) {
      next_relay_choice_at_ = now + kRelayChoiceInterval;
      UpdateFeedRelays(now);
    }
    feed_.Tick(now);
    if (now >= next_prune_at_) {
      next_prune_at_ = now + std::chrono::seconds(5);
      context_.balancer.RemoveUnlistedTargets(context_.directory);
    }
    if (now >= next_counters_at_) {
      next_counters_at_ = now + kCounterInterval;
      ExportBlameCounters(placement_client_.blame(), now, &metrics_);
      ExportSignalCounters(placement_client_.signals(), &metrics_);
      ExportRequestMemory(request_memory_->Stats(), &metrics_);
      ExportFeedCounters();
      ExportPaceCounters(placement_client_.pace_counters(), &metrics_);
    }
    return caller_server_->open_exchanges() > 0 ? kPlacementTickInterval
                                                : kIdleTickInterval;
  }

  bool IsReady() const override {
    return context_.config != nullptr && !context_.directory.targets().empty();
  }

  void OnStopRequested() override {
    PlanStop();
    caller_server_->BeginDrain();
  }

  void OnStopGraceChanged() override { PlanStop(); }

  // If all entries of a data centre stop, the load balancer keeps sending to
  // them, so requests that can finish within the grace are still served. The
  // listener closes only shortly before the end, or when nothing is left to do.
  bool CanExit(Duration since_stop_requested) override {
    const bool is_idle = caller_server_->open_exchanges() == 0 &&
                         !caller_server_->HasPendingInput();
    const Duration end = ExitAfterStop();
    if ((is_idle && listener_closed_) ||
        (requests_ended_ && since_stop_requested >= end)) {
      return true;
    }
    if (since_stop_requested >= end - kListenerCloseMargin ||
        (is_idle && since_stop_requested >= kBalancerLag)) {
      caller_server_->Stop();
      listener_closed_ = true;
    }
    if (since_stop_requested >= RequestsEndAfterStop()) {
      EndRequests();
    } else if (!late_requests_refused_ && Now() >= context_.accepts_all_until) {
      late_requests_refused_ = true;
      RefuseWaitingRequests();
    }
    return false;
  }

  // Requests keep themselves alive until they end.
  void OnLoopEnded() override { caller_server_->CloseAll(); }

  bool LiftPartNow(PartKey part, Time now) override {
    return placement_client_.LiftPart(part, now);
  }

  std::string Dump(Time now) const override {
    std::string targets;
    for (const auto& [id, entry] : context_.directory.targets()) {
      targets += fmt::format(
          "{}{{\"target\":\"{}\",\"service\":\"{}\",\"address\":\"{}\","
          "\"data_centre\":\"{}\",\"usable\":{},\"cold_ms\":{}}}",
          targets.empty() ? "" : ",", id.value(), entry.record.service.value(),
          entry.record.address, entry.record.data_centre.value(),
          context_.directory.IsUsable(entry, now),
          std::max<int64_t>((entry.cold_until - now).count() / 1'000, 0));
    }
    std::string feeds;
    for (int i = 0; i < kFeedKindCount; ++i) {
      const FeedFollower& it = *followers_[static_cast<size_t>(i)];
      const int64_t away = it.unavailable_since() == Time()
                               ? 0
                               : (now - it.unavailable_since()).count() / 1'000;
      feeds += fmt::format(
          "{}\"{}\":{{\"epoch\":{},\"revision\":{},\"away_ms\":{},"
          "\"unreadable\":{}}}",
          i == 0 ? "" : ",", ToString(static_cast<FeedKind>(i)),
          it.epoch().value(), it.revision(), away, it.unreadable_items());
    }
    std::string withdrawn;
    for (const DataCentreId& it : context_.directory.withdrawn_data_centres()) {
      withdrawn +=
          fmt::format("{}\"{}\"", withdrawn.empty() ? "" : ",", it.value());
    }
    return fmt::format(
        "{{\"config_version\":{},\"routes\":{},\"requests\":{},"
        "\"awaiting_lists\":{},\"connections\":{},\"feeds\":{{{}}},"
        "\"store_calls\":{},"
        "\"withdrawn\":[{}],\"withdrawals_kept\":{},\"removed_targets\":{},"
        "\"targets\":[{}],\"placement\":{},\"crash_blame\":{},"
        "\"target_signals\":{},\"feed_relay\":{},\"request_memory\":{}}}",
        context_.config ? context_.config->version : 0,
        context_.config ? context_.config->routes.size() : 0,
        caller_server_->open_exchanges(), context_.awaiting_lists.size(),
        caller_server_->connections(), feeds, DumpStoreCalls(), withdrawn,
        withdrawals_.kept_count(), context_.directory.removed_targets().size(),
        targets, placement_client_.Dump(now),
        placement_client_.blame().Dump(now),
        placement_client_.signals().Dump(now), feed_.Dump(now),
        DumpRequestMemory(request_memory_->Stats()));
  }

 private:
  // --- Planned stop ---

  // Callers may expect what ends before the last sixth of a short grace.
  Duration ExitAfterStop() const {
    return stop_grace() -
           std::min<Duration>(kStopMargin, stop_grace() * 7 / 60);
  }
  Duration RequestsEndAfterStop() const {
    return ExitAfterStop() -
           std::min<Duration>(kLastResponsesTime, stop_grace() * 3 / 60);
  }
  // Time after the signal for which every request is accepted. As much is left
  // for the last of them.
  Duration AcceptPeriod() const {
    return std::min(kBalancerLag, RequestsEndAfterStop() / 2);
  }

  void PlanStop() {
    context_.stop_deadline = stop_requested_at() + RequestsEndAfterStop();
    context_.accepts_all_until = stop_requested_at() + AcceptPeriod();
    late_requests_refused_ = false;
  }

  void RefuseWaitingRequests() {
    if (const size_t refused = RefuseLateRequests(context_)) {
      Log(LogLevel::kInfo, "requests_refused_by_stop",
          {{"count", std::to_string(refused)}});
    }
  }

  void EndRequests() {
    requests_ended_ = true;
    if (const size_t ended = EndOpenRequests(context_)) {
      Log(LogLevel::kWarning, "requests_ended_by_stop",
          {{"count", std::to_string(ended)}});
    }
  }

  // --- PlacementBus ---

  void Send(const InstanceId& to, MessageBody body) override {
    bus_->Send({to, Incarnation()}, std::move(body));
  }
  // The placement client and the feed may use the same agent.
  void Connect(const InstanceId& peer, const std::string& address) override {
    ++connection_users_[peer];
    bus_->Connect(peer, address);
  }
  void Disconnect(const InstanceId& peer) override {
    const auto it = connection_users_.find(peer);
    if (it != connection_users_.end() && --it->second == 0) {
      connection_users_.erase(it);
      bus_->Disconnect(peer);
    }
  }

  // --- Feeds ---

  void OnFeedUpdate(FeedKind kind, const FeedUpdate& update) {
    const Time now = Now();
    switch (kind) {
      case FeedKind::kRoutes:
        for (const FeedItem& it : update.items) {
          if (const auto* config = std::get_if<RouteConfigPtr>(&it)) {
            ApplyConfig(*config);
          }
        }
        break;
      case FeedKind::kTargets:
        ApplyTargets(update, now);
        break;
      case FeedKind::kWithdrawals:
        ApplyWithdrawals(update, now);
        break;
    }
    UpdatePlacementTargets(now);
    ResumeWaitingRequests(context_);
  }

  void ApplyConfig(const RouteConfigPtr& config) {
    if (context_.config && config->version <= context_.config->version) {
      if (config->version < context_.config->version) {
        Log(LogLevel::kWarning, "config_not_applied",
            {{"version", std::to_string(config->version)},
             {"applied", std::to_string(context_.config->version)}});
      }
      return;
    }
    Log(LogLevel::kInfo, "config_applied",
        {{"version", std::to_string(config->version)},
         {"routes", std::to_string(config->routes.size())},
         {"keys", std::to_string(config->keys.size())}});
    context_.config = config;
    context_.directory.SetServices(NamedServices(*config));
    caller_server_->SetLimits(config->limits);
  }

  // Returns when the store could first be read again, if that was lately.
  Time StoreReturn(Time now) const {
    Time first = now;
    for (const auto& it : followers_) {
      if (now - it->recovered_at() < kMissingTargetGrace) {
        first = std::min(first, it->recovered_at());
      }
    }
    return first;
  }

  void ApplyTargets(const FeedUpdate& update, Time now) {
    context_.directory.SetStoreReturn(StoreReturn(now));
    if (update.is_snapshot) {
      std::vector<TargetRecord> records;
      for (const FeedItem& it : update.items) {
        if (const auto* record = std::get_if<TargetRecord>(&it)) {
          records.push_back(*record);
        }
      }
      const FleetDirectory::RestoreSummary summary =
          context_.directory.Replace(records, {update.revision, update.epoch},
                                     update.store_was_unavailable, now);
      context_.has_target_list = true;
      Log(LogLevel::kInfo, "targets_listed",
          {{"count", std::to_string(records.size())},
           {"revision", std::to_string(update.revision)}});
      if (summary.is_restored) {
        Log(LogLevel::kWarning, "targets_restored",
            {{"epoch", std::to_string(update.epoch.value())},
             {"gone", std::to_string(summary.gone)},
             {"draining", std::to_string(summary.draining)},
             {"missing", std::to_string(summary.missing)}});
      }
      return;
    }
    int changed = 0;
    int leaving = 0;
    int cold = 0;
    int removed = 0;
    for (const FeedItem& it : update.items) {
      if (const auto* record = std::get_if<TargetRecord>(&it)) {
        context_.directory.Put(*record, update.revision, now);
        ++changed;
        leaving += record->draining ? 1 : 0;
        cold += record->cold_left > Duration(0) ? 1 : 0;
      } else if (const auto* removal = std::get_if<FeedRemoval>(&it)) {
        context_.directory.Remove(TargetId(removal->name), update.revision,
                                  update.store_was_unavailable, now);
        ++removed;
      }
    }
    // One line for all changes: with hundreds of targets, a line for each would
    // be most of what an entry logs.
    Log(LogLevel::kInfo, "targets_changed",
        {{"revision", std::to_string(update.revision)},
         {"changed", std::to_string(changed)},
         {"draining", std::to_string(leaving)},
         {"cold", std::to_string(cold)},
         {"removed", std::to_string(removed)},
         {"store_was_away", update.store_was_unavailable ? "true" : "false"}});
  }

  void ApplyWithdrawals(const FeedUpdate& update, Time now) {
    if (update.is_snapshot) {
      std::set<DataCentreId> listed;
      for (const FeedItem& it : update.items) {
        if (const auto* data_centre = std::get_if<DataCentreId>(&it)) {
          listed.insert(*data_centre);
        }
      }
      withdrawals_.Replace(std::move(listed), update.epoch, now);
    } else {
      for (const FeedItem& it : update.items) {
        if (const auto* data_centre = std::get_if<DataCentreId>(&it)) {
          withdrawals_.Add(*data_centre);
        } else if (const auto* removal = std::get_if<FeedRemoval>(&it)) {
          withdrawals_.Remove(DataCentreId(removal->name));
        }
      }
    }
    PublishWithdrawals();
  }

  void PublishWithdrawals() {
    std::set<DataCentreId> withdrawn = withdrawals_.InForce();
    Log(LogLevel::kInfo, "withdrawals_changed",
        {{"count", std::to_string(withdrawn.size())},
         {"kept", std::to_string(withdrawals_.kept_count())}});
    context_.directory.SetWithdrawn(std::move(withdrawn));
  }

  void UpdateKeptWithdrawals(Time now) {
    const auto& feed = followers_[static_cast<size_t>(FeedKind::kWithdrawals)];
    if (feed->unavailable_since() != Time()) {
      withdrawals_.ExtendKept(now);
    }
    if (withdrawals_.EndKept(now)) {
      PublishWithdrawals();
    }
  }

  std::string DumpStoreCalls() const {
    const LongWatchFeed::Stats& it = long_watch_feed_.stats();
    return fmt::format(
        "{{\"watches_confirmed\":{},\"checks\":{},\"refusals_shared\":{}}}",
        it.watches_confirmed, it.checks, it.refusals_shared);
  }

  void ExportFeedCounters() {
    for (int i = 0; i < kFeedKindCount; ++i) {
      metrics_.SetCounter(
          "burdockhatch_store_epoch_changes_total",
          fmt::format("feed=\"{}\"", ToString(static_cast<FeedKind>(i))),
          followers_[static_cast<size_t>(i)]->epoch_changes());
    }
    const LongWatchFeed::Stats& watches = long_watch_feed_.stats();
    metrics_.SetCounter("burdockhatch_store_watches_confirmed_total", "",
                        watches.watches_confirmed);
    metrics_.SetCounter("burdockhatch_store_checks_total", "", watches.checks);
    metrics_.SetCounter("burdockhatch_store_refusals_shared_total", "",
                        watches.refusals_shared);
  }

  // --- Placement ---

  // Passes the usable targets and the agents to the placement client. Each
  // engine's instance also runs an agent.
  void UpdatePlacementTargets(Time now) {
    published_generation_ = context_.directory.generation();
    if (!context_.config) {
      return;
    }
    std::vector<AgentEndpoint> agents;
    for (const auto& [service, pool] : context_.config->services) {
      if (!pool.engine) {
        continue;
      }
      TargetList list;
      list.service = service;
      list.revision = context_.directory.revision().revision;
      list.epoch = context_.directory.revision().epoch;
      list.cost = *pool.engine;
      list.cold_requests_per_s = pool.cold_requests_per_s;
      for (const FleetDirectory::KnownTarget* it :
           context_.directory.UsableTargets(service, now)) {
        list.targets.push_back({it->record.target, it->record.address,
                                it->record.data_centre,
                                std::max(it->cold_until - now, Duration(0)),
                                it->record.started_at});
        agents.push_back(AgentOnSameHost(it->record));
      }
      placement_client_.SetTargets(std::move(list), now);
    }
    std::sort(agents.begin(), agents.end(),
              [](const AgentEndpoint& a, const AgentEndpoint& b) {
                return StableHash(a.instance.value()) <
                       StableHash(b.instance.value());
              });
    placement_client_.SetAgents(std::move(agents), now);
  }

  // Chooses the agents that may relay the feeds: those of the entry's data
  // centre, in an order that all its entries share.
  void UpdateFeedRelays(Time now) {
    std::vector<std::pair<uint64_t, AgentEndpoint>> agents;
    size_t engines = 0;
    if (context_.config) {
      for (const auto& [service, pool] : context_.config->services) {
        if (!pool.engine) {
          continue;
        }
        for (const FleetDirectory::KnownTarget* it :
             context_.directory.UsableTargets(service, now)) {
          ++engines;
          if (it->record.data_centre == settings_.data_centre) {
            AgentEndpoint agent = AgentOnSameHost(it->record);
            const uint64_t rank =
                MixHash(StableHash(agent.instance.value()), kRelayHashSeed);
            agents.emplace_back(rank, std::move(agent));
          }
        }
      }
    }
    if (!IsRelayWorthwhile(placement_client_.reported_entry_count(), engines)) {
      agents.clear();
    }
    std::sort(agents.begin(), agents.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<AgentEndpoint> relays;
    for (auto& [rank, agent] : agents) {
      if (relays.size() < kMaxRelays) {
        relays.push_back(std::move(agent));
      }
    }
    feed_.SetRelays(std::move(relays), now);
  }

  // An agent's instance id is the address of the engine on its instance.
  AgentEndpoint AgentOnSameHost(const TargetRecord& record) const {
    const std::string host =
        record.address.substr(0, record.address.rfind(':'));
    return {InstanceId(record.address),
            fmt::format("{}:{}", host, forwarding_settings_.agent_bus_port),
            record.data_centre};
  }

  const ForwardingSettings forwarding_settings_;
  std::unique_ptr<ForwardProtocol> protocol_;
  std::unique_ptr<FleetFeed> store_feed_;
  LongWatchFeed long_watch_feed_;
  RelayedFeed feed_;
  std::unique_ptr<EngineMemory> engine_memory_;
  std::unique_ptr<ForwardConnector> connector_;
  std::shared_ptr<RequestMemory> request_memory_;
  PlacementClient placement_client_;
  ForwardContext context_;
  std::unique_ptr<CallerServer> caller_server_;
  std::array<std::unique_ptr<FeedFollower>, kFeedKindCount> followers_;
  WithdrawalList withdrawals_;
  std::map<InstanceId, int> connection_users_;
  uint64_t published_generation_ = 0;
  bool listener_closed_ = false;
  bool late_requests_refused_ = false;
  bool requests_ended_ = false;
  Time next_prune_at_{};
  Time next_counters_at_{};
  Time next_relay_choice_at_{};
};

}  // namespace

int RunForwardEntry(const Settings& settings, ForwardPlatform platform) {
  return ForwardEntry(settings, std::move(platform)).Run();
}

}  // namespace burdockhatch
