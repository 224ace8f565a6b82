#include "src/ctl_parts.h"

#include <gtest/gtest.h>

#include "src/crash_blame.h"

namespace burdockhatch {
namespace {

std::string StateWith(const std::string& blame) {
  return R"({"instance":"edge-1","core":{"crash_blame":)" + blame + "}}";
}

// Guards against a list for operators that leaves out what a process reports.
TEST(CtlPartsTest, ListsSuspectsOfAProcess) {
  CrashBlame blame;
  const Time now{std::chrono::seconds(100)};
  blame.OnCrash({PartKey(0xab)}, "t1", now, CrashEvidence::kAtStart,
                now + std::chrono::seconds(1));
  blame.OnCrash({PartKey(0xab)}, "t2", now + std::chrono::seconds(2),
                CrashEvidence::kAtStart, now + std::chrono::seconds(3));
  const auto suspects = ParseSuspects(
      "10.0.0.1:80", StateWith(blame.Dump(now + std::chrono::seconds(13))));
  ASSERT_TRUE(suspects);
  ASSERT_EQ(suspects->size(), 1u);
  EXPECT_EQ((*suspects)[0].kind, "parts");
  EXPECT_EQ((*suspects)[0].parts, "00000000000000ab");
  EXPECT_EQ((*suspects)[0].state, "blocked");
  EXPECT_EQ((*suspects)[0].crashes, 2);
  EXPECT_EQ((*suspects)[0].blocks, 1);
  EXPECT_EQ((*suspects)[0].last_crash_s_ago, "10.0");
  EXPECT_EQ((*suspects)[0].blocked_left_s, "110.0");
  const std::string text = FormatSuspects(*suspects, false);
  EXPECT_NE(text.find("00000000000000ab"), std::string::npos);
  EXPECT_NE(text.find("blocked"), std::string::npos);
  EXPECT_NE(FormatSuspects(*suspects, true).find("\"blocks\":1"),
            std::string::npos);
}

// Guards against a blocked request that operators cannot see, and against one
// that looks like a part of many.
TEST(CtlPartsTest, ListsRequestsThatAreSuspectByThemselves) {
  CrashBlame blame;
  const Time now{std::chrono::seconds(100)};
  blame.OnCrash({}, "t1", now, CrashEvidence::kAtStart,
                now + std::chrono::seconds(1), PartKey(0xcd));
  blame.OnCrash({}, "t2", now + std::chrono::seconds(2),
                CrashEvidence::kAtStart, now + std::chrono::seconds(3),
                PartKey(0xcd));
  const auto suspects = ParseSuspects(
      "10.0.0.1:80", StateWith(blame.Dump(now + std::chrono::seconds(13))));
  ASSERT_TRUE(suspects);
  ASSERT_EQ(suspects->size(), 1u);
  EXPECT_EQ((*suspects)[0].kind, "request");
  EXPECT_EQ((*suspects)[0].parts, "00000000000000cd");
  EXPECT_EQ((*suspects)[0].state, "blocked");
  EXPECT_NE(FormatSuspects(*suspects, false).find("request"),
            std::string::npos);
  EXPECT_NE(FormatSuspects(*suspects, true).find("\"kind\":\"request\""),
            std::string::npos);
}

// Guards against state of another process that is taken for an empty list.
TEST(CtlPartsTest, RejectsOtherStates) {
  EXPECT_TRUE(ParseSuspects("a", StateWith(R"({"suspects":[]})")));
  for (const std::string state :
       {"", "{", "[]", "{}", R"({"core":1})", R"({"core":{"crash_blame":{}}})",
        R"({"core":{"crash_blame":{"suspects":[1]}}})"}) {
    EXPECT_FALSE(ParseSuspects("a", state)) << state;
  }
}

// Guards against a key that ends up in a path unchecked.
TEST(CtlPartsTest, ChecksKeys) {
  EXPECT_TRUE(IsPartKey("00000000000000ab"));
  EXPECT_TRUE(IsPartKey("AB"));
  for (const char* it : {"", "g", "../x", "00000000000000abc", "a b"}) {
    EXPECT_FALSE(IsPartKey(it)) << it;
  }
}

}  // namespace
}  // namespace burdockhatch
