// burdockctl: command-line tool of the operators. The usage text below lists
// the commands and exit codes; docs/operators.md has examples.
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <fmt/format.h>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "src/clock.h"
#include "src/config_edit.h"
#include "src/config_publisher.h"
#include "src/ctl_commands.h"
#include "src/ctl_parts.h"
#include "src/ctl_signals.h"
#include "src/http_call.h"
#include "src/json_reader.h"
#include "src/object_api_http.h"
#include "src/settings.h"

ABSL_FLAG(std::string,
          object_api,
          "127.0.0.1:7001",
          "ip:port of the object API");
ABSL_FLAG(
    std::string,
    entry,
    "127.0.0.1:8080",
    "ip:port of the HTTP interface of an entry; status, parts and signals take "
    "several, separated by commas");
ABSL_FLAG(bool, json, false, "print JSON for programs");
ABSL_FLAG(int, timeout, 10, "seconds that a command may take");
ABSL_FLAG(std::string, account, "", "send: the client account");
ABSL_FLAG(std::string, key, "", "send: the Idempotency-Key");
ABSL_FLAG(std::string,
          mode,
          "rebase",
          "what happens on a conflict: rebase or reject");

namespace burdockhatch {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kVersion = "0.1.0";
constexpr std::string_view kUsage = R"(operates burdockhatch.

  check-settings FILE              check the settings file of a daemon
  check-config FILE                check a configuration document
  template set ID field=value ...  also: get ID, list, remove ID
  account set ID field=value ...   also: get ID, list, remove ID
  model set ID field=value ...     also: get ID, list, remove ID
  service set ID field=value ...   also: get ID, list, remove ID
  data-centre out|in ID            also: list
  target out|in ID                 also: list
  status                           instances and configuration versions
  dump ADDRESS                     state of the process with this HTTP ip:port
  parts list                       parts of prompts that crash targets, as known
                                   to the processes of --entry
  parts lift KEY                   ends the block of a part there (not offered
                                   where callers connect)
  signals list                     what targets say of themselves, as known to
                                   the processes of --entry: limits, leaving,
                                   back-offs
  send PATH [BODY]                 a request to an entry; GET without a body

Exit status: 0 done, 1 refused or conflict, 2 usage, 3 unreachable (nothing was
changed), 4 outcome unknown.
)";

Duration CommandTimeout() {
  return std::chrono::seconds(absl::GetFlag(FLAGS_timeout));
}

// Runs the io_context until `done` returns true.
void RunUntil(asio::io_context& io, const std::function<bool()>& done) {
  while (!done() && io.run_one() > 0) {
  }
}

struct ObjectApiSession {
  asio::io_context io;
  // Without pending work the io_context would stop between two calls, and
  // run_one() would return at once from then on.
  asio::executor_work_guard<asio::io_context::executor_type> work{
      io.get_executor()};
  ObjectApiHttp api{io, io, {.address = absl::GetFlag(FLAGS_object_api)}};

  ObjectReply Read() {
    std::optional<ObjectReply> reply;
    api.Read(FleetConfigObjectName(),
             [&](ObjectReply it) { reply = std::move(it); });
    RunUntil(io, [&] { return reply.has_value(); });
    return std::move(*reply);
  }
};

CtlOutput UnreachableOutput(std::string_view what) {
  const std::string text = fmt::format("{} does not answer", what);
  if (!absl::GetFlag(FLAGS_json)) {
    return {CtlExit::kUnreachable, text + "\n"};
  }
  const boost::json::object out = {{"status", "unavailable"},
                                   {"message", text}};
  return {CtlExit::kUnreachable, boost::json::serialize(out) + "\n"};
}

constexpr int kMaxThrottledReadRetries = 8;

bool IsThrottled(const ObjectReply& reply) {
  return reply.status == ObjectStatus::kThrottled;
}

