// Stand-ins of the platform's store, of replicas and of clients, and the start
// of the project's own programs, for the cases of this review. They follow
// PROTOCOL.md; loopback addresses and the real clock only.
#ifndef REVIEW_STANDIN_H_
#define REVIEW_STANDIN_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Headers = std::vector<std::pair<std::string, std::string>>;

inline const Clock::time_point g_start = Clock::now();

inline double Seconds() {
  return std::chrono::duration<double>(Clock::now() - g_start).count();
}

inline void SleepMs(int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

inline bool HasTrouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// --- Record
// -------------------------------------------------------------------

inline FILE* g_record = nullptr;
inline std::mutex g_record_mutex;

// Writes one line with the time in seconds.
__attribute__((format(printf, 1, 2))) inline void Record(const char* format,
                                                         ...) {
  const std::lock_guard lock(g_record_mutex);
  if (g_record == nullptr) {
    return;
  }
  std::fprintf(g_record, "%8.3f  ", Seconds());
  va_list args;
  va_start(args, format);
  std::vfprintf(g_record, format, args);
  va_end(args);
  std::fputc('\n', g_record);
  std::fflush(g_record);
}

// --- HTTP
// ---------------------------------------------------------------------

inline bool SameName(const std::string& a, const std::string& b) {
  return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

inline std::string Find(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) {
      return value;
    }
  }
  return "";
}

inline bool Has(const Headers& headers, const std::string& name) {
  for (const auto& [key, value] : headers) {
    if (SameName(key, name)) {
      return true;
    }
  }
  return false;
}

inline bool SendAll(int fd, const std::string& text) {
  size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<size_t>(n);
  }
  return true;
}

// Buffered reader of one channel. Reads fail at `until`.
struct Reader {
  int fd = -1;
  std::string buffer;
  Clock::time_point until = Clock::time_point::max();
  bool was_reset = false;

  bool Fill() {
    if (until != Clock::time_point::max()) {
      const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
                            until - Clock::now())
                            .count();
      pollfd item = {fd, POLLIN, 0};
      if (left <= 0 || poll(&item, 1, static_cast<int>(left) + 1) <= 0) {
        return false;
      }
    }
    char data[64 * 1024];
    const ssize_t n = recv(fd, data, sizeof(data), 0);
    if (n <= 0) {
      was_reset = n < 0;
      return false;
    }
    buffer.append(data, static_cast<size_t>(n));
    return true;
  }
  bool Line(std::string* line) {
    size_t end;
    while ((end = buffer.find("\r\n")) == std::string::npos) {
      if (!Fill()) {
        return false;
      }
    }
    *line = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return true;
  }
  bool Bytes(size_t n, std::string* out) {
    while (buffer.size() < n) {
      if (!Fill()) {
        return false;
      }
    }
    out->append(buffer, 0, n);
    buffer.erase(0, n);
    return true;
  }
  bool ReadHeaders(Headers* headers) {
    std::string line;
    while (Line(&line)) {
      if (line.empty()) {
        return true;
      }
      const size_t colon = line.find(':');
      if (colon == std::string::npos) {
        return false;
      }
      size_t value = colon + 1;
      while (value < line.size() && line[value] == ' ') {
        ++value;
      }
      headers->push_back({line.substr(0, colon), line.substr(value)});
    }
    return false;
  }
  bool Chunks(std::string* body) {
    std::string line;
    while (Line(&line)) {
      const size_t n = std::strtoul(line.c_str(), nullptr, 16);
      std::string end;
      if (n == 0) {
        return Line(&end);
      }
      if (!Bytes(n, body) || !Line(&end)) {
        return false;
      }
    }
    return false;
  }
};

struct Request {
  std::string method;
  std::string path;
  Headers headers;
  std::string body;
  std::string Header(const std::string& name) const {
    return Find(headers, name);
  }
};

struct Answer {
  int status = 0;  // 0: no complete answer.
  Headers headers;
  std::string body;
  bool has_head = false;
  bool closed = false;  // The channel was closed before the answer was whole.
  double at = 0;
};

