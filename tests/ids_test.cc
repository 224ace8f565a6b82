#include "src/ids.h"

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

// Guards against an agent that cannot map an engine's streams back to attempts
// after a restart.
TEST(IdsTest, AttemptIdRoundTripsThroughStreamId) {
  const AttemptId attempt{{0x0123456789abcdef, 42}, AttemptNumber(7)};
  EXPECT_EQ(ParseAttemptId(StreamIdOf(attempt).value()), attempt);
}

// Guards against two text forms of one attempt, and against accepting ids of
// other systems.
TEST(IdsTest, ParseAttemptIdRejectsNonCanonicalText) {
  const std::string request(32, 'a');
  for (const std::string& text :
       {std::string(), std::string("x"), request, request + "-", request + "-0",
        request + "-01", request + "-1x", request + "-99999999999",
        std::string(32, 'A') + "-1", request + "a-1"}) {
    EXPECT_EQ(ParseAttemptId(text), std::nullopt) << text;
  }
}

}  // namespace
}  // namespace burdockhatch
