#include "tests/endless_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace burdockhatch {

namespace {

constexpr int kPollMs = 20;

}  // namespace

std::vector<EndlessResponse> EndlessResponses(const std::string& headers) {
  const std::string filler(8'192, 'x');
  const std::string event = ": " + std::string(62, 'x') + "\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string accepted =
      ok + headers + "Content-Type: text/event-stream\r\n";
  const std::string chunked = accepted + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"status line", "HTTP/1.1 200 ", filler},
      {"header line", ok + "X-Filler: ", filler},
      {"header lines", ok, "X-Filler: " + std::string(1'000, 'x') + "\r\n"},
      {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
      {"body with a length",
       accepted + "Content-Length: 9000000000000000000\r\n\r\n", filler},
      {"body without a length", accepted + "\r\n", filler},
      {"one chunk", chunked + "fffffffffff\r\n", filler},
      {"chunks", chunked, "2000\r\n" + filler + "\r\n"},
      {"chunk size", chunked, std::string(8'192, '0')},
      {"chunk extension", chunked + "5;", filler},
      {"trailer line", chunked + "0\r\nX-Filler: ", filler},
      {"trailer lines", chunked + "0\r\n", "X-F: " + filler + "\r\n"},
      {"event", accepted + "\r\nid: 1\ndata: ", filler},
      {"event without output", accepted + "\r\n", event + "\n"},
      {"lines of an event", accepted + "\r\nid: 1\n", "data: x\n"},
  };
}

EndlessServer::EndlessServer(EndlessResponse response, size_t max_bytes)
    : response_(std::move(response)), max_bytes_(max_bytes) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), size) != 0) {
    throw std::runtime_error("cannot bind a loopback port");
  }
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  listen(listener_, 512);
  thread_ = std::thread([this] { Accept(); });
}

EndlessServer::~EndlessServer() {
  stopping_ = true;
  thread_.join();
  while (active_ > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  close(listener_);
}

std::string EndlessServer::address() const {
  return "127.0.0.1:" + std::to_string(port_);
}

void EndlessServer::Accept() {
  while (!stopping_) {
    pollfd item = {listener_, POLLIN, 0};
    if (poll(&item, 1, kPollMs) != 1) {
      continue;
    }
    const int connection = accept(listener_, nullptr, nullptr);
    if (connection >= 0) {
      ++active_;
      std::thread([this, connection] { Serve(connection); }).detach();
    }
  }
}

void EndlessServer::Serve(int connection) {
  std::string request(4'096, '\0');
  recv(connection, request.data(), request.size(), 0);
  size_t written = 0;
  std::string output = response_.first;
  const std::string& repeated = response_.repeated;
  while (output.size() < 8'192) {
    output += repeated;
  }
  while (!stopping_) {
    const bool done = written >= max_bytes_;
    pollfd item = {connection, static_cast<int16_t>(done ? POLLIN : POLLOUT),
                   0};
    if (poll(&item, 1, kPollMs) != 1) {
      continue;
    }
    char byte = 0;
    const ssize_t n = done ? recv(connection, &byte, 1, 0)
                           : send(connection, output.data(), output.size(),
                                  MSG_NOSIGNAL | MSG_DONTWAIT);
    if (n <= 0) {
      break;
    }
    if (done) {
      continue;
    }
    written += static_cast<size_t>(n);
    output.erase(0, static_cast<size_t>(n));
    while (output.size() < 8'192) {
      output += repeated;
    }
  }
  size_t most = most_written_;
  while (written > most &&
         !most_written_.compare_exchange_weak(most, written)) {
  }
  close(connection);
  --active_;
}

}  // namespace burdockhatch