// Returns the current configuration, an empty one when none is stored yet, or
// nullopt with `*failure` set.
std::optional<FleetConfig> ReadConfig(ObjectApiSession* session,
                                      CtlOutput* failure) {
  ObjectReply reply = session->Read();
  for (int i = 0; i < kMaxThrottledReadRetries && IsThrottled(reply); ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(250));
    reply = session->Read();
  }
  if (reply.status == ObjectStatus::kNotFound) {
    return FleetConfig{};
  }
  if (reply.status != ObjectStatus::kOk) {
    *failure = UnreachableOutput("the object API");
    return std::nullopt;
  }
  Findings findings;
  auto config = ParseFleetConfig(
      reply.value, ConfigVersion(reply.version.value()), &findings);
  if (!config) {
    *failure = {CtlExit::kRefused,
                "the stored configuration is not valid\n" + ToString(findings)};
  }
  return config;
}

ChangeId NewChangeId() {
  const char* user = std::getenv("USER");
  std::string name = user != nullptr && IsValidId(user) ? user : "operator";
  name.resize(std::min<size_t>(name.size(), 24));
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now);
  return ChangeId(
      fmt::format("{}-{}-{:08x}", name, ms.count(), std::random_device()()));
}

// Runs a ConfigPublisher until it has a result.
PublishResult Publish(ObjectApiSession* session, ConfigChange change) {
  const SteadyClock clock;
  PublishOptions options;
  options.mode = absl::GetFlag(FLAGS_mode) == "reject" ? ConflictMode::kReject
                                                       : ConflictMode::kRebase;
  options.time_limit = CommandTimeout();
  options.seed = std::random_device()();
  ConfigPublisher publisher(std::move(change), options, clock.Now());
  const auto on_reply = [&](const ObjectReply& reply) {
    publisher.OnReply(reply, clock.Now());
  };
  // Runs Tick() at least every 20 ms, which starts retries after a back-off and
  // ends the attempt at the time limit.
  asio::steady_timer timer(session->io);
  bool armed = false;
  while (!publisher.result()) {
    publisher.Tick(clock.Now());
    for (PublishAction& it : publisher.TakeActions()) {
      if (auto* update = std::get_if<UpdateConfigObject>(&it)) {
        session->api.Update(FleetConfigObjectName(), update->expected,
                            std::move(update->value), on_reply);
      } else {
        session->api.Read(FleetConfigObjectName(), on_reply);
      }
    }
    if (!armed) {
      armed = true;
      timer.expires_after(std::chrono::milliseconds(20));
      timer.async_wait([&](boost::system::error_code) { armed = false; });
    }
    session->io.run_one();
  }
  return *publisher.result();
}

CtlOutput ChangeConfig(const std::vector<std::string>& words) {
  ObjectApiSession session;
  CtlOutput failure;
  const std::optional<FleetConfig> head = ReadConfig(&session, &failure);
  if (!head) {
    return failure;
  }
  Findings findings;
  ConfigChange change{NewChangeId(), head->version,
                      ParseChangeCommand(words, *head, &findings)};
  const ChangeId id = change.id;
  if (!findings.empty()) {
    PublishResult refused;
    refused.status = PublishStatus::kInvalid;
    refused.findings = std::move(findings);
    return FormatPublishResult(refused, id, absl::GetFlag(FLAGS_json));
  }
  return FormatPublishResult(Publish(&session, std::move(change)), id,
                             absl::GetFlag(FLAGS_json));
}

CtlOutput QueryConfig(const std::vector<std::string>& words) {
  ObjectApiSession session;
  CtlOutput failure;
  const std::optional<FleetConfig> head = ReadConfig(&session, &failure);
  return head ? FormatQueryResult(words, *head, absl::GetFlag(FLAGS_json))
              : failure;
}

