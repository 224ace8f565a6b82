#include "src/event_stream.h"

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

// Guards against half an event that a resumed stream would repeat.
TEST(EventStreamTest, PassesOnWholeEventsOnly) {
  EventStream stream;
  EXPECT_EQ(stream.Feed("id: 1\ndata: a\n"), "");
  EXPECT_EQ(stream.Feed("\nid: 2\nda"), "id: 1\ndata: a\n\n");
  EXPECT_TRUE(stream.has_partial());
  EXPECT_EQ(stream.last_id(), 1u);
  EXPECT_EQ(stream.Feed("ta: b\n\n"), "id: 2\ndata: b\n\n");
  EXPECT_FALSE(stream.has_partial());
}

// Guards against the end of an event that lies across many pieces.
TEST(EventStreamTest, AnyDivisionGivesTheSameEvents) {
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

// Guards against an event that the caller gets twice after a resume.
TEST(EventStreamTest, DropsWhatAResumedStreamRepeats) {
  EventStream stream;
  stream.Feed("id: 1\n\nid: 2\n\nid: 3\nda");
  stream.DropPartial();
  EXPECT_EQ(stream.Feed("id: 2\n\nid: 3\n\n"), "id: 3\n\n");
}

// Guards against a stream that goes on behind a missing event.
TEST(EventStreamTest, SkippedEventMakesTheStreamInvalid) {
  EventStream stream;
  stream.Feed("id: 1\n\n");
  EXPECT_EQ(stream.Feed("id: 3\n\n"), "");
  EXPECT_TRUE(stream.is_invalid());
}

// Guards against an answer that fills the memory of the entry.
TEST(EventStreamTest, EndlessEventIsInvalid) {
  EventStream stream;
  stream.Feed(std::string(EventStream::kMaxEventBytes + 1, 'x'));
  EXPECT_TRUE(stream.is_invalid());
}

}  // namespace
}  // namespace burdockhatch
