// The two daemons of the forwarding mode, which proxies requests unchanged: the
// entry serves callers, and the agent places the requests of all entries.
#ifndef SRC_FORWARD_DAEMON_H_
#define SRC_FORWARD_DAEMON_H_

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/fleet_feed.h"
#include "src/forward_protocol.h"
#include "src/reservations.h"
#include "src/settings.h"

namespace burdockhatch {

// Platform-specific parts of an entry.
struct ForwardPlatform {
  std::function<std::unique_ptr<FleetFeed>(boost::asio::io_context& io,
                                           std::string address)>
      make_feed;
  std::unique_ptr<ForwardProtocol> protocol;
  std::function<std::unique_ptr<EngineMemory>(boost::asio::io_context& io)>
      make_engine_memory;
};

// Runs the entry until a planned stop is complete. Returns the exit status.
int RunForwardEntry(const Settings& settings, ForwardPlatform platform);
// Runs the placement agent until a planned stop is complete. Returns the exit
// status.
int RunPlacementAgent(const Settings& settings, ForwardPlatform platform);

}  // namespace burdockhatch

#endif  // SRC_FORWARD_DAEMON_H_
