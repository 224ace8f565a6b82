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

}  // namespace burdockhatch
