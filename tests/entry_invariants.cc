#include "tests/entry_invariants.h"

#include <gtest/gtest.h>

namespace burdockhatch {

namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);

std::string ExpectedAnswer(const RequestId& request, uint32_t chunks) {
  std::string text;
  for (uint32_t i = 0; i < chunks; ++i) {
    text += ChunkText(request, i);
  }
  return text;
}

}  // namespace

void CheckOneEndByDeadline(const EntryDriver& driver) {
  for (const auto& [request, record] : driver.records()) {
    if (record.caller_gone) {
      EXPECT_LE(record.ends.size(), 1u) << ToString(request);
      continue;
    }
    EXPECT_EQ(record.ends.size(), 1u) << ToString(request);
    for (const RequestEnd& it : record.ends) {
      EXPECT_LE(it.at, record.spec.deadline + kTick) << ToString(request);
    }
  }
}

void CheckNotRunNeverDispatched(const EntryDriver& driver) {
  for (const auto& [request, record] : driver.records()) {
    for (const RequestEnd& it : record.ends) {
      if (!it.completed && it.failure.outcome == Outcome::kNotRun) {
        EXPECT_TRUE(record.dispatches.empty()) << ToString(request);
      }
    }
  }
}

void CheckNonRepeatableDispatchedOnce(const EntryDriver& driver) {
  for (const auto& [request, record] : driver.records()) {
    if (!record.spec.repeatable) {
      EXPECT_LE(record.dispatches.size(), 1u) << ToString(request);
    }
  }
}

void CheckAnswersComplete(const EntryDriver& driver) {
  for (const auto& [request, record] : driver.records()) {
    for (const RequestEnd& it : record.ends) {
      if (it.completed) {
        EXPECT_EQ(record.answer_chunks, it.chunk_count) << ToString(request);
        EXPECT_EQ(record.answer, ExpectedAnswer(request, it.chunk_count));
      }
    }
  }
}

void CheckNoOfferToUnusable(const EntryDriver& driver) {
  for (const auto& [request, record] : driver.records()) {
    for (const SentOffer& it : record.offers) {
      EXPECT_FALSE(it.target_known_unusable)
          << ToString(it.attempt) << " to " << it.to.value();
    }
  }
}

void CheckCountersAreZero(const EntryTables& tables) {
  ASSERT_TRUE(tables.requests.empty());
  for (size_t slot = 0; slot < tables.fleet.rows.size(); ++slot) {
    EXPECT_EQ(tables.fleet.hints[slot].own_tokens, 0) << slot;
    EXPECT_EQ(tables.fleet.hints[slot].unanswered_tokens, 0) << slot;
    EXPECT_EQ(tables.fleet.rows[slot].attempts_and_holds, 0u) << slot;
  }
}

void CheckSharesWithinLimit(const std::vector<EntryCore*>& entries,
                            const ClientAccountId& account,
                            int64_t limit,
                            Time now) {
  int64_t total = 0;
  for (const EntryCore* it : entries) {
    const auto& buckets = it->tables().limits.buckets;
    const auto bucket = buckets.find(account);
    if (bucket != buckets.end() && bucket->second.lease_until > now) {
      total += bucket->second.share;
    }
  }
  EXPECT_LE(total, limit * 9 / 10);
}

void CheckEntryInvariants(EntryDriver& driver) {
  CheckOneEndByDeadline(driver);
  CheckNotRunNeverDispatched(driver);
  CheckNonRepeatableDispatchedOnce(driver);
  CheckAnswersComplete(driver);
  CheckNoOfferToUnusable(driver);
  CheckCountersAreZero(driver.core().tables());
}

}  // namespace burdockhatch
