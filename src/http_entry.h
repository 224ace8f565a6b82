// The HTTP server of a daemon. An entry runs one session per caller connection
// on the traffic threads; an agent serves only health, metrics and state
// requests. Request and response bodies stay in the sessions, so the control
// thread handles only ids and counts.
#ifndef SRC_HTTP_ENTRY_H_
#define SRC_HTTP_ENTRY_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/leaf/result.hpp>

#include "src/clock.h"
#include "src/entry_core.h"
#include "src/fleet_config.h"
#include "src/metrics.h"
#include "src/request_memory.h"
#include "src/settings.h"

namespace burdockhatch {

enum class ServingPhase : uint8_t {
  kStarting,     // Not ready, e.g. without a configuration; refuses requests.
  kServing,      // Ready; accepts requests.
  kTerminating,  // Not ready, but accepts requests, because load balancers
                 // react to the failing health check with a delay.
  kDraining,     // Refuses new requests and completes those in progress.
};

// Receives the requests and events of HTTP sessions; implemented by the
// daemons. Called on traffic threads.
class HttpSessionDelegate {
 public:
  virtual ~HttpSessionDelegate() = default;

  // Passes a request to the entry core, which answers with exactly one
  // HttpEntry::Complete or HttpEntry::Fail unless OnCallerDisconnected is
  // called first.
  virtual void SubmitRequest(RequestSpec spec) = 0;
  virtual void OnCallerDisconnected(const RequestId& request) = 0;
  // Reports that all chunks of the answer before `next_chunk` have arrived.
  virtual void ReportProgress(const AttemptId& attempt,
                              uint32_t next_chunk) = 0;
  // Sends an offer to which the session has added the request body and the
  // received part of the answer.
  virtual void SendOfferToAgent(const PeerId& to, Offer offer) = 0;
  // Calls `done` with the state as JSON text, on any thread.
  virtual void DumpState(std::function<void(std::string)> done) = 0;
  virtual std::string MetricsText() = 0;
  // Ends the suspicion and the block of a part of prompts, see crash_blame.h.
  // Called only for addresses that serve no callers.
  virtual void LiftPart(PartKey part) {}
};

struct HttpEntryOptions {
  std::string address;  // "ip:port".
  LimitSettings limits;
  // Time for an idle connection to begin a request, and for the request to
  // arrive whole.
  Duration read_timeout = std::chrono::seconds(75);
  bool caller_api_enabled = true;  // False: only health, metrics and state.
};

struct HttpEntryStats {
  uint64_t connections = 0;  // Connections that are open now.
  uint64_t requests = 0;     // Caller requests in progress now.
  RequestMemoryStats memory;
};

struct HttpEntryError {
  std::string message;
};

class HttpEntry {
 public:
  virtual ~HttpEntry() = default;

  // Adds the request body and the received part of the answer to the offer on
  // the session's thread, then calls HttpSessionDelegate::SendOfferToAgent.
  virtual void FillAndSendOffer(const PeerId& to, Offer offer) = 0;
  virtual void DeliverChunk(Chunk chunk) = 0;
  virtual void Complete(const CompleteRequest& complete) = 0;
  virtual void Fail(const FailRequest& fail) = 0;

  virtual void SetConfig(FleetConfigPtr config) = 0;
  virtual void SetPhase(ServingPhase phase) = 0;
  virtual HttpEntryStats Stats() const = 0;

  // Closes all connections and joins the traffic threads.
  virtual void Stop() = 0;
};

// Listens on `options.address` and starts the traffic threads. `delegate`,
// `clock` and `metrics` must outlive the server. Fails with HttpEntryError.
boost::leaf::result<std::unique_ptr<HttpEntry>> StartHttpEntry(
    HttpEntryOptions options,
    HttpSessionDelegate* delegate,
    const Clock* clock,
    Metrics* metrics);

}  // namespace burdockhatch

#endif  // SRC_HTTP_ENTRY_H_
