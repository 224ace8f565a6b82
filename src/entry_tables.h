// The tables of an entry. Plain data; the systems that run over them are free
// functions in modules of their own.
#ifndef SRC_ENTRY_TABLES_H_
#define SRC_ENTRY_TABLES_H_

#include <map>
#include <vector>

#include "src/entry_core.h"

namespace burdockhatch {

struct KnownAgent {
  InstanceInfo info;
  Incarnation incarnation;
};

struct OpenRequest {
  RequestSpec spec;
  AttemptId attempt;
  PeerId agent;
  uint32_t next_chunk = 0;
  std::optional<Finish> finish;
};

struct EntryTables {
  EntryOptions options;
  FleetConfigPtr config;
  bool draining = false;
  Time now;
  std::map<InstanceId, KnownAgent> agents;
  std::map<RequestId, OpenRequest> requests;
  std::vector<EntryAction> actions;
};

}  // namespace burdockhatch

#endif  // SRC_ENTRY_TABLES_H_
