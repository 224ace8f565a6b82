// The HTTP server of a daemon. On an entry it runs one session per caller
// connection on traffic threads; on an agent it only answers health, metrics
// and state requests. Payloads stay in the sessions: the control thread sees
// counts and ids only.
#ifndef SRC_HTTP_ENTRY_H_
#define SRC_HTTP_ENTRY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/leaf/result.hpp>

#include "src/clock.h"
#include "src/entry_core.h"
#include "src/fleet_config.h"
#include "src/metrics.h"
#include "src/settings.h"

namespace burdockhatch {

enum class ServingPhase : uint8_t {
  kStarting,  // Not ready, e.g. no configuration yet; refuses requests.
  kServing,
  kTerminating,  // Not ready, but requests that the balancer still sends are
                 // served.
  kDraining,     // Refuses requests; those in progress go on.
};

// What sessions ask of the rest of the daemon. Called on traffic threads.
class HttpSessionDelegate {
 public:
  virtual ~HttpSessionDelegate() = default;

  // Hands a request to the core; exactly one Complete or Fail follows, unless
  // OnCallerDisconnected is called first.
  virtual void SubmitRequest(RequestSpec spec) = 0;
  virtual void OnCallerDisconnected(const RequestId& request) = 0;
  virtual void ReportProgress(const AttemptId& attempt,
                              uint32_t next_chunk) = 0;
  // Sends an offer that the session has filled in.
  virtual void SendOfferToAgent(const PeerId& to, Offer offer) = 0;
  // `done` gets JSON text; it runs on any thread.
  virtual void DumpState(std::function<void(std::string)> done) = 0;
  virtual std::string MetricsText() = 0;
};

struct HttpEntryOptions {
  std::string address;  // "ip:port".
  LimitSettings limits;
  bool caller_api_enabled = true;
};

struct HttpEntryStats {
  uint64_t connections = 0;  // Open now.
  uint64_t requests = 0;     // Of callers, in progress now.
};

struct HttpEntryError {
  std::string message;
};

class HttpEntry {
 public:
  virtual ~HttpEntry() = default;

  // Lets the session of the request fill in the offer, which then goes to
  // HttpSessionDelegate::SendOfferToAgent.
  virtual void FillAndSendOffer(const PeerId& to, Offer offer) = 0;
  virtual void DeliverChunk(Chunk chunk) = 0;
  virtual void Complete(const CompleteRequest& complete) = 0;
  virtual void Fail(const FailRequest& fail) = 0;

  virtual void SetConfig(FleetConfigPtr config) = 0;
  virtual void SetPhase(ServingPhase phase) = 0;
  virtual HttpEntryStats Stats() const = 0;

  // Closes all connections and ends the threads.
  virtual void Stop() = 0;
};

// Listens on the address and starts the traffic threads. `control`, `clock` and
// `metrics` must outlive the result. Fails with HttpEntryError.
boost::leaf::result<std::unique_ptr<HttpEntry>> StartHttpEntry(
    HttpEntryOptions options,
    HttpSessionDelegate* control,
    const Clock* clock,
    Metrics* metrics);

}  // namespace burdockhatch

#endif  // SRC_HTTP_ENTRY_H_
