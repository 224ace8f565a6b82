// A TCP proxy on loopback that harms the connections through it, as networks
// do: delays, resets, one direction that carries nothing, silence.
#ifndef TESTS_LOOPBACK_PROXY_H_
#define TESTS_LOOPBACK_PROXY_H_

#include <atomic>
#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace burdockhatch {

enum class LinkFault : uint8_t {
  kNone,
  kDelay,          // Each piece arrives kLinkDelay later.
  kBlockToTarget,  // What the connecting side sends is held back.
  kBlockToSource,  // What the target sends is held back.
  kBlockBoth,      // Both; new connections open and carry nothing.
};

inline constexpr std::chrono::milliseconds kLinkDelay{60};

class LoopbackProxy {
 public:
  // Forwards to `target`, "ip:port"; connections may come before it listens.
  explicit LoopbackProxy(const std::string& target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  std::string address() const;
  uint16_t port() const { return port_; }
  // Held bytes go on when the fault ends.
  void SetFault(LinkFault fault) { fault_ = fault; }
  // Resets all open connections.
  void Reset();

 private:
  class Session;

  void Accept();

  boost::asio::io_context io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::endpoint target_;
  uint16_t port_ = 0;
  std::atomic<LinkFault> fault_ = LinkFault::kNone;
  std::list<std::weak_ptr<Session>> sessions_;
  std::thread thread_;
};

}  // namespace burdockhatch

#endif  // TESTS_LOOPBACK_PROXY_H_
