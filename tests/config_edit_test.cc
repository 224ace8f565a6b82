#include "src/config_edit.h"

#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "src/config_publisher.h"
#include "src/config_store.h"
#include "tests/config_sim.h"
#include "tests/config_test_util.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kLimit = "/accounts/acme/limit";
constexpr std::string_view kBurst = "/accounts/acme/burst";

ConfigChange MakeChange(const FleetConfig& base,
                        std::string id,
                        std::string path,
                        std::optional<std::string> after) {
  return {ChangeId(std::move(id)),
          base.version,
          {MakeEdit(base, std::move(path), std::move(after))}};
}

FleetConfig ApplyToNextVersion(const FleetConfig& head,
                               const ConfigChange& change) {
  RebaseResult result = Rebase(change, head, ConflictMode::kRebase);
  EXPECT_EQ(result.status, RebaseStatus::kApplied) << ToString(result.findings);
  result.config.version = head.version.Next();
  result.config.log.back().version = result.config.version;
  return result.config;
}

TEST(ConfigEditTest, EditsSetReplaceAndRemoveFields) {
  FleetConfig config = SmallFleetConfig(ConfigVersion(1));
  Findings findings;
  ApplyEdits({{"/accounts/acme/limit", std::nullopt, "7"},
              {"/accounts/new", std::nullopt, "{\"limit\":5}"},
              {"/templates/acme-short", std::nullopt, std::nullopt},
              {"/withdrawn_data_centres/ga-north-a", std::nullopt, "true"},
              {"/withdrawn_targets/t1", std::nullopt, "true"},
              {"/withdrawn_targets/t1", "true", std::nullopt}},
             &config, &findings);
  EXPECT_TRUE(findings.empty()) << ToString(findings);
  EXPECT_EQ(GetFieldValue(config, kLimit), "7");
  EXPECT_EQ(GetFieldValue(config, kBurst), "20000");
  EXPECT_EQ(GetFieldValue(config, "/accounts/new/limit"), "5");
  EXPECT_TRUE(config.templates.empty());
  EXPECT_EQ(config.withdrawn_data_centres.size(), 1u);
  EXPECT_TRUE(config.withdrawn_targets.empty());
}

// Guards against a misspelt path that is accepted without any effect.
TEST(ConfigEditTest, InvalidPathsAndValuesAreRejected) {
  const std::vector<FieldEdit> edits = {
      {"", std::nullopt, "1"},
      {"accounts/acme", std::nullopt, "{}"},
      {"/accounts", std::nullopt, "{}"},
      {"/acounts/acme", std::nullopt, "{}"},
      {"/accounts/acme/limit/x", std::nullopt, "1"},
      {"/accounts/nobody/limit", std::nullopt, "1"},
      {"/accounts/acme/", std::nullopt, "1"},
      {"/accounts/acme/limmit", std::nullopt, "1"},
      {"/accounts/acme/limit", std::nullopt, "-1"},
      {"/accounts/acme/limit", std::nullopt, "\"5\""},
      {"/accounts/acme/limit", std::nullopt, "{"},
      {"/accounts/acme/limit", std::nullopt, std::nullopt},
      {"/withdrawn_targets/t1", std::nullopt, "false"},
      {"/withdrawn_targets/t1/x", std::nullopt, "true"},
      {"/log/0", std::nullopt, "{}"}};
  for (const FieldEdit& it : edits) {
    FleetConfig config = SmallFleetConfig(ConfigVersion(1));
    const std::string before = SerializeFleetConfig(config);
    Findings findings;
    ApplyEdits({it}, &config, &findings);
    EXPECT_FALSE(findings.empty()) << it.path;
    EXPECT_EQ(SerializeFleetConfig(config), before) << it.path;
  }
}

