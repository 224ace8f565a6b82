#include "src/engine_json.h"

#include <string>

#include <gtest/gtest.h>

#include "src/server_sent_events.h"

namespace burdockhatch {
namespace {

std::string Events(const std::vector<std::string>& parts) {
  ServerSentEventParser parser;
  std::string events;
  for (const std::string& part : parts) {
    parser.Feed(part, [&](std::string_view data) {
      events += "[" + std::string(data) + "]";
    });
  }
  return events;
}

// Guards against events that are lost or split at network read boundaries.
TEST(ServerSentEventParserTest, ResultIsIndependentOfReadBoundaries) {
  const std::string text =
      ": comment\r\ndata: one\r\n\r\nevent: x\ndata:two\ndata: lines\n\n"
      "data\rdata: three\r\r\ndata: unfinished\n";
  const std::string whole = Events({text});
  EXPECT_EQ(whole, "[one][two\nlines][\nthree]");
  for (size_t i = 0; i <= text.size(); ++i) {
    EXPECT_EQ(Events({text.substr(0, i), text.substr(i)}), whole) << i;
  }
}

// Guards against an engine that exhausts the memory of its agent.
TEST(ServerSentEventParserTest, OversizedEventFailsPermanently) {
  ServerSentEventParser parser;
  int count = 0;
  const auto on_event = [&](std::string_view) { ++count; };
  const std::string part(1 << 20, 'x');
  bool valid = true;
  for (size_t fed = 0; fed <= ServerSentEventParser::kMaxEventBytes;
       fed += part.size()) {
    valid = parser.Feed(part, on_event);
  }
  EXPECT_FALSE(valid);
  EXPECT_FALSE(parser.Feed("\n\ndata: x\n\n", on_event));
  EXPECT_EQ(count, 0);
}

TEST(EngineJsonTest, ParsesChunksAndEnds) {
  const auto chunk =
      ParseStreamEvent(R"({"index":3,"tokens":2,"data":"w00001 w00002 "})");
  ASSERT_TRUE(chunk);
  EXPECT_EQ(std::get<StreamChunk>(*chunk).index, 3u);
  EXPECT_EQ(std::get<StreamChunk>(*chunk).tokens, 2u);
  EXPECT_EQ(std::get<StreamChunk>(*chunk).data, "w00001 w00002 ");
  const auto end = ParseStreamEvent(R"({"end":"complete","chunk_count":4})");
  ASSERT_TRUE(end);
  EXPECT_EQ(std::get<StreamEndEvent>(*end).end, StreamEnd::kComplete);
  EXPECT_EQ(std::get<StreamEndEvent>(*end).chunk_count, 4u);
}

// Guards against a truncated end event that marks an answer as complete, and
// against integer overflow.
TEST(EngineJsonTest, RejectsInvalidEvents) {
  for (const std::string text :
       {"", "{", "null", "[]", "{}", R"({"end":"complete"})",
        R"({"end":7,"chunk_count":1})",
        R"({"end":"complete","chunk_count":-1})",
        R"({"end":"complete","chunk_count":4294967296})",
        R"({"index":-1,"tokens":1,"data":""})",
        R"({"index":1.5,"tokens":1,"data":""})",
        R"({"index":1,"tokens":1,"data":5})", R"({"index":1,"tokens":1})"}) {
    EXPECT_FALSE(ParseStreamEvent(text)) << text;
  }
}

TEST(EngineJsonTest, ParsesHoldingsLoadsAndCacheEvents) {
  const auto list = ParseEngineHoldings(
      R"({"engine":7,"holdings":[{"stream":"s","memory":5,"is_cache":true,)"
      R"("running":false}]})");
  ASSERT_TRUE(list);
  EXPECT_EQ(list->engine, EngineIncarnation(7));
  ASSERT_EQ(list->holdings.size(), 1u);
  EXPECT_EQ(list->holdings[0].stream, StreamId("s"));
  EXPECT_EQ(list->holdings[0].memory, Tokens(5));
  EXPECT_TRUE(list->holdings[0].is_cache);
  const auto events =
      ParseCacheEvents(R"({"events":[{"sequence":9,"added":true,)"
                       R"("prefix_hash":18446744073709551615}]})");
  ASSERT_TRUE(events);
  EXPECT_EQ(events->at(0).prefix_hash, UINT64_MAX);
  const auto load = ParseEngineLoad(
      R"({"engine":7,"uptime_us":8,"memory_total":9,"memory_used":10,)"
      R"("completed":11,"prefix_lookups":12,"prefix_hits":13,"models":["m"]})");
  ASSERT_TRUE(load);
  EXPECT_EQ(load->uptime, Duration(8));
  EXPECT_EQ(load->models, std::vector<ModelId>{ModelId("m")});
}

// Guards against reading a malformed list as an empty one: the agent would
// release the reservations of streams that still hold memory.
TEST(EngineJsonTest, RejectsInvalidHoldingsAndLoads) {
  for (
      const std::string text :
      {R"({"engine":7})", R"({"holdings":[]})",
       R"({"engine":7,"holdings":[{}]})", R"({"engine":7,"holdings":[1]})",
       R"({"engine":-7,"holdings":[]})",
       R"({"engine":7,"holdings":[{"stream":"s","memory":-5,"is_cache":false}]})"}) {
    EXPECT_FALSE(ParseEngineHoldings(text)) << text;
  }
  EXPECT_FALSE(ParseEngineLoad(R"({"engine":7,"models":[]})"));
  EXPECT_FALSE(ParseCacheEvents(R"({"events":[{"sequence":1}]})"));
}

}  // namespace
}  // namespace burdockhatch
