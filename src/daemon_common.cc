#include "src/daemon_common.h"

#include <chrono>

namespace burdockhatch {

Incarnation NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now);
  return Incarnation(static_cast<uint64_t>(ms.count()));
}

void ExportBusCounters(const BusStats& bus, Metrics* metrics) {
  metrics->SetCounter("burdockhatch_bus_messages_sent_total", "", bus.sent);
  metrics->SetCounter("burdockhatch_bus_bytes_sent_total", "", bus.sent_bytes);
  metrics->SetCounter("burdockhatch_bus_messages_received_total", "",
                      bus.received);
  metrics->SetCounter("burdockhatch_bus_bytes_received_total", "",
                      bus.received_bytes);
  metrics->SetCounter("burdockhatch_bus_not_sent_total", "", bus.not_sent);
  metrics->SetCounter("burdockhatch_bus_rejected_total", "", bus.rejected);
}

void ExportBlameCounters(const CrashBlame& blame, Time now, Metrics* metrics) {
  const CrashBlame::Counters& counters = blame.counters();
  metrics->SetCounter("burdockhatch_part_crashes_total", "", counters.crashes);
  metrics->SetCounter("burdockhatch_part_blocks_total", "", counters.blocks);
  metrics->SetCounter("burdockhatch_part_cleared_total", "", counters.cleared);
  metrics->SetCounter("burdockhatch_part_refusals_total", "", counters.refused);
  metrics->SetCounter("burdockhatch_part_waits_total", "", counters.waits);
  metrics->SetGauge("burdockhatch_suspect_parts", "",
                    static_cast<int64_t>(blame.suspect_count()));
  metrics->SetGauge("burdockhatch_blocked_parts", "", blame.CountBlocked(now));
}

void ExportSignalCounters(const TargetSignalTable& signals, Metrics* metrics) {
  const TargetSignalTable::Counters& counters = signals.counters();
  metrics->SetCounter("burdockhatch_target_limits_total", "", counters.limits);
  metrics->SetCounter("burdockhatch_target_limit_ends_total", "",
                      counters.limit_ends);
  metrics->SetCounter("burdockhatch_targets_leaving_total", "",
                      counters.leaving);
  metrics->SetCounter("burdockhatch_target_back_offs_total", "",
                      counters.back_offs);
  metrics->SetCounter("burdockhatch_target_limits_unreadable_total", "",
                      counters.unreadable);
  metrics->SetGauge("burdockhatch_limited_targets", "",
                    static_cast<int64_t>(signals.CountLimited()));
}

void ExportPaceCounters(const TargetPaceTable::Counters& counters,
                        Metrics* metrics) {
  metrics->SetCounter("burdockhatch_pace_samples_total", "", counters.samples);
  metrics->SetCounter("burdockhatch_targets_slow_total", "",
                      counters.became_slow);
  metrics->SetCounter("burdockhatch_targets_even_total", "",
                      counters.became_even);
  metrics->SetCounter("burdockhatch_pace_trials_total", "", counters.trials);
}

}  // namespace burdockhatch