inline std::string Text(int status,
                        const Headers& headers,
                        const std::string& body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

inline sockaddr_in ToSockaddr(const std::string& address) {
  sockaddr_in to = {};
  const size_t colon = address.rfind(':');
  to.sin_family = AF_INET;
  to.sin_port =
      htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
  return to;
}

// Serves each channel in a thread of its own, one request after the other. The
// handler returns false to close the channel.
class Server {
 public:
  using Handler = std::function<bool(const Request&, int fd)>;
  // `ip` with port 0 takes a free port.
  Server(const std::string& ip, int port, Handler handler)
      : handler_(std::move(handler)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in at = ToSockaddr(ip + ":" + std::to_string(port));
    if (bind(listener_, reinterpret_cast<sockaddr*>(&at), sizeof(at)) != 0 ||
        listen(listener_, 1024) != 0) {
      std::perror("bind");
      std::exit(2);
    }
    socklen_t size = sizeof(at);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size);
    address_ = ip + ":" + std::to_string(ntohs(at.sin_port));
    std::thread([this] { Accept(); }).detach();
  }
  const std::string& address() const { return address_; }

 private:
  void Accept() {
    while (true) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd >= 0) {
        const int one = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread([this, fd] { Serve(fd); }).detach();
      }
    }
  }
  void Serve(int fd) {
    Reader reader;
    reader.fd = fd;
    while (true) {
      Request request;
      std::string line;
      if (!reader.Line(&line)) {
        break;
      }
      const size_t first = line.find(' ');
      const size_t second = line.rfind(' ');
      if (first == std::string::npos || second <= first) {
        break;
      }
      request.method = line.substr(0, first);
      request.path = line.substr(first + 1, second - first - 1);
      if (!reader.ReadHeaders(&request.headers)) {
        break;
      }
      const std::string length = request.Header("Content-Length");
      if (!length.empty() && !reader.Bytes(std::stoul(length), &request.body)) {
        break;
      }
      if (!handler_(request, fd)) {
        break;
      }
    }
    close(fd);
  }

  Handler handler_;
  int listener_ = -1;
  std::string address_;
};

// Returns -1 on failure.
inline int Dial(const std::string& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in to = ToSockaddr(address);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    close(fd);
    return -1;
  }
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  return fd;
}

// A channel of a client, which may carry several requests.
class Channel {
 public:
  ~Channel() { Close(); }
  bool Open(const std::string& address) {
    Close();
    reader_ = Reader();
    reader_.fd = Dial(address);
    return reader_.fd >= 0;
  }
  bool is_open() const { return reader_.fd >= 0; }
  void Close() {
    if (reader_.fd >= 0) {
      close(reader_.fd);
      reader_.fd = -1;
    }
  }
  bool Send(const std::string& text) { return SendAll(reader_.fd, text); }
  Answer Receive(int64_t wait_ms) {
    Answer answer;
    reader_.until = Clock::now() + std::chrono::milliseconds(wait_ms);
    std::string line;
    bool whole = reader_.Line(&line) && line.size() >= 12 &&
                 reader_.ReadHeaders(&answer.headers);
    answer.has_head = whole;
    if (whole) {
      if (SameName(Find(answer.headers, "Transfer-Encoding"), "chunked")) {
        whole = reader_.Chunks(&answer.body);
      } else {
        const std::string length = Find(answer.headers, "Content-Length");
        whole =
            !length.empty() && reader_.Bytes(std::stoul(length), &answer.body);
      }
    }
    answer.at = Seconds();
    if (whole) {
      answer.status = std::stoi(line.substr(9, 3));
    } else {
      answer.closed = Clock::now() < reader_.until;
      Close();
    }
    if (whole && SameName(Find(answer.headers, "Connection"), "close")) {
      Close();
    }
    return answer;
  }

 private:
  Reader reader_;
};

inline std::string RequestText(const std::string& method,
                               const std::string& path,
                               const Headers& headers,
                               const std::string& body) {
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers) {
    text += name + ": " + value + "\r\n";
  }
  if (method != "GET") {
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  return text + "\r\n" + body;
}

// --- Store
// ----------------------------------------------------------------------

// The platform's store: lists and watches.
class Store {
 public:
  explicit Store(const std::string& ip)
      : server_(ip, 0, [this](const Request& request, int fd) {
          return Serve(request, fd);
        }) {}
  const std::string& address() const { return server_.address(); }

