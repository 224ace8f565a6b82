// A server that answers each connection with bytes that do not end.
#ifndef TESTS_ENDLESS_SERVER_H_
#define TESTS_ENDLESS_SERVER_H_

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace burdockhatch {

// What the server writes: `first` once, then `repeated` until the client closes
// or the limit of the server is reached.
struct EndlessResponse {
  std::string name;
  std::string first;
  std::string repeated;
};

// Every part of an HTTP response that may have no end. `headers` are those that
// a client needs to accept a response, each with its line end.
std::vector<EndlessResponse> EndlessResponses(const std::string& headers = "");

class EndlessServer {
 public:
  // Stops writing after `max_bytes` on a connection, which then stays open.
  explicit EndlessServer(EndlessResponse response, size_t max_bytes);
  ~EndlessServer();
  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  std::string address() const;
  // The most that a client has taken on one connection.
  size_t most_written() const { return most_written_; }

 private:
  void Accept();
  void Serve(int connection);

  const EndlessResponse response_;
  const size_t max_bytes_;
  int listener_ = -1;
  int port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::atomic<size_t> most_written_ = 0;
  std::atomic<int> active_ = 0;
  std::thread thread_;
};

}  // namespace burdockhatch

#endif  // TESTS_ENDLESS_SERVER_H_
