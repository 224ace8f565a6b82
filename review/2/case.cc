// Streams are sent to the only entry of a zone. With the trouble, the platform
// stops the entry, in calm; streams that come between 3 and 3.4 s later are
// taken and passed on, too. The replicas write an event each 180 ms, inside the
// pause that the route allows, as engines do that read other prompts in each
// pass.
#include "review/standin.h"

using namespace review;

namespace {

constexpr int kEvents = 24;
constexpr int kEventMs = 180;
constexpr int kTokensOfEvent = 46;
constexpr double kGraceS = 8;

std::mutex g_mutex;
std::set<std::string> g_arrived;  // Attempts that reached a replica.

struct Replica {
  std::string id;
  std::unique_ptr<Server> server;

  Replica(const std::string& name, const std::string& ip) : id(name) {
    server = std::make_unique<Server>(
        ip, 0,
        [this](const Request& request, int fd) { return Serve(request, fd); });
  }
  bool Serve(const Request& request, int fd) {
    const std::string attempt = request.Header("X-Attempt-Id");
    if (request.Header("X-Expect-Replica") != id) {
      return SendAll(fd, Text(421, {{"X-Replica-Id", id}}, ""));
    }
    {
      const std::lock_guard lock(g_mutex);
      g_arrived.insert(attempt);
    }
    Record("%s runs %s%s", id.c_str(), attempt.c_str(),
           Has(request.headers, "Last-Event-Id") ? ", resumed" : "");
    SleepMs(60);
    std::string head =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "X-Attempt-Id: " +
        attempt + "\r\nX-Replica-Signature: sig." + id +
        "\r\nTransfer-Encoding: chunked\r\n\r\n";
    if (!SendAll(fd, head)) {
      return false;
    }
    const std::string last = request.Header("Last-Event-Id");
    for (int i = last.empty() ? 1 : std::stoi(last) + 1; i <= kEvents; ++i) {
      if (i > 1) {
        SleepMs(kEventMs);
      }
      const std::string event = "id: " + std::to_string(i) + "\ndata: tokens " +
                                std::to_string(i) + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
      if (!SendAll(fd, size + event + "\r\n")) {
        Record("%s: the channel of %s is closed after event %d", id.c_str(),
               attempt.c_str(), i - 1);
        return false;
      }
    }
    return SendAll(fd, "0\r\n\r\n");
  }
};

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv);
  Store store("127.0.0.1");
  const std::string ip = "127.0.0.11";
  const Machine machine{ip, FreePort(ip), FreePort(ip), FreePort(ip)};
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<std::unique_ptr<Process>> agents;
  for (int i = 0; i < 3; ++i) {
    const std::string side = "127.0.0." + std::to_string(21 + i);
    const std::string zone = "z" + std::to_string(i + 1);
    replicas.push_back(
        std::make_unique<Replica>("i-llm-" + std::to_string(i), side));
    const std::string app = replicas.back()->server->address();
    store.Put("servers", replicas.back()->id,
              ServerSpec("wire-llm", app, zone, 16));
    agents.push_back(StartAgent(app,
                                {side, machine.bus_port, FreePort(side), 0},
                                store.address(), zone));
  }
  store.Put("config", "main",
            R"({"version":7,"routes":[{"name":"r-1","host":"h.example",
      "path_prefix":"/review/","type":"streaming","timeout_ms":10000,
      "target_latency_ms":300,"priority":1,"service":"wire-llm",
      "max_attempts":2,"anonymous":false,"sticky":true,"resumable":true,
      "target_gap_ms":200}],
      "services":[{"name":"wire-llm","health_path":"/healthz",
      "max_connections":424,"protocol":"h1","tls":false,"cold_start_s":3.0,
      "cold_per_s":36.0,"engine":{"slots":16,"kv_capacity":450000,
      "kv_bytes":327680,"link_mbps":400000.0,"stride":46,
      "models":[{"name":"m"}],"step_ms":0.925,"per_seq_ms":0.00483,
      "context_per_k":0.00254,"read_per_s":256000.0,"pairs_per_m":0.0917,
      "chunk":2048,"report_lag_ms":200.0}}],
      "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
      "header_timeout_ms":3000,"idle_timeout_ms":15000},
      "tenants":[{"name":"acme","api_keys":["k1"]}]})");
  std::unique_ptr<Process> entry =
      StartEntry("edge-0", machine, store.address(), "z2");
  if (!WaitReady(machine)) {
    Record("the entry does not become ready");
    return 2;
  }
  SleepMs(3'500);  // In touch: contact_ms is 3,000.

  double term_at = 0;
  struct Loss {
    std::string attempt;
    double sent_at;
    double ended_at;
  };
  std::vector<Loss> losses;
  std::atomic<int> served = 0;
  std::atomic<int> refused = 0;
  const auto call = [&](const std::string& id) {
    Channel channel;
    if (!channel.Open(machine.ip + ":" + std::to_string(machine.front_port))) {
      Record("client: %s finds no listener", id.c_str());
      return;
    }
    const double sent_at = Seconds();
    channel.Send(RequestText(
        "POST", "/review/2f",
        {{"Host", "h.example"},
         {"X-Attempt-Id", id},
         {"X-Model", "m"},
         {"X-Token-Usage", "5000," + std::to_string(kEvents * kTokensOfEvent)},
         {"X-Prompt-Prefix", "5c1e07a2:40," + id + ":4960"},
         {"X-Deadline-Ms", "10000"},
         {"Authorization", "Token k1"}},
        "prompt"));
    const Answer answer = channel.Receive(11'000);
    if (answer.status == 200) {
      ++served;
      Record("client: %s is whole after %.3f s", id.c_str(),
             answer.at - sent_at);
    } else if (answer.status != 0) {
      ++refused;
      Record("client: %s answered %d", id.c_str(), answer.status);
    } else {
      Record("client: %s, the channel ends %s", id.c_str(),
             answer.has_head ? "inside the answer" : "without an answer");
      const std::lock_guard lock(g_mutex);
      losses.push_back({id, sent_at, answer.at});
    }
  };
  call("before");
  std::vector<std::thread> threads;
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&, i] { call("b" + std::to_string(i)); });
  }
  SleepMs(500);
  term_at = Seconds();
  if (HasTrouble()) {
    Record("SIGTERM");
    entry->Signal(SIGTERM);
  }
  for (int i = 0; i < 8; ++i) {
    threads.emplace_back([&, i] {
      SleepMs(3'050 + 40 * i);
      call("c" + std::to_string(i));
    });
  }
  int status = 0;
  bool ended = false;
  while (!ended && Seconds() < term_at + kGraceS) {
    SleepMs(2);
    ended = entry->HasEnded(&status);
  }
  if (ended) {
    Record("the entry has ended, status %d", WEXITSTATUS(status));
  } else if (HasTrouble()) {
    Record("SIGKILL");
    entry->Kill();
  }
  for (std::thread& it : threads) {
    it.join();
  }
  // Not counted: requests that were sent no later than 3 s after the SIGTERM.
  int lost = 0;
  for (const Loss& it : losses) {
    const double after = it.sent_at - term_at;
    const bool counts =
        HasTrouble() && g_arrived.contains(it.attempt) && after > 3;
    lost += counts;
    Record("%s: sent %.3f s after SIGTERM, channel ended at %.3f s%s",
           it.attempt.c_str(), after, it.ended_at - term_at,
           counts ? "  <- LOST broken" : "");
  }
  Record("served %d, refused %d, lost %d", served.load(), refused.load(), lost);
  std::printf("served %d, refused %d, lost %d\n", served.load(), refused.load(),
              lost);
  std::fflush(stdout);
  const bool could_run = served > 0;
  entry.reset();
  agents.clear();
  _exit(!could_run                                       ? 2
        : lost > 0 || (!HasTrouble() && !losses.empty()) ? 1
                                                         : 0);
}