CtlOutput CheckFile(const std::string& command, const std::string& path) {
  std::optional<std::string> text = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(content, ReadSettingsFile(path));
        return std::optional<std::string>(std::move(content));
      },
      [] { return std::optional<std::string>(); });
  if (!text) {
    return {CtlExit::kUsage, fmt::format("cannot read {}\n", path)};
  }
  Findings findings;
  if (command == "check-settings") {
    ParseSettings(*text, &findings);
  } else {
    // A document in a file has no version, so its log may contain any.
    ParseFleetConfig(*text, ConfigVersion(INT64_MAX), &findings);
  }
  if (findings.empty()) {
    return {CtlExit::kOk, "ok\n"};
  }
  return {CtlExit::kRefused, ToString(findings)};
}

HttpReply CallHttp(const std::string& address, HttpCall call) {
  asio::io_context io;
  const std::unique_ptr<HttpClient> client = MakeHttpClient(io, address);
  std::optional<HttpReply> reply;
  call.timeout = CommandTimeout();
  client->Call(std::move(call), [&](HttpReply it) { reply = std::move(it); });
  RunUntil(io, [&] { return reply.has_value(); });
  return reply.value_or(HttpReply{});
}

HttpReply HttpGet(const std::string& address, const std::string& path) {
  HttpCall call;
  call.method = "GET";
  call.target = path;
  call.repeatable = true;
  return CallHttp(address, std::move(call));
}

CtlOutput DumpState(const std::string& address) {
  const HttpReply reply = HttpGet(address, "/debug/state");
  if (reply.status != CallStatus::kAnswered || reply.http_status != 200) {
    return UnreachableOutput(address);
  }
  return {CtlExit::kOk, reply.body};
}

// Asks a process for the version of the configuration that it applies. Returns
// nullopt when it does not answer.
std::optional<uint64_t> FetchConfigVersion(const std::string& address) {
  const HttpReply reply = HttpGet(address, "/debug/state");
  Findings findings;
  const auto state = ParseJson(reply.body, &findings);
  if (!state) {
    return std::nullopt;
  }
  ObjectReader reader(*state, "", &findings);
  reader.Require({"config_version"});
  int64_t version = 0;
  reader.ReadInteger("config_version", {0, INT64_MAX}, &version);
  if (!findings.empty()) {
    return std::nullopt;
  }
  return static_cast<uint64_t>(version);
}

std::vector<std::string> SplitAddresses(const std::string& list) {
  std::vector<std::string> addresses;
  size_t start = 0;
  while (start < list.size()) {
    const size_t end = std::min(list.find(',', start), list.size());
    addresses.push_back(list.substr(start, end - start));
    start = end + 1;
  }
  return addresses;
}

std::vector<std::string> MakeInstanceRow(const InstanceInfo& it) {
  return {it.instance.value(),
          it.role == Role::kEntry ? "entry" : "agent",
          it.state == InstanceState::kLive ? "live" : "leaving",
          it.data_centre.value(),
          it.address,
          it.target.value(),
          it.model.empty() ? it.service.value() : it.model.value()};
}

struct StatusReport {
  bool object_api_answered = false;
  uint64_t stored_version = 0;
  std::vector<InstanceInfo> instances;
  // Addresses that were asked, and the version that each applies; nullopt when
  // it did not answer.
  std::vector<std::pair<std::string, std::optional<uint64_t>>> versions;
  // Processes that apply `stored_version` or a later one.
  int confirmed = 0;
};

std::string FormatStatusText(const StatusReport& report) {
  std::vector<std::vector<std::string>> rows = {{"instance", "role", "state",
                                                 "data centre", "address",
                                                 "target", "serves"}};
  for (const InstanceInfo& it : report.instances) {
    rows.push_back(MakeInstanceRow(it));
  }
  std::string text = FormatTable(rows) + "\n";
  rows = {{"asked", "configuration version"}};
  for (const auto& [address, version] : report.versions) {
    rows.push_back({address, version ? std::to_string(*version)
                                     : std::string("no answer")});
  }
  text += FormatTable(rows);
  if (!report.object_api_answered) {
    return text + "\nthe object API does not answer; its version is unknown\n";
  }
  text += fmt::format(
      "\nconfiguration version {}, confirmed by {} of {} processes asked\n",
      report.stored_version, report.confirmed, report.versions.size());
  return text;
}

