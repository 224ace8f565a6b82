#include "src/fleet_config.h"

#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "src/json_reader.h"
#include "src/object_api.h"
#include "tests/config_test_util.h"

namespace burdockhatch {
namespace {

std::vector<std::string> ListPaths(const Findings& findings) {
  std::vector<std::string> paths;
  for (const Finding& it : findings.list) {
    paths.push_back(it.path);
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

std::vector<std::string> ListPathsOfInvalidDocument(std::string_view text) {
  Findings findings;
  EXPECT_EQ(ParseFleetConfig(text, ConfigVersion(9), &findings), std::nullopt);
  return ListPaths(findings);
}

// Guards against a field that is written but not read back: the next change of
// another field would drop it.
TEST(FleetConfigTest, SerializedDocumentIsReadBack) {
  FleetConfig config = SmallFleetConfig(ConfigVersion(9));
  config.withdrawn_data_centres.insert(DataCentreId("ga-north-c"));
  config.withdrawn_targets.insert(TargetId("engine-3"));
  config.services[ServiceId("orders")].repeatable_methods = {"GET"};
  config.services[ServiceId("orders")].claim_shards = 4;
  config.accounts[ClientAccountId("acme")].enabled = false;
  config.log.push_back({ChangeId("c1"), ConfigVersion(7),
                        R"([{"path":"/accounts/acme/enabled","value":false}])",
                        ConfigVersion(3)});
  config.log.push_back(
      {ChangeId("c2"), ConfigVersion(9), "", ConfigVersion(7)});
  const std::string text = SerializeFleetConfig(config);
  Findings findings;
  const auto parsed = ParseFleetConfig(text, ConfigVersion(9), &findings);
  ASSERT_TRUE(parsed) << ToString(findings);
  EXPECT_EQ(SerializeFleetConfig(*parsed), text);
  EXPECT_EQ(parsed->version, ConfigVersion(9));
  EXPECT_FALSE(parsed->accounts.at(ClientAccountId("acme")).enabled);
  ASSERT_EQ(parsed->log.size(), 2u);
  EXPECT_EQ(parsed->log[0].version, ConfigVersion(7));
  EXPECT_EQ(parsed->log[0].edits, config.log[0].edits);
  EXPECT_EQ(parsed->log[1].version, ConfigVersion(9));
  EXPECT_EQ(parsed->log[1].edits, "");
}

// Guards against a parser that stops at the first error, and against misspelt
// keys and out-of-range numbers that are accepted without a finding.
TEST(FleetConfigTest, EveryFindingIsReportedWithItsPath) {
  const std::string text = R"({
    "models": {"m1": {"context_limit": -5, "data_centres": ["a", "a", ""]},
               "bad id": {"data_centres": ["a"]}},
    "services": {"s1": {"claim_shards": 0, "repeatable_methods": ["get", 3],
                        "data_centres": ["a"]}},
    "accounts": {"acme": {"limit": 1e300, "burst": 99999999999999999999,
                          "enabled": "yes"}},
    "templates": {"t1": {"model": "m1", "deadline_ms": 0, "dedline_ms": 5}},
    "withdrawn_targets": {"x": true},
    "surprise": 1,
    "log": [{"id": "c1", "base": 9}]
  })";
  EXPECT_EQ(ListPathsOfInvalidDocument(text),
            (std::vector<std::string>{
                "/accounts/acme/burst", "/accounts/acme/enabled",
                "/accounts/acme/limit", "/log/0/base", "/models/bad id",
                "/models/m1/context_limit", "/models/m1/data_centres/1",
                "/models/m1/data_centres/2", "/services/s1/claim_shards",
                "/services/s1/repeatable_methods/0",
                "/services/s1/repeatable_methods/1", "/surprise",
                "/templates/t1/account", "/templates/t1/deadline_ms",
                "/templates/t1/dedline_ms", "/withdrawn_targets"}));
}

TEST(FleetConfigTest, MalformedTextIsRejected) {
  for (const std::string_view text :
       {"", "{", "[]", "null", "{}x", "{} {}", "{\"models\":[]}", "\xff\xfe"}) {
    EXPECT_FALSE(ListPathsOfInvalidDocument(text).empty()) << text;
  }
  const std::string deep(100'000, '[');
  EXPECT_FALSE(ListPathsOfInvalidDocument(deep).empty());
}

// Guards against a template whose account or model does not exist, which no
// request could use.
TEST(FleetConfigTest, ReferencesMustResolve) {
  FleetConfig config = SmallFleetConfig(ConfigVersion(1));
  config.templates[TemplateId("t")] = {.account = ClientAccountId("nobody"),
                                       .model = ModelId("nothing"),
                                       .prompt_prefix = ""};
  Findings findings;
  ValidateFleetConfig(config, &findings);
  EXPECT_EQ(
      ListPaths(findings),
      (std::vector<std::string>{"/templates/t/account", "/templates/t/model"}));
}

// Guards against withdrawals that leave a model or service without any data
// centre.
TEST(FleetConfigTest, ModelsAndServicesNeedADataCentreInService) {
  FleetConfig config = SmallFleetConfig(ConfigVersion(1));
  config.withdrawn_data_centres = {DataCentreId("ga-north-a"),
                                   DataCentreId("ga-north-b")};
  Findings findings;
  ValidateFleetConfig(config, &findings);
  EXPECT_TRUE(findings.empty()) << ToString(findings);
  config.withdrawn_data_centres.insert(DataCentreId("ga-north-c"));
  ValidateFleetConfig(config, &findings);
  EXPECT_EQ(ListPaths(findings),
            (std::vector<std::string>{"/models/catalogue/data_centres",
                                      "/services/orders/data_centres"}));
}

TEST(FleetConfigTest, AmountsMustBePositive) {
  FleetConfig config = SmallFleetConfig(ConfigVersion(1));
  config.accounts[ClientAccountId("acme")].limit = TokensPerSecond(0);
  config.models[ModelId("catalogue")].max_output = Tokens(-1);
  Findings findings;
  ValidateFleetConfig(config, &findings);
  EXPECT_EQ(ListPaths(findings),
            (std::vector<std::string>{"/accounts/acme/limit",
                                      "/models/catalogue/max_output",
                                      "/templates/acme-short/max_output"}));
}

TEST(FleetConfigTest, WithdrawalCoversDataCentreAndTarget) {
  FleetConfig config;
  config.withdrawn_data_centres.insert(DataCentreId("a"));
  config.withdrawn_targets.insert(TargetId("t1"));
  EXPECT_TRUE(IsWithdrawn(config, TargetId("t2"), DataCentreId("a")));
  EXPECT_TRUE(IsWithdrawn(config, TargetId("t1"), DataCentreId("b")));
  EXPECT_FALSE(IsWithdrawn(config, TargetId("t2"), DataCentreId("b")));
}

// Guards against a document that exceeds the object size at the design scale:
// 2,800 accounts with a template each, 7 models, 7 data centres and a full log.
TEST(FleetConfigTest, DesignScaleFitsIntoOneObject) {
  const FleetConfig config = DesignScaleFleetConfig();
  ASSERT_EQ(config.accounts.size(), 2'800u);
  ASSERT_EQ(config.templates.size(), 2'800u);
  ASSERT_EQ(config.log.size(), kMaxChangeLogRecords);
  const std::string text = SerializeFleetConfig(config);
  RecordProperty("bytes", static_cast<int>(text.size()));
  fmt::print("design-scale document: {} bytes\n", text.size());
  EXPECT_LT(text.size(), 1'000'000u);
  Findings findings;
  EXPECT_TRUE(ParseFleetConfig(text, config.version, &findings))
      << ToString(findings);
}

TEST(JsonReaderTest, PointersAreEscaped) {
  EXPECT_EQ(ChildPath("/a", "b/c~d"), "/a/b~1c~0d");
  EXPECT_EQ(ChildPath("/a", size_t{3}), "/a/3");
}

// Guards against ids that need escaping in URLs, JSON pointers or terminals.
TEST(JsonReaderTest, IdsAreRestricted) {
  for (const std::string& good :
       {std::string("a"), std::string("ga-north-a"), std::string("10.0.0.1:80"),
        std::string(64, 'x')}) {
    EXPECT_TRUE(IsValidId(good)) << good;
  }
  for (const std::string& bad :
       {std::string(), std::string("a b"), std::string("a/b"),
        std::string("\x1b[0m"), std::string("ā"), std::string(65, 'x')}) {
    EXPECT_FALSE(IsValidId(bad)) << bad;
  }
}

TEST(JsonReaderTest, AbsentFieldsKeepDefaultsAndErrorsAreReported) {
  Findings findings;
  const auto value =
      ParseJson(R"({"n": 5, "f": 0.5, "role": "agent", "big": 2e9, "x": null})",
                &findings);
  ASSERT_TRUE(value);
  ObjectReader reader(*value, "", &findings);
  int64_t n = 1;
  int64_t absent = 7;
  double fraction = 0;
  int role = 0;
  reader.ReadInteger("n", {0, 10}, &n);
  reader.ReadInteger("absent", {0, 10}, &absent);
  reader.ReadNumber("f", 0, 1, &fraction);
  reader.ReadEnum<int>("role", {{"entry", 1}, {"agent", 2}}, &role);
  reader.ReadInteger("big", {0, 10}, &n);
  reader.Require({"n", "missing"});
  reader.ReportUnknownKeys();
  EXPECT_EQ(n, 5);
  EXPECT_EQ(absent, 7);
  EXPECT_EQ(fraction, 0.5);
  EXPECT_EQ(role, 2);
  EXPECT_EQ(ListPaths(findings),
            (std::vector<std::string>{"/big", "/missing", "/x"}));
}

}  // namespace
}  // namespace burdockhatch
