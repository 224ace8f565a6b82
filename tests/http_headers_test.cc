#include "src/http_headers.h"

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

// Guards against forwarding headers that apply to a single connection.
TEST(HttpHeadersTest, DropsHopByHopHeaders) {
  const HeaderList headers = {{"Host", "a"},
                              {"Connection", "close, X-Hop"},
                              {"x-hop", "1"},
                              {"Keep-Alive", "timeout=5"},
                              {"Transfer-Encoding", "chunked"},
                              {"Content-Length", "7"},
                              {"Content-Type", "text/plain"}};
  EXPECT_EQ(EndToEndHeaders(headers),
            (HeaderList{{"Host", "a"}, {"Content-Type", "text/plain"}}));
}

TEST(HttpHeadersTest, HeaderNamesIgnoreCase) {
  const HeaderList headers = {{"X-Name", "value"}};
  ASSERT_NE(FindHeader(headers, "x-nAME"), nullptr);
  EXPECT_EQ(*FindHeader(headers, "x-nAME"), "value");
  EXPECT_EQ(FindHeader(headers, "x-names"), nullptr);
}

}  // namespace
}  // namespace burdockhatch