  void Put(const std::string& kind,
           const std::string& name,
           const std::string& spec) {
    const std::lock_guard lock(mutex_);
    const std::string object = Object(name, ++revision_, spec);
    objects_[{kind, name}] = object;
    changes_.push_back({revision_, kind, object, false});
  }
  void Remove(const std::string& kind, const std::string& name) {
    const std::lock_guard lock(mutex_);
    ++revision_;
    changes_.push_back(
        {revision_, kind, Object(name, revision_, "null"), true});
    objects_.erase({kind, name});
  }

 private:
  struct Change {
    uint64_t revision;
    std::string kind;
    std::string object;
    bool removed;
  };
  static std::string Object(const std::string& name,
                            uint64_t revision,
                            const std::string& spec) {
    return "{\"metadata\":{\"name\":\"" + name +
           "\",\"revision\":" + std::to_string(revision) +
           ",\"created\":1,\"finalizers\":[],\"deletion_pending\":false},"
           "\"spec\":" +
           spec + ",\"status\":null}";
  }
  static std::string Parameter(const std::string& path,
                               const std::string& name) {
    const size_t begin = path.find(name + "=");
    if (begin == std::string::npos) {
      return "";
    }
    const size_t from = begin + name.size() + 1;
    return path.substr(from, path.find('&', from) - from);
  }
  static bool Reply(int fd, const std::string& body) {
    return SendAll(fd, Text(200, {{"Content-Type", "application/json"}}, body));
  }
  bool Serve(const Request& request, int fd) {
    const std::string path = request.path.substr(0, request.path.find('?'));
    const std::string kind = path.substr(path.rfind('/') + 1);
    const std::string watch = Parameter(request.path, "watch");
    SleepMs(4);
    if (watch.empty()) {
      std::string items;
      uint64_t at;
      {
        const std::lock_guard lock(mutex_);
        at = revision_;
        for (const auto& [key, object] : objects_) {
          if (key.first == kind) {
            items += (items.empty() ? "" : ",") + object;
          }
        }
      }
      return Reply(
          fd, "{\"items\":[" + items +
                  "],\"truncated\":false,\"at\":" + std::to_string(at) + "}");
    }
    const uint64_t after = std::stoull(watch);
    const auto end = Clock::now() +
                     std::chrono::milliseconds(
                         std::stoul("0" + Parameter(request.path, "wait_ms")));
    while (true) {
      std::string events;
      uint64_t at;
      {
        const std::lock_guard lock(mutex_);
        at = revision_;
        for (const Change& it : changes_) {
          if (it.kind == kind && it.revision > after) {
            events += std::string(events.empty() ? "" : ",") +
                      "{\"deleted\":" + (it.removed ? "true" : "false") +
                      ",\"object\":" + it.object + "}";
          }
        }
      }
      if (!events.empty() || Clock::now() >= end) {
        return Reply(fd, "{\"events\":[" + events +
                             "],\"at\":" + std::to_string(at) + "}");
      }
      SleepMs(5);
    }
  }

  std::mutex mutex_;
  uint64_t revision_ = 1;
  std::map<std::pair<std::string, std::string>, std::string> objects_;
  std::vector<Change> changes_;
  Server server_;
};

inline std::string ServerSpec(const std::string& service,
                              const std::string& address,
                              const std::string& zone,
                              int slots,
                              const std::string& state = "ready",
                              uint64_t born = 1) {
  return "{\"service\":\"" + service + "\",\"address\":\"" + address +
         "\",\"zone\":\"" + zone +
         "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
         ",\"state\":\"" + state +
         "\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":" +
         std::to_string(born) + "}";
}

// --- Processes
// -------------------------------------------------------------------

inline std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

inline std::string Fill(std::string text,
                        const std::map<std::string, std::string>& values) {
  for (const auto& [name, value] : values) {
    const std::string key = "{{" + name + "}}";
    for (size_t at = text.find(key); at != std::string::npos;
         at = text.find(key)) {
      text.replace(at, key.size(), value);
    }
  }
  if (text.find("{{") != std::string::npos) {
    std::fprintf(stderr, "a placeholder of the template is not known: %s\n",
                 text.substr(text.find("{{"), 40).c_str());
    std::exit(2);
  }
  return text;
}

