// Headers of a request or an answer that is passed on.
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

// Compares names of headers, which ignore case.
bool IsSameHeaderName(std::string_view a, std::string_view b);

// The value of the first header of that name; null when there is none.
const std::string* FindHeader(const HeaderList& headers, std::string_view name);

// Without the headers that concern one connection only (RFC 9110, section
// 7.6.1), those that Connection names, and those that frame the body.
HeaderList EndToEndHeaders(const HeaderList& headers);

// Appends "<name>: <value>" lines.
void AppendHeaders(const HeaderList& headers, std::string* text);

}  // namespace burdockhatch

#endif  // SRC_HTTP_HEADERS_H_