std::string FormatStatusJson(const StatusReport& report) {
  boost::json::array instances;
  for (const InstanceInfo& it : report.instances) {
    const std::vector<std::string> row = MakeInstanceRow(it);
    instances.push_back({{"instance", row[0]},
                         {"role", row[1]},
                         {"state", row[2]},
                         {"data_centre", row[3]},
                         {"address", row[4]},
                         {"target", row[5]},
                         {"serves", row[6]}});
  }
  boost::json::object versions;
  for (const auto& [address, version] : report.versions) {
    versions[address] =
        version ? boost::json::value(*version) : boost::json::value(nullptr);
  }
  boost::json::object out;
  out["version"] = report.object_api_answered
                       ? boost::json::value(report.stored_version)
                       : boost::json::value(nullptr);
  out["confirmed"] = report.confirmed;
  out["versions"] = std::move(versions);
  out["instances"] = std::move(instances);
  return boost::json::serialize(out) + "\n";
}

CtlOutput ShowStatus() {
  ObjectApiSession session;
  StatusReport report;
  std::optional<InstanceListReply> list;
  session.api.ListInstances(
      ObjectVersion(), [&](InstanceListReply it) { list = std::move(it); });
  RunUntil(session.io, [&] { return list.has_value(); });
  const ObjectReply stored = session.Read();
  report.object_api_answered = list->status == ObjectStatus::kOk &&
                               (stored.status == ObjectStatus::kOk ||
                                stored.status == ObjectStatus::kNotFound);
  report.stored_version = stored.version.value();
  report.instances = std::move(list->instances);
  for (const std::string& it : SplitAddresses(absl::GetFlag(FLAGS_entry))) {
    const std::optional<uint64_t> version = FetchConfigVersion(it);
    const bool is_current =
        report.object_api_answered && version >= report.stored_version;
    report.confirmed += version && is_current ? 1 : 0;
    report.versions.emplace_back(it, version);
  }
  CtlOutput output;
  output.text = absl::GetFlag(FLAGS_json) ? FormatStatusJson(report)
                                          : FormatStatusText(report);
  if (!report.object_api_answered) {
    output.exit = CtlExit::kUnreachable;
  }
  return output;
}

// Lists what `parse` finds in the states of the processes of --entry.
template <class Parse, class Format>
CtlOutput ListFromStates(Parse parse, Format format) {
  typename std::invoke_result_t<Parse, std::string, std::string>::value_type
      all;
  std::string silent;
  for (const std::string& it : SplitAddresses(absl::GetFlag(FLAGS_entry))) {
    const HttpReply reply = HttpGet(it, "/debug/state");
    const auto found = parse(it, reply.body);
    if (!found) {
      silent += (silent.empty() ? "" : ",") + it;
      continue;
    }
    all.insert(all.end(), found->begin(), found->end());
  }
  if (!silent.empty()) {
    return UnreachableOutput(silent);
  }
  return {CtlExit::kOk, format(all, absl::GetFlag(FLAGS_json))};
}

CtlOutput ListParts() {
  return ListFromStates(ParseSuspects, FormatSuspects);
}

CtlOutput ListSignals() {
  return ListFromStates(ParseSignals, FormatSignals);
}

CtlOutput LiftPart(const std::string& key) {
  CtlOutput output;
  for (const std::string& it : SplitAddresses(absl::GetFlag(FLAGS_entry))) {
    HttpCall call;
    call.method = "POST";
    call.target = "/debug/lift-part/" + key;
    call.repeatable = true;
    const HttpReply reply = CallHttp(it, std::move(call));
    if (reply.status != CallStatus::kAnswered) {
      return UnreachableOutput(it);
    }
    if (reply.http_status != 202) {
      output.exit = CtlExit::kRefused;
    }
    output.text += fmt::format("{}: {}", it, reply.body);
  }
  return output;
}

