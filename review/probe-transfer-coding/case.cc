// A client sends a request whose Transfer-Encoding does not end with chunked.
// Its body has the form of another request.
#include <set>

#include "review/standin-2.h"

using namespace review;

namespace {

struct Vector {
  const char* name;
  const char* transfer_encoding;
};

// Codings from RFC 9112 and RFC 2616. In none of them is chunked the last.
constexpr Vector kVectors[] = {
    {"gzip", "gzip"}, {"identity", "identity"}, {"order", "chunked, gzip"}};

struct Run {
  std::string attempt;
  std::string path;
  std::string body;
};

struct Desk {
  std::mutex mutex;
  std::vector<Run> runs;
};

void ServeReplica(Connection& connection, const std::string& id, Desk* desk) {
  Message request;
  if (!connection.ReadHead(&request, 10'000) ||
      !connection.ReadBody(&request, 10'000)) {
    return;
  }
  const std::string attempt = request.Get("X-Attempt-Id");
  if (request.Get("X-Expect-Replica") != id) {
    connection.Write(MisdirectedAnswer(id));
    return;
  }
  {
    const std::lock_guard lock(desk->mutex);
    desk->runs.push_back({attempt, PathOf(request), request.body});
  }
  Note("replica runs " + attempt + " " + PathOf(request) +
       Format(", body of %zu bytes, for tenant ", request.body.size()) +
       request.Get("X-Tenant"));
  connection.Write("HTTP/1.1 200 OK\r\n" +
                   AnswerHeaders(attempt, id + "." + attempt, 1, kPlainSlots) +
                   "Content-Length: 4\r\n\r\nheld");
}

}  // namespace

int main(int argc, char** argv) {
  const Arguments arguments = ReadArguments(argc, argv);
  Deployment fleet(arguments.directory);
  Store store;
  store.Start(fleet.StoreIp(), fleet.store_port());
  store.Put("config", "main", ConfigJson());
  Desk desk;
  Server replica(fleet.PlainIp(0), fleet.app_port(),
                 [&](Connection& it) { ServeReplica(it, "i-0", &desk); });
  store.Put("servers", "i-0",
            ServerJson("order-desk", fleet.PlainIp(0), fleet.app_port()));
  Process entry;
  fleet.StartEntry(&entry, 0);
  if (!fleet.WaitUntilReady(0)) {
    End(kNotRun);
  }
  Sleep(500);
  std::map<std::string, std::string> sent;  // Body by attempt.
  for (const Vector& it : kVectors) {
    const std::string outer = Format("6a-%s-outer", it.name);
    const std::string inner = Format("6a-%s-inner", it.name);
    const std::string body = RequestHead("POST", "/commit/inner", inner, 1'000) +
                             "Content-Length: 0\r\n\r\n";
    const std::string framing =
        TroubleWanted() ? Format("Transfer-Encoding: %s\r\n",
                                 it.transfer_encoding)
                        : Format("Content-Length: %zu\r\n", body.size());
    sent[outer] = body;
    const auto connection = Connect(fleet.EntryIp(0), fleet.frontend_port());
    if (!connection) {
      End(kNotRun);
    }
    Note("client sends one request, " + outer + " /commit/outer, with " +
         framing.substr(0, framing.size() - 2) +
         Format(" and a body of %zu bytes", body.size()));
    connection->Write(RequestHead("POST", "/commit/outer", outer, 1'000) +
                      framing + "\r\n" + body);
    Message answer;
    while (connection->ReadHead(&answer, 1'500) &&
           connection->ReadBody(&answer, 1'500)) {
      Note("client gets " + answer.first_line + " for " +
           answer.Get("X-Attempt-Id"));
      answer = Message();
    }
  }
  int not_sent = 0;
  int changed = 0;
  const std::lock_guard lock(desk.mutex);
  for (const Run& it : desk.runs) {
    const auto found = sent.find(it.attempt);
    if (found == sent.end()) {
      ++not_sent;
      Note(it.attempt + " was run, and no client sent it");
    } else if (found->second != it.body) {
      ++changed;
      Note(it.attempt + " was run with another body");
    }
  }
  Note(Format("%zu requests sent, %zu run: %d that no client sent, %d with "
              "another body", sent.size(), desk.runs.size(), not_sent,
              changed));
  if (not_sent + changed > 0) {
    End(kBroken);
  }
  End(TroubleWanted() || desk.runs.size() == sent.size() ? kHeld : kNotRun);
}
