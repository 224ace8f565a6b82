#include "tests/loopback_proxy.h"

#include <array>
#include <functional>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace burdockhatch {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Interval at which a blocked connection checks whether the fault has ended.
constexpr std::chrono::milliseconds kHoldInterval{10};

tcp::endpoint ParseEndpoint(const std::string& address) {
  const size_t colon = address.rfind(':');
  return {asio::ip::make_address(address.substr(0, colon)),
          static_cast<uint16_t>(std::stoul(address.substr(colon + 1)))};
}

}  // namespace

// One connection through the proxy.
class LoopbackProxy::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::io_context& io,
          tcp::socket source,
          const std::atomic<LinkFault>* fault)
      : fault_(fault),
        to_target_{std::move(source), asio::steady_timer(io)},
        to_source_{tcp::socket(io), asio::steady_timer(io)} {}

  void Start(const tcp::endpoint& target) {
    to_source_.socket.async_connect(
        target, [self = shared_from_this()](boost::system::error_code ec) {
          if (ec) {
            self->Close();
            return;
          }
          self->Read(self->to_target_, self->to_source_);
          self->Read(self->to_source_, self->to_target_);
        });
  }

  void Reset() {
    for (ReadSide* it : {&to_target_, &to_source_}) {
      boost::system::error_code ec;
      it->socket.set_option(asio::socket_base::linger(true, 0), ec);
    }
    Close();
  }

 private:
  // A socket and the bytes that were last read from it.
  struct ReadSide {
    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 16 * 1024> data{};
    size_t size = 0;
  };

  void Close() {
    for (ReadSide* it : {&to_target_, &to_source_}) {
      boost::system::error_code ec;
      it->timer.cancel();
      it->socket.close(ec);
    }
  }

  bool IsHeld(const ReadSide& from) const {
    const LinkFault fault = *fault_;
    return fault == LinkFault::kBlockBoth ||
           fault == (&from == &to_target_ ? LinkFault::kBlockToTarget
                                          : LinkFault::kBlockToSource);
  }

  void Read(ReadSide& from, ReadSide& to) {
    from.socket.async_read_some(
        asio::buffer(from.data), [self = shared_from_this(), &from, &to](
                                     boost::system::error_code ec, size_t n) {
          if (ec) {
            // A close is forwarded like bytes, subject to the same faults.
            n = 0;
          }
          from.size = n;
          const bool delayed = *self->fault_ == LinkFault::kDelay;
          self->Forward(from, to,
                        delayed ? kLinkDelay : std::chrono::milliseconds(0));
        });
  }

  void Forward(ReadSide& from, ReadSide& to, std::chrono::milliseconds wait) {
    from.timer.expires_after(wait);
    from.timer.async_wait(
        [self = shared_from_this(), &from, &to](boost::system::error_code ec) {
          if (ec) {
            return;
          }
          if (self->IsHeld(from)) {
            self->Forward(from, to, kHoldInterval);
            return;
          }
          if (from.size == 0) {
            self->Close();
            return;
          }
          asio::async_write(
              to.socket, asio::buffer(from.data.data(), from.size),
              [self, &from, &to](boost::system::error_code ec, size_t) {
                if (ec) {
                  self->Close();
                  return;
                }
                self->Read(from, to);
              });
        });
  }

  const std::atomic<LinkFault>* fault_;
  ReadSide to_target_;
  ReadSide to_source_;
};

LoopbackProxy::LoopbackProxy(const std::string& target)
    : acceptor_(io_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      target_(ParseEndpoint(target)),
      port_(acceptor_.local_endpoint().port()) {
  Accept();
  thread_ = std::thread([this] { io_.run(); });
}

LoopbackProxy::~LoopbackProxy() {
  io_.stop();
  thread_.join();
}

std::string LoopbackProxy::address() const {
  return fmt::format("127.0.0.1:{}", port_);
}

void LoopbackProxy::Reset() {
  asio::post(io_, [this] {
    for (const auto& it : std::exchange(sessions_, {})) {
      if (const auto session = it.lock()) {
        session->Reset();
      }
    }
  });
}

void LoopbackProxy::Accept() {
  acceptor_.async_accept(
      [this](boost::system::error_code ec, tcp::socket source) {
        if (ec) {
          return;
        }
        const auto session =
            std::make_shared<Session>(io_, std::move(source), &fault_);
        std::erase_if(sessions_, [](const auto& it) { return it.expired(); });
        sessions_.push_back(session);
        session->Start(target_);
        Accept();
      });
}

}  // namespace burdockhatch
