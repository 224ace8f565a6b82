#include "src/event_stream.h"

#include <algorithm>
#include <charconv>

namespace burdockhatch {

namespace {

// The position after the blank line that ends the first event; npos when the
// event is not complete.
size_t EndOfEvent(std::string_view text, size_t from) {
  const size_t lf = text.find("\n\n", from);
  const size_t crlf = text.find("\r\n\r\n", from);
  if (crlf < lf) {
    return crlf + 4;
  }
  return lf == std::string_view::npos ? lf : lf + 2;
}

std::optional<uint64_t> IdOf(std::string_view event) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? "" : event.substr(end + 1);
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    line.remove_prefix(line.starts_with(' ') ? 1 : 0);
    uint64_t id = 0;
    const auto [rest, ec] =
        std::from_chars(line.data(), line.data() + line.size(), id);
    if (ec == std::errc()) {
      return id;
    }
  }
  return std::nullopt;
}

}  // namespace

bool EventStream::Accept(std::string_view event) {
  const std::optional<uint64_t> id = IdOf(event);
  if (!id) {
    return true;
  }
  if (last_id_ && *id <= *last_id_) {
    return false;
  }
  if (last_id_ && *id > *last_id_ + 1) {
    invalid_ = true;
    return false;
  }
  last_id_ = id;
  return true;
}

std::string EventStream::Feed(std::string_view data) {
  // The end of an event may lie across two pieces.
  const size_t known = partial_.size();
  partial_.append(data);
  std::string whole;
  size_t begin = 0;
  size_t search = known > 3 ? known - 3 : 0;
  while (!invalid_) {
    const size_t end = EndOfEvent(partial_, search);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event =
        std::string_view(partial_).substr(begin, end - begin);
    if (Accept(event)) {
      whole.append(event);
    }
    begin = end;
    search = end;
  }
  partial_.erase(0, begin);
  invalid_ = invalid_ || partial_.size() > kMaxEventBytes;
  return whole;
}

}  // namespace burdockhatch