// Guards against a change that is lost because another operator changes another
// field at the same time.
TEST(ConfigEditTest, UnrelatedChangesAreRebased) {
  const FleetConfig base = SmallFleetConfig(ConfigVersion(1));
  const ConfigChange ours = MakeChange(base, "ours", std::string(kLimit), "7");
  const FleetConfig head = ApplyToNextVersion(
      base, MakeChange(base, "theirs", std::string(kBurst), "8"));
  const FleetConfig both = ApplyToNextVersion(head, ours);
  EXPECT_EQ(GetFieldValue(both, kLimit), "7");
  EXPECT_EQ(GetFieldValue(both, kBurst), "8");
  EXPECT_EQ(Rebase(ours, head, ConflictMode::kReject).status,
            RebaseStatus::kConflict);
}

// Guards against a change that overwrites a concurrent change of the same
// field.
TEST(ConfigEditTest, ChangesOfTheSameFieldConflict) {
  const FleetConfig base = SmallFleetConfig(ConfigVersion(1));
  const ConfigChange ours = MakeChange(base, "ours", std::string(kLimit), "7");
  const FleetConfig head = ApplyToNextVersion(
      base, MakeChange(base, "theirs", std::string(kLimit), "8"));
  const RebaseResult result = Rebase(ours, head, ConflictMode::kRebase);
  EXPECT_EQ(result.status, RebaseStatus::kConflict);
  EXPECT_EQ(result.conflicts,
            (std::vector<FieldConflict>{{std::string(kLimit), "10000", "8"}}));
}

// Guards against setting a field of an account that was removed concurrently,
// and against removing an account of which a field was changed concurrently.
TEST(ConfigEditTest, RemovalConflictsWithFieldChange) {
  FleetConfig base = SmallFleetConfig(ConfigVersion(1));
  base.templates.clear();
  const ConfigChange remove =
      MakeChange(base, "remove", "/accounts/acme", std::nullopt);
  const ConfigChange set = MakeChange(base, "set", std::string(kLimit), "7");
  EXPECT_EQ(Rebase(remove, ApplyToNextVersion(base, set), ConflictMode::kRebase)
                .status,
            RebaseStatus::kConflict);
  EXPECT_EQ(Rebase(set, ApplyToNextVersion(base, remove), ConflictMode::kRebase)
                .status,
            RebaseStatus::kConflict);
}

// Guards against two changes that are valid alone and violate a rule together.
TEST(ConfigEditTest, RebasedDocumentIsValidatedAsAWhole) {
  FleetConfig base = SmallFleetConfig(ConfigVersion(1));
  base.templates.clear();
  const ConfigChange add = MakeChange(
      base, "add", "/templates/t", R"({"account":"acme","model":"catalogue"})");
  const ConfigChange remove =
      MakeChange(base, "remove", "/accounts/acme", std::nullopt);
  const RebaseResult result =
      Rebase(add, ApplyToNextVersion(base, remove), ConflictMode::kRebase);
  ASSERT_EQ(result.status, RebaseStatus::kInvalid);
  EXPECT_EQ(result.findings.list.front().path, "/templates/t/account");
}

TEST(ConfigEditTest, ChangeToTheSameValueIsNoChange) {
  const FleetConfig base = SmallFleetConfig(ConfigVersion(1));
  EXPECT_EQ(Rebase(MakeChange(base, "c", std::string(kLimit), " 10000"), base,
                   ConflictMode::kRebase)
                .status,
            RebaseStatus::kNoChange);
}

