#include "src/lenient_json.h"

#include <string>

#include <gtest/gtest.h>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace burdockhatch {
namespace {

std::string Nested(size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

// Guards against a value that is read differently beside an unreadable one.
TEST(LenientJsonTest, ReadablePartsEqualThoseOfTheStrictParser) {
  for (const std::string& text :
       {std::string(R"({"a":[1,-2.5,"x,]\"}\\",null,true,{}],"a":{"b":[]}})"),
        std::string("\"text\""), std::string(" [ ] "), Nested(31)}) {
    const auto beside = ParseLenientJson("[NaN," + text + "]");
    ASSERT_TRUE(beside) << text;
    EXPECT_EQ(beside->unreadable_parts, 1u);
    EXPECT_TRUE(HasUnreadablePart(beside->value.at(0)));
    EXPECT_FALSE(HasUnreadablePart(beside->value.at(1)));
    EXPECT_EQ(beside->value.at(1), boost::json::parse(text)) << text;
  }
}

// Guards against a depth limit that depends on the neighbours of a value.
TEST(LenientJsonTest, DepthLimitIsThatOfTheStrictParser) {
  EXPECT_EQ(ParseLenientJson(Nested(32))->unreadable_parts, 0u);
  EXPECT_EQ(ParseLenientJson(Nested(33))->unreadable_parts, 1u);
  EXPECT_EQ(ParseLenientJson("[NaN," + Nested(32) + "]")->unreadable_parts, 2u);
  EXPECT_EQ(ParseLenientJson(Nested(1'000'000))->unreadable_parts, 1u);
}

TEST(LenientJsonTest, UnreadableMembersCostOnlyThemselves) {
  const auto json = ParseLenientJson(
      "{\"a\":1,\"\xff\":2,\"b\":\"\xff\",\"c\" 3,d:4,,\"e\":1e99999999999}");
  ASSERT_TRUE(json);
  EXPECT_EQ(json->unreadable_parts, 6u);
  EXPECT_EQ(json->value.at("a").as_int64(), 1);
  EXPECT_TRUE(HasUnreadablePart(json->value.at("b")));
  EXPECT_TRUE(HasUnreadablePart(json->value.at("e")));
}

// Guards against an unreadable member that a later one with its key hides.
TEST(LenientJsonTest, RepeatedKeyHidesNoUnreadableMember) {
  EXPECT_TRUE(HasUnreadablePart(ParseLenientJson(R"({"a":NaN,"a":1})")->value));
  EXPECT_TRUE(HasUnreadablePart(ParseLenientJson(R"({"a":1,"a":NaN})")->value));
}

TEST(LenientJsonTest, TextWithoutMatchingBracketsIsRejected) {
  for (const char* text :
       {"", "{", "[[]", "[]]", "[] []", "[\"]", "[\"\\", "NaN", "{]"}) {
    EXPECT_FALSE(ParseLenientJson(text)) << text;
  }
}

}  // namespace
}  // namespace burdockhatch
