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

// Guards against work for a target after it has said that it leaves.
TEST(FleetDirectoryTest, DrainingTargetIsNotUsable) {
  FleetDirectory directory;
  directory.Put(Record("t1"), 1, kStart);
  EXPECT_EQ(UsableCount(directory, kStart), 1u);
  directory.Put(Record("t1", true), 2, kStart);
  EXPECT_EQ(UsableCount(directory, kStart), 0u);
}

// Guards against work for a target that left without saying so, found by
// ktu-burdock trouble-1 --seed 724825132074: removals counted as lapsed for
// three seconds after the store was back.
TEST(FleetDirectoryTest, RemovedTargetIsGoneAtOnce) {
  FleetDirectory directory;
  directory.Put(Record("t1"), 1, kStart);
  directory.Remove(TargetId("t1"), 2, false, kStart);
  EXPECT_EQ(UsableCount(directory, kStart), 0u);
}

// Guards against an entry without any target after the list has lapsed.
TEST(FleetDirectoryTest, LapsedTargetStaysForTheGraceOnly) {
  FleetDirectory directory;
  TargetRecord other = Record("t2");
  other.address = "10.0.0.2:80";
  directory.Put(Record("t1"), 1, kStart);
  directory.Put(other, 1, kStart);
  directory.Replace({}, 2, true, kStart);
  EXPECT_EQ(UsableCount(directory, kStart + milliseconds(1'900)), 2u);
  directory.Put(Record("t1"), 3, kStart + milliseconds(1'000));
  const Time later = kStart + kLapsedGrace;
  directory.Tick(later);
  EXPECT_EQ(UsableCount(directory, later), 1u);
  EXPECT_EQ(directory.entries().size(), 1u);
}

// Guards against a grace for a target that was leaving when the list went away.
TEST(FleetDirectoryTest, DrainingTargetHasNoGrace) {
  FleetDirectory directory;
  directory.Put(Record("t1", true), 1, kStart);
  directory.Replace({}, 2, true, kStart);
  EXPECT_TRUE(directory.entries().empty());
}

// Guards against work in a data centre that operators have withdrawn.
TEST(FleetDirectoryTest, WithdrawnDataCentreGetsNothing) {
  FleetDirectory directory;
  directory.Put(Record("t1"), 1, kStart);
  directory.SetWithdrawn({DataCentreId("ga-north-a")});
  EXPECT_EQ(UsableCount(directory, kStart), 0u);
  directory.SetWithdrawn({});
  EXPECT_EQ(UsableCount(directory, kStart), 1u);
}

// Guards against a former target that is tried while its line lapses, found by
// ktu-burdock-grown trouble-1: 855 requests met another target at the address
// after a power loss.
TEST(FleetDirectoryTest, LastStartedTargetHasTheAddress) {
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
  // A list comes in the order of names, not of time.
  FleetDirectory listed;
  listed.Replace({latter, former}, 2, false, kStart);
  ASSERT_EQ(UsableCount(listed, kStart), 1u);
  EXPECT_EQ(listed.UsableTargets(ServiceId("llm"), kStart)[0]->record.target,
            latter.target);
}

// Guards against an address that another target has taken over.
TEST(FleetDirectoryTest, ReplacedTargetReturnsOnlyAfterARestart) {
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
