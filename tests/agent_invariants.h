// Invariants that must hold after every run of an AgentSimulation.
#ifndef TESTS_AGENT_INVARIANTS_H_
#define TESTS_AGENT_INVARIANTS_H_

#include <gtest/gtest.h>

#include "tests/agent_simulation.h"

namespace burdockhatch {

// The agent's reservations match the memory in use at the engine. Holds only
// after outstanding cancels, releases and lists have completed.
inline void CheckReservedMemory(const SimulatedNode& node) {
  std::map<std::string, int64_t> held;
  for (const auto& [id, stream] : node.engine.streams) {
    held[id.value()] = stream.memory.value();
  }
  for (const auto& [id, memory] : node.engine.caches) {
    held["cache " + id.value()] = memory.value();
  }
  std::map<std::string, int64_t> reserved;
  for (const auto& [id, reservation] : node.core->tables().reservations) {
    reserved[(id.is_cache ? "cache " : "") + id.stream.value()] =
        reservation.memory.value();
  }
  EXPECT_EQ(reserved, held) << node.options.self.instance.value();
}

// No dispatch exceeded the warm-up budget, and no stream start exceeded the
// engine's memory.
inline void CheckWarmupBudget(const AgentSimulation& simulation) {
  EXPECT_EQ(simulation.starts_over_budget, 0);
  EXPECT_EQ(simulation.starts_over_memory, 0);
}

// Each attempt was dispatched at most once, over all incarnations of all
// agents, and never after its deadline.
inline void CheckDispatchedOnce(const AgentSimulation& simulation) {
  for (const auto& [attempt, count] : simulation.dispatches) {
    EXPECT_LE(count, 1) << ToString(attempt);
  }
  EXPECT_EQ(simulation.late_dispatches, 0);
}

// The call of each idempotency key was executed at most once, over all agents.
inline void CheckKeysRunOnce(const AgentSimulation& simulation) {
  for (const auto& [key, count] : simulation.key_executions) {
    EXPECT_LE(count, 1) << key;
  }
}

// Each accepted offer got exactly one Finish, by its deadline, unless its agent
// restarted. `paused` is the longest pause of an agent during the simulation.
inline void CheckFinishedInTime(const AgentSimulation& simulation,
                                Duration paused = Duration(0)) {
  for (const auto& [attempt, record] : simulation.offers) {
    if (!record.accepted_at || record.interrupted) {
      continue;
    }
    if (simulation.now() <=
        record.deadline + paused + AgentSimulation::kTickInterval) {
      continue;  // Not due yet.
    }
    ASSERT_EQ(record.finishes.size(), 1u) << ToString(attempt);
    EXPECT_LE(record.finishes[0].first,
              record.deadline + paused + AgentSimulation::kTickInterval)
        << ToString(attempt);
  }
}

// An attempt reported with outcome kNotRun was never executed.
inline void CheckNotRunIsTrue(const AgentSimulation& simulation) {
  for (const auto& [attempt, record] : simulation.offers) {
    auto it = simulation.executions.find(attempt);
    if (record.reported_not_run && it != simulation.executions.end()) {
      EXPECT_EQ(it->second, 0) << ToString(attempt);
    }
  }
}

// A complete answer reports the number of chunks of its stream and, for a
// service call, includes the body.
inline void CheckWholeAnswers(const AgentSimulation& simulation) {
  for (const auto& [attempt, record] : simulation.offers) {
    for (const auto& [time, finish] : record.finishes) {
      if (finish.failure.code != ErrorCode::kNone) {
        continue;
      }
      EXPECT_GT(finish.chunk_count, 0u) << ToString(attempt);
      const bool call = record.offer.kind == WorkKind::kServiceCall;
      EXPECT_TRUE(!call || !record.chunks.empty()) << ToString(attempt);
    }
  }
}

inline void CheckAllInvariants(const AgentSimulation& simulation,
                               Duration paused = Duration(0)) {
  CheckWarmupBudget(simulation);
  CheckDispatchedOnce(simulation);
  CheckKeysRunOnce(simulation);
  CheckFinishedInTime(simulation, paused);
  CheckNotRunIsTrue(simulation);
  CheckWholeAnswers(simulation);
  for (const auto& node : simulation.nodes) {
    CheckReservedMemory(*node);
  }
}

}  // namespace burdockhatch

#endif  // TESTS_AGENT_INVARIANTS_H_
