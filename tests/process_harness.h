// Starts the real programs on loopback for process tests, calls them over HTTP
// and signals them. Ends only processes that it started itself.
#ifndef TESTS_PROCESS_HARNESS_H_
#define TESTS_PROCESS_HARNESS_H_

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace burdockhatch::process {

using Headers = std::vector<std::pair<std::string, std::string>>;

// One program that this test started.
class ChildProcess {
 public:
  // Starts `name` from the build directory; what it prints goes to `log_path`,
  // appended.
  ChildProcess(const std::string& name,
               const std::vector<std::string>& arguments,
               const std::string& log_path);
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int number);
  // Kills the process and waits for its end.
  void Kill();
  // Waits for the end. Returns the exit status, -1 when a signal ended it, or
  // nullopt when it still runs after a generous bound.
  std::optional<int> WaitForExit();
  bool IsRunning();

 private:
  void Reap(bool block);

  pid_t pid_ = -1;
  std::optional<int> status_;
};

struct HttpResult {
  int status = 0;  // 0: no whole answer came.
  std::string content_type;
  std::string body;
};

// Sends one request on a connection of its own. `timeout` bounds the whole
// call.
HttpResult CallHttp(
    const std::string& address,
    const std::string& method,
    const std::string& target,
    const std::string& body = "",
    const Headers& headers = {},
    std::chrono::milliseconds timeout = std::chrono::seconds(30));

// Polls until `condition` holds; false after a bound that only a failed test
// reaches.
bool WaitUntil(const std::function<bool()>& condition,
               std::chrono::milliseconds bound = std::chrono::seconds(30));

// What a caller got.
enum class Verdict : uint8_t {
  kWhole,    // The expected answer.
  kRefused,  // One error body with code and outcome.
  kBroken,   // The connection ended before a whole answer or error.
  kWrong,    // An answer that is not the expected one.
};

struct CallerResult {
  Verdict verdict = Verdict::kBroken;
  int status = 0;
  std::string code;     // Of the error.
  std::string outcome;  // Of the error.
  std::string text;     // What came, for messages of failed tests.
};

// Asks the entry at `address` for a completion and compares the answer with
// what the stand-in engine has to say.
CallerResult Complete(
    const std::string& address,
    const std::string& prompt,
    uint32_t max_tokens,
    bool stream,
    std::chrono::milliseconds deadline = std::chrono::seconds(20),
    const std::string& account = "acme");

// The error in a JSON body, or in the last event of a stream.
CallerResult ReadError(const HttpResult& result);

struct EngineSpec {
  std::string data_centre;
  int64_t memory_tokens = 450'000;
  double time_scale = 4;
  std::vector<std::string> flags = {};  // More flags for fake_engine.
};

struct ServiceSpec {
  std::string data_centre;
  std::vector<std::string> flags = {};  // More flags for fake_service.
};

struct FleetSpec {
  std::vector<std::string> entry_data_centres = {"dc-a"};
  std::vector<EngineSpec> engines;
  std::vector<ServiceSpec> services;
  int balancer_lag_ms = 300;
};

// An object API, entries, and agents with their targets. The model is "m", the
// service "orders", the client account "acme" without a practical limit and
// "small" with a small one.
class Fleet {
 public:
  explicit Fleet(FleetSpec spec);
  ~Fleet();

  // Starts everything, puts the configuration and waits until all entries are
  // ready and each entry knows a usable target of each kind. False on failure.
  bool Start();

  void StartObjectApi();
  void StartEntry(size_t i);
  void StartEngine(size_t i);
  void StartEngineAgent(size_t i);
  void StartService(size_t i);
  void StartServiceAgent(size_t i);

  ChildProcess& object_api() { return *object_api_; }
  ChildProcess& entry(size_t i) { return *entries_[i]; }
  ChildProcess& engine(size_t i) { return *engines_[i]; }
  ChildProcess& engine_agent(size_t i) { return *engine_agents_[i]; }
  ChildProcess& service(size_t i) { return *services_[i]; }
  ChildProcess& service_agent(size_t i) { return *service_agents_[i]; }

  std::string object_api_address() const;
  std::string entry_address(size_t i) const;
  std::string engine_address(size_t i) const;
  std::string engine_agent_address(size_t i) const;
  std::string service_address(size_t i) const;
  std::string service_agent_address(size_t i) const;

  bool WaitForEntry(size_t i);
  // Whether the entry lists `count` usable targets.
  bool WaitForTargets(size_t entry, size_t count);

  // Replaces the configuration; the withdrawn data centres are JSON text, e.g.
  // `["dc-a"]`. False when the object API did not accept it.
  bool PutConfig(const std::string& withdrawn = "[]");

  // Sets faults of a stand-in. False when it did not accept them.
  static bool SetFaults(const std::string& address, const std::string& json);

  // Whether every engine agent books exactly what its engine lists and no
  // attempt is left, within a bound.
  bool BookingsSettle();

  // How often the services executed a call with this key.
  int64_t Executions(const std::string& key) const;

  std::string directory() const { return directory_; }

 private:
  std::string Address(int offset) const;
  std::string LogPath(const std::string& name) const;
  std::string WriteFile(const std::string& name, const std::string& text) const;
  std::string InstancesText() const;
  std::string AgentSettings(const std::string& kind, size_t i) const;

  FleetSpec spec_;
  std::string directory_;
  int base_port_ = 0;
  std::unique_ptr<ChildProcess> object_api_;
  std::vector<std::unique_ptr<ChildProcess>> entries_;
  std::vector<std::unique_ptr<ChildProcess>> engines_;
  std::vector<std::unique_ptr<ChildProcess>> engine_agents_;
  std::vector<std::unique_ptr<ChildProcess>> services_;
  std::vector<std::unique_ptr<ChildProcess>> service_agents_;
};

struct LoadCounts {
  int whole = 0;
  int refused = 0;
  int broken = 0;
  int wrong = 0;
  std::vector<CallerResult> failures;  // All but the whole ones.

  int total() const { return whole + refused + broken + wrong; }
};

std::string Describe(const LoadCounts& counts);

// Callers in threads that send one completion after the other, streamed and
// whole in turn, until Stop.
class Load {
 public:
  Load(std::vector<std::string> addresses,
       int callers,
       uint32_t max_tokens,
       std::chrono::milliseconds deadline = std::chrono::seconds(20));
  ~Load();

  // Waits until this many more requests have ended.
  bool WaitFor(int requests);
  LoadCounts Stop();

 private:
  void Run(int caller);

  std::vector<std::string> addresses_;
  uint32_t max_tokens_;
  std::chrono::milliseconds deadline_;
  std::atomic<bool> stop_ = false;
  std::atomic<int> ended_ = 0;
  std::vector<LoadCounts> counts_;
  std::vector<std::thread> threads_;
};

}  // namespace burdockhatch::process

#endif  // TESTS_PROCESS_HARNESS_H_
