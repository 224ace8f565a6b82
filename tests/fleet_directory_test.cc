#include "src/fleet_directory.h"

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;

constexpr Time kStart{std::chrono::seconds(100)};

TargetRecord Record(std::string id, bool draining = false) {
  TargetRecord record;
  record.target = TargetId(std::move(id));
  record.service = ServiceId("llm");
  record.address = "10.0.0.1:80";
  record.data_centre = DataCentreId("ga-north-a");
  record.draining = draining;
  return record;
}

size_t UsableCount(const FleetDirectory& directory, Time now) {
  return directory.UsableTargets(ServiceId("llm"), now).size();
}

// Guards against requests to a target that has announced that it drains.
TEST(FleetDirectoryTest, DrainingTargetIsNotUsable) {
  FleetDirectory directory;
  directory.Put(Record("t1"), 1, kStart);
  EXPECT_EQ(UsableCount(directory, kStart), 1u);
  directory.Put(Record("t1", true), 2, kStart);
  EXPECT_EQ(UsableCount(directory, kStart), 0u);
}

// Guards against requests to a target that left without draining: removals were
// treated as expired items for three seconds after an outage of the store
// (found by ktu-burdock trouble-1 --seed 724825132074).
TEST(FleetDirectoryTest, RemovedTargetIsUnusableImmediately) {
  FleetDirectory directory;
  directory.Put(Record("t1"), 1, kStart);
  directory.Remove(TargetId("t1"), 2, false, kStart);
  EXPECT_EQ(UsableCount(directory, kStart), 0u);
}

// Guards against an entry that loses all targets when their list items expire
// during an outage of the list.
TEST(FleetDirectoryTest, ExpiredTargetStaysUsableDuringTheGrace) {
  FleetDirectory directory;
  TargetRecord other = Record("t2");
  other.address = "10.0.0.2:80";
  directory.Put(Record("t1"), 1, kStart);
  directory.Put(other, 1, kStart);
  directory.Replace({}, 2, true, kStart);
  EXPECT_EQ(UsableCount(directory, kStart + milliseconds(1'900)), 2u);
  directory.Put(Record("t1"), 3, kStart + milliseconds(1'000));
  const Time later = kStart + kMissingTargetGrace;
  directory.DropExpiredTargets(later);
  EXPECT_EQ(UsableCount(directory, later), 1u);
  EXPECT_EQ(directory.targets().size(), 1u);
}

// Guards against a grace period for a target that was draining when the list
// became unavailable.
TEST(FleetDirectoryTest, DrainingTargetHasNoGrace) {
  FleetDirectory directory;
  directory.Put(Record("t1", true), 1, kStart);
  directory.Replace({}, 2, true, kStart);
  EXPECT_TRUE(directory.targets().empty());
}

// Guards against requests to a data centre that operators have withdrawn.
TEST(FleetDirectoryTest, TargetsOfWithdrawnDataCentreAreNotUsable) {
  FleetDirectory directory;
  directory.Put(Record("t1"), 1, kStart);
  directory.SetWithdrawn({DataCentreId("ga-north-a")});
  EXPECT_EQ(UsableCount(directory, kStart), 0u);
  directory.SetWithdrawn({});
  EXPECT_EQ(UsableCount(directory, kStart), 1u);
}

// Guards against requests to a former target whose list item has not expired
// yet: after a power loss 855 requests reached another target at the same
// address (found by ktu-burdock-grown trouble-1).
TEST(FleetDirectoryTest, LastStartedTargetOwnsTheAddress) {
  FleetDirectory directory;
  TargetRecord former = Record("t1");
  former.started_at = 5;
  TargetRecord latter = Record("t2");
  latter.started_at = 6;
  directory.Put(former, 1, kStart);
  directory.Put(latter, 2, kStart);
  ASSERT_EQ(UsableCount(directory, kStart), 1u);
  EXPECT_EQ(directory.UsableTargets(ServiceId("llm"), kStart)[0]->record.target,
            latter.target);
  // A list is ordered by name, not by start time.
  FleetDirectory listed;
  listed.Replace({latter, former}, 2, false, kStart);
  ASSERT_EQ(UsableCount(listed, kStart), 1u);
  EXPECT_EQ(listed.UsableTargets(ServiceId("llm"), kStart)[0]->record.target,
            latter.target);
}

// Guards against requests to a target whose address another target has taken
// over.
TEST(FleetDirectoryTest, ReplacedTargetIsUsableAgainOnlyAfterARestart) {
  FleetDirectory directory;
  TargetRecord record = Record("t1");
  record.started_at = 5;
  directory.Put(record, 1, kStart);
  directory.MarkReplaced(TargetId("t1"));
  EXPECT_EQ(UsableCount(directory, kStart), 0u);
  directory.Put(record, 2, kStart);
  EXPECT_EQ(UsableCount(directory, kStart), 0u);
  record.started_at = 6;
  directory.Put(record, 3, kStart);
  EXPECT_EQ(UsableCount(directory, kStart), 1u);
}

}  // namespace
}  // namespace burdockhatch
