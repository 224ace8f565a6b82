#include "src/http_headers.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <cmath>

namespace burdockhatch {

namespace {

constexpr std::array<std::string_view, 11> kNonForwardedHeaders = {
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
    "proxy-authenticate",
    "proxy-authorization"};

constexpr double kMaxRetryAfterS = 24 * 3'600;

std::string_view Trim(std::string_view text) {
  const size_t begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return "";
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

std::vector<std::string_view> HeadersNamedByConnection(
    const HeaderList& headers) {
  std::vector<std::string_view> names;
  for (const Header& it : headers) {
    if (!IsSameHeaderName(it.name, "connection")) {
      continue;
    }
    std::string_view rest = it.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      names.push_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  return names;
}

}  // namespace

bool IsSameHeaderName(std::string_view a, std::string_view b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](unsigned char x, unsigned char y) {
                      return std::tolower(x) == std::tolower(y);
                    });
}

const std::string* FindHeader(const HeaderList& headers,
                              std::string_view name) {
  const auto it = std::find_if(headers.begin(), headers.end(),
                               [name](const Header& header) {
                                 return IsSameHeaderName(header.name, name);
                               });
  return it == headers.end() ? nullptr : &it->value;
}

HeaderList EndToEndHeaders(const HeaderList& headers) {
  const std::vector<std::string_view> named = HeadersNamedByConnection(headers);
  HeaderList end_to_end_headers;
  for (const Header& it : headers) {
    const auto is_same_name = [&](std::string_view name) {
      return IsSameHeaderName(it.name, name);
    };
    if (std::none_of(kNonForwardedHeaders.begin(), kNonForwardedHeaders.end(),
                     is_same_name) &&
        std::none_of(named.begin(), named.end(), is_same_name)) {
      end_to_end_headers.push_back(it);
    }
  }
  return end_to_end_headers;
}

void AppendHeaders(const HeaderList& headers, std::string* text) {
  for (const Header& it : headers) {
    text->append(it.name).append(": ").append(it.value).append("\r\n");
  }
}

std::vector<std::string_view> HeaderValues(const HeaderList& headers,
                                           std::string_view name) {
  std::vector<std::string_view> values;
  for (const Header& it : headers) {
    if (!IsSameHeaderName(it.name, name)) {
      continue;
    }
    std::string_view text = it.value;
    for (size_t comma = text.find(','); comma != std::string_view::npos;
         comma = text.find(',')) {
      values.push_back(Trim(text.substr(0, comma)));
      text.remove_prefix(comma + 1);
    }
    values.push_back(Trim(text));
  }
  return values;
}

std::optional<double> ParseDecimal(std::string_view text, double most) {
  double number = 0;
  const auto [rest, ec] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (ec != std::errc() || rest != text.data() + text.size() ||
      !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  return std::min(number, most);
}

Duration ParseRetryAfter(std::string_view text) {
  const double seconds = ParseDecimal(Trim(text), kMaxRetryAfterS).value_or(0);
  return Duration(static_cast<int64_t>(std::ceil(seconds * 1e6)));
}

}  // namespace burdockhatch
