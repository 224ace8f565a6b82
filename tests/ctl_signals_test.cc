#include "src/ctl_signals.h"

#include <gtest/gtest.h>

#include "src/target_signals.h"

namespace burdockhatch {
namespace {

// Guards against a list for operators that leaves out what a process reports.
TEST(CtlSignalsTest, ListsTargetsOfAProcess) {
  TargetSignalTable table;
  const Time now{std::chrono::seconds(100)};
  TargetSignals signals;
  signals.requests_per_s = 2.5;
  signals.is_leaving = true;
  signals.back_off = std::chrono::seconds(3);
  table.OnResponse(TargetId("t1"), 0, signals, true, now, now);
  const auto list = ParseSignals(
      "10.0.0.1:80", R"({"instance":"edge-1","core":{"target_signals":)" +
                         table.Dump(now + std::chrono::seconds(1)) + "}}");
  ASSERT_TRUE(list);
  ASSERT_EQ(list->size(), 1u);
  EXPECT_EQ((*list)[0].target, "t1");
  EXPECT_EQ((*list)[0].limit_per_s, "2.5E0");
  EXPECT_EQ((*list)[0].stated_ms_ago, 1'000);
  EXPECT_TRUE((*list)[0].is_leaving);
  EXPECT_EQ((*list)[0].back_off_ms, 2'000);
  EXPECT_NE(FormatSignals(*list, false).find("10.0.0.1:80"), std::string::npos);
  EXPECT_NE(FormatSignals(*list, true).find("\"back_off_ms\":2000"),
            std::string::npos);
}

// Guards against state of another process that is taken for an empty list.
TEST(CtlSignalsTest, RejectsOtherStates) {
  for (const char* state : {"", "{", "{}", R"({"core":{"target_signals":{}}})",
                            R"({"core":{"target_signals":{"targets":[1]}}})"}) {
    EXPECT_FALSE(ParseSignals("a", state)) << state;
  }
}

}  // namespace
}  // namespace burdockhatch
