#include "src/ctl_commands.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "tests/config_test_util.h"

namespace burdockhatch {
namespace {

using Words = std::vector<std::string>;

std::vector<FieldEdit> ParseValidCommand(const Words& words,
                                         const FleetConfig& head) {
  Findings findings;
  EXPECT_TRUE(IsChangeCommand(words));
  std::vector<FieldEdit> edits = ParseChangeCommand(words, head, &findings);
  EXPECT_TRUE(findings.empty()) << ToString(findings);
  return edits;
}

Findings ParseFindings(const Words& words, const FleetConfig& head) {
  Findings findings;
  ParseChangeCommand(words, head, &findings);
  return findings;
}

// Guards against a command that rewrites the whole entity: it would conflict
// with or undo another operator's change of another field.
TEST(CtlCommandsTest, SetEditsOnlyTheGivenField) {
  const FleetConfig head = SmallFleetConfig(ConfigVersion(1));
  EXPECT_EQ(ParseValidCommand({"account", "set", "acme", "limit=5"}, head),
            (std::vector<FieldEdit>{{"/accounts/acme/limit", "10000", "5"}}));
  EXPECT_EQ(
      ParseValidCommand(
          {"template", "set", "acme-short", "prompt_prefix=a \"b\"=c"}, head),
      (std::vector<FieldEdit>{
          {"/templates/acme-short/prompt_prefix", "\"\"", R"("a \"b\"=c")"}}));
}

TEST(CtlCommandsTest, SetOfUnknownIdCreatesTheEntity) {
  const FleetConfig head = SmallFleetConfig(ConfigVersion(1));
  EXPECT_EQ(
      ParseValidCommand(
          {"model", "set", "m2", "data_centres=a,b", "max_output=9"}, head),
      (std::vector<FieldEdit>{
          {"/models/m2", std::nullopt,
           R"({"data_centres":["a","b"],"max_output":9})"}}));
}

TEST(CtlCommandsTest, WithdrawalEditsOneField) {
  FleetConfig head = SmallFleetConfig(ConfigVersion(1));
  EXPECT_EQ(ParseValidCommand({"data-centre", "out", "ga-north-a"}, head),
            (std::vector<FieldEdit>{
                {"/withdrawn_data_centres/ga-north-a", std::nullopt, "true"}}));
  head.withdrawn_targets.insert(TargetId("t1"));
  EXPECT_EQ(ParseValidCommand({"target", "in", "t1"}, head),
            (std::vector<FieldEdit>{
                {"/withdrawn_targets/t1", "true", std::nullopt}}));
}

// Guards against invalid commands that are reported as successful.
TEST(CtlCommandsTest, InvalidCommandsAreRejected) {
  const FleetConfig head = SmallFleetConfig(ConfigVersion(1));
  for (const Words& words :
       std::vector<Words>{{"data-centre", "out", "ga-nroth-a"},
                          {"account", "remove", "nobody"},
                          {"account", "set", "acme"},
                          {"account", "set", "acme", "limit"},
                          {"account", "set", "acme", "=5"},
                          {"account", "set", "acme", "limit=five"},
                          {"account", "set", "a b", "limit=5"}}) {
    EXPECT_FALSE(ParseFindings(words, head).empty()) << words.back();
  }
  for (const Words& words : std::vector<Words>{{},
                                               {"account"},
                                               {"account", "set"},
                                               {"acount", "set", "x", "y=1"},
                                               {"data-centre", "out"},
                                               {"data-centre", "out", "a", "b"},
                                               {"data-centre", "get", "a"}}) {
    EXPECT_FALSE(IsChangeCommand(words) || IsQueryCommand(words));
  }
}

// Guards against an exit status of 0 for a refused change, which scripts would
// treat as success.
TEST(CtlCommandsTest, ExitCodesFollowTheOutcome) {
  const auto exit_of = [](PublishStatus status) {
    PublishResult result;
    result.status = status;
    return FormatPublishResult(result, ChangeId("c"), false).exit;
  };
  EXPECT_EQ(exit_of(PublishStatus::kAccepted), CtlExit::kOk);
  EXPECT_EQ(exit_of(PublishStatus::kNoChange), CtlExit::kOk);
  EXPECT_EQ(exit_of(PublishStatus::kConflict), CtlExit::kRefused);
  EXPECT_EQ(exit_of(PublishStatus::kInvalid), CtlExit::kRefused);
  EXPECT_EQ(exit_of(PublishStatus::kUnavailable), CtlExit::kUnreachable);
  EXPECT_EQ(exit_of(PublishStatus::kUnknown), CtlExit::kUnknown);
}

TEST(CtlCommandsTest, ListsPrintTablesAndJson) {
  FleetConfig head = SmallFleetConfig(ConfigVersion(1));
  head.withdrawn_data_centres.insert(DataCentreId("ga-north-b"));
  EXPECT_EQ(FormatQueryResult({"data-centre", "list"}, head, false).text,
            "data centre  state\n"
            "ga-north-a   in\n"
            "ga-north-b   out\n"
            "ga-north-c   in\n");
  EXPECT_EQ(FormatQueryResult({"account", "get", "acme"}, head, true).text,
            "{\"limit\":10000,\"burst\":20000,\"enabled\":true}\n");
  EXPECT_EQ(FormatQueryResult({"account", "get", "x"}, head, true).exit,
            CtlExit::kRefused);
}

}  // namespace
}  // namespace burdockhatch
