// A TCP proxy on loopback that injects network faults into the connections
// through it: delays, resets, and traffic blocked in one or both directions.
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
  kDelay,          // Each read is forwarded after kLinkDelay.
  kBlockToTarget,  // Bytes from the client are held back.
  kBlockToSource,  // Bytes from the target are held back.
  kBlockBoth,      // All bytes are held back; connecting succeeds.
};

inline constexpr std::chrono::milliseconds kLinkDelay{60};

class LoopbackProxy {
 public:
  // Forwards connections to `target`, "ip:port". The target need not listen
  // yet.
  explicit LoopbackProxy(const std::string& target);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  std::string address() const;
  uint16_t port() const { return port_; }
  // Bytes that a fault holds back are forwarded when it ends.
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