CtlOutput SendRequest(const std::vector<std::string>& words) {
  HttpCall call;
  call.method = words.size() > 2 ? "POST" : "GET";
  call.target = words[1];
  call.body = words.size() > 2 ? words[2] : "";
  // The deadline is below the timeout of this tool, so that the entry answers
  // while the tool still waits and the outcome is known.
  const auto deadline_ms =
      CommandTimeout() * 9 / 10 / std::chrono::milliseconds(1);
  call.headers = {{"Content-Type", "application/json"},
                  {"X-Deadline-Ms", std::to_string(deadline_ms)}};
  if (const std::string account = absl::GetFlag(FLAGS_account);
      !account.empty()) {
    call.headers.emplace_back("X-Client-Account", account);
  }
  if (const std::string key = absl::GetFlag(FLAGS_key); !key.empty()) {
    call.headers.emplace_back("Idempotency-Key", key);
  }
  const HttpReply reply = CallHttp(absl::GetFlag(FLAGS_entry), std::move(call));
  if (reply.status == CallStatus::kNotSent) {
    return UnreachableOutput(absl::GetFlag(FLAGS_entry));
  }
  if (reply.status != CallStatus::kAnswered) {
    return {CtlExit::kUnknown,
            "the answer was lost; the request may still be executed\n"};
  }
  const bool good = reply.http_status >= 200 && reply.http_status < 300;
  return {good ? CtlExit::kOk : CtlExit::kRefused, reply.body + "\n"};
}

std::optional<CtlOutput> RunCommand(const std::vector<std::string>& words) {
  if (IsChangeCommand(words)) {
    return ChangeConfig(words);
  }
  if (IsQueryCommand(words)) {
    return QueryConfig(words);
  }
  const std::string command = words.empty() ? "" : words[0];
  if (command == "status" && words.size() == 1) {
    return ShowStatus();
  }
  if (command == "dump" && words.size() == 2) {
    return DumpState(words[1]);
  }
  if (command == "parts" && words.size() == 2 && words[1] == "list") {
    return ListParts();
  }
  if (command == "parts" && words.size() == 3 && words[1] == "lift" &&
      IsPartKey(words[2])) {
    return LiftPart(words[2]);
  }
  if (command == "signals" && words.size() == 2 && words[1] == "list") {
    return ListSignals();
  }
  if (command == "send" && (words.size() == 2 || words.size() == 3)) {
    return SendRequest(words);
  }
  if ((command == "check-settings" || command == "check-config") &&
      words.size() == 2) {
    return CheckFile(command, words[1]);
  }
  return std::nullopt;
}

int Run(int argc, char** argv) {
  absl::SetProgramUsageMessage(std::string(kUsage));
  absl::FlagsUsageConfig usage;
  usage.version_string = [] {
    return fmt::format("burdockctl {}\n", kVersion);
  };
  usage.contains_help_flags = [](absl::string_view file) {
    return file.find("ctl_main") != absl::string_view::npos;
  };
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
  const std::vector<std::string> words(rest.begin() + 1, rest.end());
  const std::optional<CtlOutput> output = RunCommand(words);
  if (!output) {
    fmt::print(stderr, "usage: burdockctl {}", kUsage);
    return static_cast<int>(CtlExit::kUsage);
  }
  const bool to_stdout =
      output->exit == CtlExit::kOk || absl::GetFlag(FLAGS_json);
  fmt::print(to_stdout ? stdout : stderr, "{}", output->text);
  return static_cast<int>(output->exit);
}

}  // namespace
}  // namespace burdockhatch

int main(int argc, char** argv) {
  return burdockhatch::Run(argc, argv);
}
