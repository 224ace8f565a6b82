// Message transport between processes over ZeroMQ. One thread owns two ROUTER
// sockets: a bound one, which receives messages of peers that connect to this
// process and carries the replies to them, and a connecting one for the peers
// that this process connects to.
#ifndef SRC_BUS_H_
#define SRC_BUS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

#include "src/ids.h"
#include "src/messages.h"
#include "src/units.h"

namespace burdockhatch {

struct BusOptions {
  PeerId self;
  std::string bind_address;  // "ip:port" with an IPv4 address; no host name.
  // Limits of the queue between the calling threads and the bus thread.
  size_t max_queued_messages = 16 * 1024;
  size_t max_queued_bytes = 256 * 1024 * 1024;
  // Maximum number of messages queued per connection and direction.
  int high_water_mark = 4 * 1024;
  // A connection whose peer acknowledges nothing for this long is closed. It is
  // long enough for a paused machine to keep its connections and the messages
  // queued in them.
  Duration connection_timeout = std::chrono::seconds(20);
};

// Totals since the start of the process, except `connections` and `queued`.
struct BusStats {
  uint64_t sent = 0;
  uint64_t sent_bytes = 0;
  uint64_t received = 0;
  uint64_t received_bytes = 0;
  // Messages not written because the peer is unreachable or a queue is full.
  uint64_t not_sent = 0;
  uint64_t rejected = 0;  // Received messages that failed to decode.
  // Received messages for another incarnation of this process, which are
  // dropped.
  uint64_t other_incarnation = 0;
  // Peers with a connection opened by Connect now, established or not.
  uint64_t connections = 0;
  uint64_t queued = 0;  // Commands queued for the bus thread now.
};

// `message` contains the address and, if binding failed, the system's error.
struct BusError {
  std::string message;
};

class Bus {
 public:
  // Called on the bus thread; must not block.
  struct Handlers {
    std::function<void(Message)> on_message;
    // Called when a message to `peer` could not be written. Earlier messages
    // may have been received.
    std::function<void(const InstanceId& peer)> on_unreachable;
  };

  virtual ~Bus() = default;

  // Sends `body` to `to`, where incarnation 0 matches any incarnation. Fills in
  // the sender, receiver and configuration version of the envelope.
  // `on_not_sent` is called at most once, and only if no byte of the message
  // was or will be written: on the bus thread, or on the calling thread when
  // the queue is full or the bus is stopping. May be called on any thread.
  virtual void Send(const PeerId& to,
                    MessageBody body,
                    std::function<void()> on_not_sent = nullptr) = 0;

  // Opens a connection to the bound socket of `peer`, replacing an existing
  // connection to another address.
  virtual void Connect(const InstanceId& peer, const std::string& address) = 0;
  // Closes the connection after a delay, in which messages that were sent
  // before are still transmitted.
  virtual void Disconnect(const InstanceId& peer) = 0;

  // Sets the highest known configuration version, which each message carries.
  virtual void SetConfigVersion(ConfigVersion version) = 0;

  virtual BusStats Stats() const = 0;

  // Flushes queued messages for a bounded time, then joins the bus thread.
  virtual void Stop() = 0;
};

// Binds the socket and starts the bus thread. Fails with BusError.
boost::leaf::result<std::unique_ptr<Bus>> StartBus(BusOptions options,
                                                   Bus::Handlers handlers);

// Whether a receiver of incarnation `self` handles `message`. Messages for an
// earlier incarnation are dropped, except those of types that any incarnation
// can handle.
bool IsHandledByIncarnation(const Message& message, Incarnation self);

// Whether `address` is "<IPv4 address>:<port>" with a port other than 0.
bool IsIpv4AddressWithPort(std::string_view address);

}  // namespace burdockhatch

#endif  // SRC_BUS_H_
