// HTTP headers of a forwarded request or response.
#ifndef SRC_HTTP_HEADERS_H_
#define SRC_HTTP_HEADERS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/units.h"

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

// Returns the values of all headers of this name. One header may hold several,
// separated by commas.
std::vector<std::string_view> HeaderValues(const HeaderList& headers,
                                           std::string_view name);

// Returns nullopt unless the text is a finite decimal number from 0 on. Larger
// numbers than `most` count as `most`.
std::optional<double> ParseDecimal(std::string_view text, double most);

// Returns the seconds of a Retry-After header, which may have decimals, as a
// duration of 24 hours at most; 0 if the text is no such number.
Duration ParseRetryAfter(std::string_view text);

// Responses with a status of 1xx that may precede the final response.
inline constexpr int kMaxInterimResponses = 8;

// Whether the final response follows. 101 answers a request for another
// protocol, which is never sent.
constexpr bool IsInterimStatus(uint32_t status) {
  return status >= 100 && status < 200 && status != 101;
}

// Whether a response with this status may answer a request.
constexpr bool IsFinalStatus(uint32_t status) {
  return status >= 200 && status < 600;
}

// Appends "<name>: <value>" lines.
void AppendHeaders(const HeaderList& headers, std::string* text);

}  // namespace burdockhatch

#endif  // SRC_HTTP_HEADERS_H_
