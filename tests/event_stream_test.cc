#include "src/event_stream.h"

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

// Guards against forwarding a partial event, which a resumed stream repeats.
TEST(EventStreamTest, ReturnsCompleteEventsOnly) {
  EventStream stream;
  EXPECT_EQ(stream.Feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(stream.Feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_TRUE(stream.has_partial_event());
  EXPECT_EQ(stream.last_id(), 1u);
  EXPECT_EQ(stream.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_FALSE(stream.has_partial_event());
}

// Guards against missing a delimiter that is split across calls.
TEST(EventStreamTest, ResultDoesNotDependOnChunking) {
  const std::string text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n";
  for (size_t size = 1; size <= text.size(); ++size) {
    EventStream stream;
    std::string whole;
    for (size_t i = 0; i < text.size(); i += size) {
      whole += stream.Feed(text.substr(i, size));
    }
    EXPECT_EQ(whole, text) << size;
  }
}

// Guards against forwarding an event twice after a resume.
TEST(EventStreamTest, DropsEventsRepeatedAfterResume) {
  EventStream stream;
  stream.Feed("id: 1\n\nid: 2\n\nid: 3\nda");
  stream.DropPartialEvent();
  EXPECT_EQ(stream.Feed("id: 2\n\nid: 3\n\n"), "id: 3\n\n");
}

// Guards against continuing a stream after a missing event.
TEST(EventStreamTest, SkippedEventMakesTheStreamInvalid) {
  EventStream stream;
  stream.Feed("id: 1\n\n");
  EXPECT_EQ(stream.Feed("id: 3\n\n"), "");
  EXPECT_TRUE(stream.is_invalid());
}

// Guards against an event without an end that exhausts the entry's memory.
TEST(EventStreamTest, OverlongEventIsInvalid) {
  EventStream stream;
  stream.Feed(std::string(EventStream::kMaxEventBytes + 1, 'x'));
  EXPECT_TRUE(stream.is_invalid());
}

// Guards against comments that count as output, and against their loss.
TEST(EventStreamTest, EventsWithoutOutputAreHeld) {
  EventStream stream;
  EXPECT_EQ(stream.Feed(": a\n\nevent: ping\n\n"), "");
  EXPECT_EQ(stream.Feed("id: 1\ndata: x\n\n: b\n\n"),
            ": a\n\nevent: ping\n\nid: 1\ndata: x\n\n");
  EXPECT_EQ(stream.TakeHeldEvents(), ": b\n\n");
}

// Guards against comments without end that fill the memory.
TEST(EventStreamTest, EndlessCommentsAreInvalid) {
  EventStream stream;
  const std::string comment = ": " + std::string(1'000, 'x') + "\n\n";
  for (int i = 0; i < 2'000 && !stream.is_invalid(); ++i) {
    EXPECT_EQ(stream.Feed(comment), "");
  }
  EXPECT_TRUE(stream.is_invalid());
}

}  // namespace
}  // namespace burdockhatch