// A process of the project's own, started with the command of the deploy file.
class Process {
 public:
  Process(std::string settings, std::string log)
      : settings_(std::move(settings)), log_(std::move(log)) {
    Start();
  }
  ~Process() { Kill(); }
  void Start() {
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      const std::string flag = "--settings=" + settings_;
      execl("target/burdockhatchd", "target/burdockhatchd", flag.c_str(),
            nullptr);
      _exit(127);
    }
  }
  void Signal(int signal) {
    if (pid_ > 0) {
      kill(pid_, signal);
    }
  }
  void Kill() {
    if (pid_ > 0) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
  }
  // Returns false if it still runs.
  bool HasEnded(int* status) {
    if (pid_ > 0 && waitpid(pid_, status, WNOHANG) == pid_) {
      pid_ = -1;
      return true;
    }
    return false;
  }
  pid_t pid() const { return pid_; }

 private:
  std::string settings_;
  std::string log_;
  pid_t pid_ = -1;
};

struct Machine {
  std::string ip;
  int bus_port = 0;
  int admin_port = 0;
  int front_port = 0;
};

inline int FreePort(const std::string& ip) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at = ToSockaddr(ip + ":0");
  socklen_t size = sizeof(at);
  bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof(at));
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
  close(fd);
  return ntohs(at.sin_port);
}

inline std::string g_directory;  // Of settings and logs.

// Writes the settings of an entry as the platform fills in the template.
// Returns the path of the file.
inline std::string WriteEntrySettings(const std::string& node,
                                      const Machine& machine,
                                      const std::string& store,
                                      const std::string& zone,
                                      const std::string& grace_s) {
  const std::string path = g_directory + "/" + node + ".json";
  std::ofstream(path) << Fill(
      ReadFile("deploy/entry.json"),
      {{"node|json", "\"" + node + "\""},
       {"zone|json", "\"" + zone + "\""},
       {"region|json", "\"r1\""},
       {"ip", machine.ip},
       {"internal_ports.0", std::to_string(machine.bus_port)},
       {"listen.readiness|json",
        "\"" + machine.ip + ":" + std::to_string(machine.admin_port) + "\""},
       {"platform.address|json", "\"" + store + "\""},
       {"listen.frontend|json",
        "\"" + machine.ip + ":" + std::to_string(machine.front_port) + "\""},
       {"zones|json", "{\"z1\":\"r1\",\"z2\":\"r1\",\"z3\":\"r1\"}"},
       {"bounds.retry_budget_ratio", "0.2"},
       {"bounds.retry_window_s", "10"},
       {"bounds.budget_slack", "102"},
       {"bounds.grace_s", grace_s}});
  return path;
}

inline std::unique_ptr<Process> StartEntry(const std::string& node,
                                           const Machine& machine,
                                           const std::string& store,
                                           const std::string& zone) {
  const std::string path = WriteEntrySettings(node, machine, store, zone, "8");
  return std::make_unique<Process>(path, g_directory + "/" + node + ".log");
}

inline std::unique_ptr<Process> StartAgent(const std::string& app,
                                           const Machine& machine,
                                           const std::string& store,
                                           const std::string& zone) {
  const std::string path = g_directory + "/agent-" + machine.ip + ".json";
  std::ofstream(path) << Fill(
      ReadFile("deploy/agent.json"),
      {{"app|json", "\"" + app + "\""},
       {"zone|json", "\"" + zone + "\""},
       {"region|json", "\"r1\""},
       {"ip", machine.ip},
       {"internal_ports.0", std::to_string(machine.bus_port)},
       {"internal_ports.1", std::to_string(machine.admin_port)},
       {"platform.address|json", "\"" + store + "\""},
       {"bounds.grace_s", "8"}});
  return std::make_unique<Process>(
      path, g_directory + "/agent-" + machine.ip + ".log");
}

inline bool IsReady(const Machine& machine) {
  Channel channel;
  if (!channel.Open(machine.ip + ":" + std::to_string(machine.admin_port))) {
    return false;
  }
  channel.Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n");
  return channel.Receive(500).status == 200;
}

inline bool WaitReady(const Machine& machine, int64_t ms = 15'000) {
  for (int64_t i = 0; i < ms; i += 50) {
    if (IsReady(machine)) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

// Reads the arguments: the record file and a folder for settings and logs.
inline void Begin(int argc, char** argv) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: case RECORD FOLDER\n");
    std::exit(2);
  }
  signal(SIGPIPE, SIG_IGN);
  g_record = std::fopen(argv[1], "w");
  g_directory = argv[2];
  Record("trouble %s", HasTrouble() ? "on" : "off");
}

}  // namespace review

#endif  // REVIEW_STANDIN_H_