// Guards against a log that grows until the document exceeds the maximum object
// size.
TEST(ConfigEditTest, ChangeLogIsBounded) {
  FleetConfig config = SmallFleetConfig(ConfigVersion(1));
  for (int i = 0; i < 400; ++i) {
    const std::string text =
        fmt::format("\"{}{}\"", i, std::string(1'000, 'x'));
    config = ApplyToNextVersion(
        config, MakeChange(config, fmt::format("c{}", i),
                           "/templates/acme-short/prompt_prefix", text));
  }
  EXPECT_EQ(config.log.size(), kMaxChangeLogRecords);
  EXPECT_EQ(config.log.back().id, ChangeId("c399"));
  EXPECT_EQ(config.log.front().id, ChangeId("c144"));
  size_t bytes = 0;
  for (const ChangeRecord& it : config.log) {
    bytes += it.edits.size();
  }
  EXPECT_LE(bytes, kMaxLoggedEditBytes);
  EXPECT_TRUE(config.log.front().edits.empty());
  EXPECT_FALSE(config.log.back().edits.empty());
  // A record without its edits cannot be part of a push.
  EXPECT_EQ(SerializeChangesSince(config, config.log.front().base),
            std::nullopt);
  EXPECT_NE(SerializeChangesSince(config, config.log.back().base),
            std::nullopt);
}

// Guards against processes that hold different documents of the same version.
TEST(ConfigEditTest, AppliedChangesReproduceTheSendersDocument) {
  std::vector<FleetConfig> versions = {SmallFleetConfig(ConfigVersion(1))};
  for (int i = 0; i < 300; ++i) {
    const FleetConfig& head = versions.back();
    versions.push_back(ApplyToNextVersion(
        head, MakeChange(head, fmt::format("c{}", i), std::string(kLimit),
                         std::to_string(100 + i))));
  }
  const FleetConfig& latest = versions.back();
  for (const size_t have : {45u, 100u, 299u}) {
    const auto text = SerializeChangesSince(latest, versions[have].version);
    ASSERT_TRUE(text) << have;
    // The receiver may have a newer version than the one that it asked for.
    for (const size_t now : {have, size_t{299}}) {
      Findings findings;
      const auto result =
          ApplyChanges(versions[now], *text, latest.version, &findings);
      ASSERT_TRUE(result) << ToString(findings);
      EXPECT_EQ(SerializeFleetConfig(*result), SerializeFleetConfig(latest));
      EXPECT_EQ(result->version, latest.version);
    }
  }
  EXPECT_EQ(SerializeChangesSince(latest, versions[20].version), std::nullopt);
}

TEST(ConfigEditTest, MalformedChangesAndOtherBasesAreRejected) {
  const FleetConfig base = SmallFleetConfig(ConfigVersion(5));
  const FleetConfig next =
      ApplyToNextVersion(base, MakeChange(base, "c", std::string(kLimit), "7"));
  const std::string good = *SerializeChangesSince(next, base.version);
  FleetConfig other = base;
  other.accounts[ClientAccountId("other")] = {};
  FleetConfig older = base;
  older.version = ConfigVersion(4);
  Findings findings;
  EXPECT_TRUE(ApplyChanges(base, good, next.version, &findings));
  // Each call gets its own findings, because findings of an earlier call would
  // already cause a rejection.
  for (const FleetConfig& it : {other, older}) {
    Findings mismatch;
    EXPECT_FALSE(ApplyChanges(it, good, next.version, &mismatch));
    EXPECT_FALSE(mismatch.empty());
  }
  for (const std::string_view text :
       {"", "[]", "{}", R"({"changes":{},"hash":""})",
        R"({"changes":[],"hash":""})", R"({"changes":[1],"hash":""})",
        R"({"changes":[{"id":"c","base":5,"edits":1}],"hash":""})",
        R"({"changes":[{"id":"c","base":5,"edits":[{}]}],"hash":""})",
        R"({"changes":[{"id":"c","base":-5,"edits":[]}],"hash":""})"}) {
    Findings ignored;
    EXPECT_FALSE(ApplyChanges(base, text, next.version, &ignored)) << text;
    // Without a finding, the receiver could not log why it rejects the text.
    EXPECT_FALSE(ignored.empty()) << text;
  }
}

TEST(ConfigStoreTest, NeverAppliesALowerOrEqualVersion) {
  ConfigStore store;
  EXPECT_EQ(store.version(), ConfigVersion());
  EXPECT_TRUE(store.Apply(SmallFleetConfig(ConfigVersion(5))));
  EXPECT_FALSE(store.Apply(SmallFleetConfig(ConfigVersion(5))));
  EXPECT_FALSE(store.Apply(SmallFleetConfig(ConfigVersion(4))));
  EXPECT_TRUE(store.Apply(SmallFleetConfig(ConfigVersion(6))));
  EXPECT_EQ(store.version(), ConfigVersion(6));
}

// Runs publishers against a simulated object API that holds a small document.
class PublisherTest : public testing::Test {
 protected:
  void CreateApi(uint64_t seed) {
    api_ = std::make_unique<SimObjectApi>(&timeline_, seed);
    api_->Overwrite(SerializeFleetConfig(SmallFleetConfig(ConfigVersion())));
  }
  FleetConfig Head() {
    Findings findings;
    return *ParseFleetConfig(api_->value(),
                             ConfigVersion(api_->version().value()), &findings);
  }
  SimOperator& Start(ConfigChange change, PublishOptions options = {}) {
    operators_.push_back(std::make_unique<SimOperator>(&timeline_, api_.get()));
    operators_.back()->Start(std::move(change), options);
    return *operators_.back();
  }
  int CountLogRecords(const ChangeId& id) {
    int count = 0;
    for (const ChangeRecord& it : Head().log) {
      count += it.id == id ? 1 : 0;
    }
    return count;
  }

  Timeline timeline_;
  std::unique_ptr<SimObjectApi> api_;
  std::vector<std::unique_ptr<SimOperator>> operators_;
};

TEST_F(PublisherTest, AcceptedChangeIsInTheDocument) {
  CreateApi(1);
  const FleetConfig base = Head();
  const SimOperator& it =
      Start(MakeChange(base, "c", std::string(kLimit), "7"));
  timeline_.RunFor(seconds(1));
  ASSERT_TRUE(it.done());
  EXPECT_EQ(it.result().status, PublishStatus::kAccepted);
  EXPECT_EQ(it.result().version, Head().version);
  EXPECT_EQ(GetFieldValue(Head(), kLimit), "7");
  EXPECT_EQ(CountLogRecords(ChangeId("c")), 1);
}

// Guards against a publisher that cannot create the first document.
TEST_F(PublisherTest, FirstChangeCreatesTheObject) {
  api_ = std::make_unique<SimObjectApi>(&timeline_, 1);
  const SimOperator& it = Start(
      MakeChange(FleetConfig{}, "c", "/models/m", R"({"data_centres":["a"]})"));
  timeline_.RunFor(seconds(1));
  ASSERT_TRUE(it.done());
  EXPECT_EQ(it.result().status, PublishStatus::kAccepted);
  EXPECT_EQ(Head().models.size(), 1u);
}

// Guards against a change that is applied twice or reported as failed because
// the answer was lost after the update was applied.
TEST_F(PublisherTest, LostAnswerIsResolvedByReadingBack) {
  CreateApi(2);
  const FleetConfig base = Head();
  const SimOperator& it =
      Start(MakeChange(base, "c", std::string(kLimit), "7"));
  api_->on_change = [&] { api_->faults.lose_answer = 0; };
  timeline_.RunFor(milliseconds(8));
  api_->faults.lose_answer = 1;
  timeline_.RunFor(seconds(8));
  ASSERT_TRUE(it.done());
  EXPECT_EQ(it.result().status, PublishStatus::kAccepted);
  EXPECT_EQ(it.result().version, Head().version);
  EXPECT_EQ(it.update_count(), 1u);
  EXPECT_EQ(CountLogRecords(ChangeId("c")), 1);
}

// Guards against a result "accepted" or "not applied" that the publisher could
// not verify, because the object API went down after the write.
TEST_F(PublisherTest, OutageAfterTheWriteIsUnknown) {
  CreateApi(3);
  const FleetConfig base = Head();
  api_->on_change = [&] { api_->outage = true; };
  api_->faults.lose_answer = 0;
  const SimOperator& it = Start(MakeChange(base, "c", std::string(kLimit), "7"),
                                {.time_limit = seconds(10)});
  timeline_.RunFor(milliseconds(8));
  api_->faults.lose_answer = 1;
  timeline_.RunFor(seconds(11));
  ASSERT_TRUE(it.done());
  EXPECT_EQ(it.result().status, PublishStatus::kUnknown);
}

TEST_F(PublisherTest, OutageFromTheStartIsUnavailable) {
  CreateApi(4);
  const FleetConfig base = Head();
  api_->outage = true;
  const SimOperator& it = Start(MakeChange(base, "c", std::string(kLimit), "7"),
                                {.time_limit = seconds(10)});
  timeline_.RunFor(seconds(11));
  ASSERT_TRUE(it.done());
  EXPECT_EQ(it.result().status, PublishStatus::kUnavailable);
}

// Guards against reporting a change as not applied when the log is too short to
// prove it.
TEST_F(PublisherTest, OutcomeIsIndeterminateOnceTheLogIsTooShort) {
  FleetConfig config = SmallFleetConfig(ConfigVersion(1));
  EXPECT_EQ(FindChangeOutcome(config, ChangeId("x"), ConfigVersion(1)),
            ChangeOutcome::kUndecided);
  const FleetConfig applied = ApplyToNextVersion(
      config, MakeChange(config, "x", std::string(kLimit), "3"));
  EXPECT_EQ(FindChangeOutcome(applied, ChangeId("x"), ConfigVersion(1)),
            ChangeOutcome::kApplied);
  for (int i = 0; i < 300; ++i) {
    config = ApplyToNextVersion(
        config, MakeChange(config, fmt::format("c{}", i), std::string(kLimit),
                           std::to_string(i + 5)));
    const ChangeOutcome expected = i < static_cast<int>(kMaxChangeLogRecords)
                                       ? ChangeOutcome::kNotApplied
                                       : ChangeOutcome::kIndeterminate;
    ASSERT_EQ(FindChangeOutcome(config, ChangeId("x"), ConfigVersion(1)),
              expected)
        << i;
  }
}

// Guards against two concurrent changes that withdraw the last two data centres
// of a model, each made while the other data centre was still in service.
TEST_F(PublisherTest, TheLastTwoDataCentresAreNotBothTakenOut) {
  for (uint64_t seed = 1; seed <= 50; ++seed) {
    CreateApi(seed);
    api_->faults = {.lose_request = 0.1,
                    .lose_answer = 0.1,
                    .late_request = 0.1,
                    .throttle = 0.1};
    FleetConfig config = SmallFleetConfig(ConfigVersion());
    config.withdrawn_data_centres.insert(DataCentreId("ga-north-c"));
    api_->Overwrite(SerializeFleetConfig(config));
    const FleetConfig base = Head();
    const PublishOptions options{.time_limit = seconds(60), .seed = seed};
    const SimOperator& first = Start(
        MakeChange(base, "first", "/withdrawn_data_centres/ga-north-a", "true"),
        options);
    const SimOperator& second =
        Start(MakeChange(base, "second", "/withdrawn_data_centres/ga-north-b",
                         "true"),
              options);
    timeline_.RunFor(seconds(61));
    ASSERT_TRUE(first.done() && second.done());
    EXPECT_EQ(Head().withdrawn_data_centres.size(), 2u) << seed;
    const bool first_won = first.result().status == PublishStatus::kAccepted;
    const PublishResult& loser = first_won ? second.result() : first.result();
    EXPECT_NE(first_won, second.result().status == PublishStatus::kAccepted)
        << seed;
    EXPECT_EQ(loser.status, PublishStatus::kInvalid) << seed;
  }
}

// Results of concurrent changes, summed over all seeds.
struct RaceCounts {
  int changes = 0;
  int accepted = 0;
  int conflicts = 0;  // Reported to the operator, who has to retry by hand.
  int unknown = 0;
  int unavailable = 0;
  int update_count = 0;
  // Changes that are accepted and missing from the document, refused and
  // present, or logged twice.
  int wrong = 0;
};

// Eight operators change different fields of the same document concurrently,
// five times each, while the object API loses requests and answers.
class RaceTest : public PublisherTest {
 protected:
  static constexpr int kOperators = 8;
  static constexpr int kChangesPerOperator = 5;

  void RunRace(uint64_t seed, ConflictMode mode, RaceCounts* counts) {
    CreateApi(seed);
    FleetConfig config = SmallFleetConfig(ConfigVersion());
    for (int i = 0; i < kOperators; ++i) {
      config.accounts[ClientAccountId(fmt::format("account-{}", i))] = {};
    }
    api_->Overwrite(SerializeFleetConfig(config));
    api_->faults = {.lose_request = 0.03,
                    .lose_answer = 0.03,
                    .late_request = 0.03,
                    .throttle = 0.05};
    for (int round = 0; round < kChangesPerOperator; ++round) {
      operators_.clear();
      Random random(MixHash(seed, round));
      const FleetConfig base = Head();
      std::vector<ConfigChange> changes;
      for (int i = 0; i < kOperators; ++i) {
        changes.push_back(
            MakeChange(base, fmt::format("r{}-o{}", round, i),
                       fmt::format("/accounts/account-{}/limit", i),
                       std::to_string(1'000 * (round + 1) + i)));
        // All changes have the same base and start within one second.
        const PublishOptions options{
            .mode = mode, .time_limit = seconds(30), .seed = random.Next()};
        operators_.push_back(
            std::make_unique<SimOperator>(&timeline_, api_.get()));
        timeline_.At(timeline_.now() + milliseconds(static_cast<int64_t>(
                                           random.UniformBelow(1'000))),
                     [it = operators_.back().get(), change = changes.back(),
                      options] { it->Start(change, options); });
      }
      timeline_.RunFor(seconds(40));
      CountResults(changes, counts);
    }
  }

  void CountResults(const std::vector<ConfigChange>& changes,
                    RaceCounts* counts) {
    const FleetConfig head = Head();
    for (size_t i = 0; i < changes.size(); ++i) {
      const SimOperator& it = *operators_[i];
      ASSERT_TRUE(it.done());
      const FieldEdit& edit = changes[i].edits.front();
      const bool present = GetFieldValue(head, edit.path) == edit.after;
      const PublishStatus status = it.result().status;
      ++counts->changes;
      counts->update_count += static_cast<int>(it.update_count());
      counts->accepted += status == PublishStatus::kAccepted ? 1 : 0;
      counts->conflicts += status == PublishStatus::kConflict ? 1 : 0;
      counts->unknown += status == PublishStatus::kUnknown ? 1 : 0;
      counts->unavailable += status == PublishStatus::kUnavailable ? 1 : 0;
      const bool says_applied = status == PublishStatus::kAccepted;
      const bool wrong = status != PublishStatus::kUnknown &&
                         (says_applied != present ||
                          CountLogRecords(changes[i].id) != (present ? 1 : 0));
      counts->wrong += wrong ? 1 : 0;
    }
  }
};

// Compares ConflictMode::kRebase with the baseline kReject. Guards against lost
// or duplicated changes of operators who change different fields.
TEST_F(RaceTest, RebaseLosesNoChangeOfRacingOperators) {
  RaceCounts rebase;
  RaceCounts reject;
  for (uint64_t seed = 1; seed <= 25; ++seed) {
    RunRace(seed, ConflictMode::kRebase, &rebase);
    RunRace(seed, ConflictMode::kReject, &reject);
  }
  for (const auto& [name, it] :
       {std::pair("rebase", rebase), std::pair("reject", reject)}) {
    fmt::print(
        "{}: changes={} accepted={} conflicts={} unknown={} unavailable={} "
        "updates={} wrong={}\n",
        name, it.changes, it.accepted, it.conflicts, it.unknown, it.unavailable,
        it.update_count, it.wrong);
  }
  EXPECT_EQ(rebase.wrong, 0);
  EXPECT_EQ(reject.wrong, 0);
  EXPECT_EQ(rebase.conflicts, 0);
  EXPECT_EQ(rebase.accepted + rebase.unknown + rebase.unavailable,
            rebase.changes);
  EXPECT_GT(rebase.accepted, reject.accepted);
}

}  // namespace
}  // namespace burdockhatch
