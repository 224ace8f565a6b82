// Messages between processes over ZeroMQ. One thread owns both sockets: a bound
// ROUTER, on which entries reach this process and on which it answers them, and
// a connecting ROUTER for the peers that this process connects to.
#ifndef SRC_BUS_H_
#define SRC_BUS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/leaf/result.hpp>

#include "src/ids.h"
#include "src/messages.h"

namespace burdockhatch {

struct BusOptions {
  PeerId self;
  std::string bind_address;  // "ip:port"; an IP number, never a name.
  // Bounds of the queue between the calling threads and the bus thread.
  size_t max_queued_messages = 16 * 1024;
  size_t max_queued_bytes = 256 * 1024 * 1024;
  int high_water_mark = 4 * 1024;  // Messages per connection and direction.
};

// Counters since the start.
struct BusStats {
  uint64_t sent = 0;
  uint64_t sent_bytes = 0;
  uint64_t received = 0;
  uint64_t received_bytes = 0;
  uint64_t not_sent = 0;           // Unreachable peer or full queue.
  uint64_t rejected = 0;           // Failed to decode.
  uint64_t other_incarnation = 0;  // Meant another incarnation of this process.
  uint64_t connections = 0;        // Peers that Connect was called for.
  uint64_t queued = 0;             // Waiting for the bus thread now.
};

// The text names the address and what the system said.
struct BusError {
  std::string message;
};

class Bus {
 public:
  // Run on the bus thread; must not block.
  struct Handlers {
    std::function<void(Message)> on_message;
    // A message to `peer` could not be written. Proof only for that message.
    std::function<void(const InstanceId& peer)> on_unreachable;
  };

  virtual ~Bus() = default;

  // Sends `body` to `to`. An incarnation of 0 stands for any. The envelope's
  // sender, receiver and configuration version are filled in. `on_not_sent`
  // runs at most once, and only if no byte of the message was or will be
  // written; on the bus thread, or on the calling thread when the queue is
  // full. Callable from any thread.
  virtual void Send(const PeerId& to,
                    MessageBody body,
                    std::function<void()> on_not_sent = nullptr) = 0;

  // Opens a connection to the bound socket of `peer`. Replaces a connection to
  // another address.
  virtual void Connect(const InstanceId& peer, const std::string& address) = 0;
  // Closes the connection after a delay in which what was sent before leaves.
  virtual void Disconnect(const InstanceId& peer) = 0;

  // The highest configuration version known, stated in every message.
  virtual void SetConfigVersion(ConfigVersion version) = 0;

  virtual BusStats Stats() const = 0;

  // Writes what is queued, for at most a moment, and ends the thread.
  virtual void Stop() = 0;
};

// Binds the socket and starts the thread. Fails with BusError.
boost::leaf::result<std::unique_ptr<Bus>> StartBus(BusOptions options,
                                                   Bus::Handlers handlers);

// Whether a receiver of incarnation `self` acts on `message`. What was meant
// for a predecessor is dropped, except what any incarnation may answer.
bool IsAddressedToIncarnation(const Message& message, Incarnation self);

// Whether `address` is "<IPv4 number>:<port>" with a port other than 0.
bool IsIpv4AddressWithPort(std::string_view address);

}  // namespace burdockhatch

#endif  // SRC_BUS_H_
