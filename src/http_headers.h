// HTTP headers of a forwarded request or response.
#ifndef SRC_HTTP_HEADERS_H_
#define SRC_HTTP_HEADERS_H_

#include <string>
#include <string_view>
#include <vector>

namespace burdockhatch {

struct Header {
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

using HeaderList = std::vector<Header>;

// Compares header names, ignoring case.
bool IsSameHeaderName(std::string_view a, std::string_view b);

// Returns the value of the first header named `name`, or null if there is none.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

// Returns the headers to forward: all except hop-by-hop headers (RFC 9110,
// section 7.6.1), those named by Connection, and those that frame the body.
HeaderList EndToEndHeaders(const HeaderList& headers);

// Appends "<name>: <value>" lines.
void AppendHeaders(const HeaderList& headers, std::string* text);

}  // namespace burdockhatch

#endif  // SRC_HTTP_HEADERS_H_
