#include "src/event_stream.h"

#include <algorithm>
#include <charconv>

namespace burdockhatch {

namespace {

// Returns the position after the blank line that ends the first event, or npos
// if the event is incomplete.
size_t FindEventEnd(std::string_view text, size_t from) {
  const size_t lf = text.find("\n\n", from);
  const size_t crlf = text.find("\r\n\r\n", from);
  if (crlf < lf) {
    return crlf + 4;
  }
  return lf == std::string_view::npos ? lf : lf + 2;
}

std::optional<uint64_t> ParseEventId(std::string_view event) {
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

// Returns whether the event has an id or data.
bool HasOutput(std::string_view event) {
  while (!event.empty()) {
    const size_t end = event.find('\n');
    const std::string_view line = event.substr(0, end);
    event = end == std::string_view::npos ? "" : event.substr(end + 1);
    if (line.starts_with("data") || line.starts_with("id:")) {
      return true;
    }
  }
  return false;
}

}  // namespace

bool EventStream::AcceptEvent(std::string_view event) {
  const std::optional<uint64_t> id = ParseEventId(event);
  if (!id) {
    return true;
  }
  if (last_id_ && *id <= *last_id_) {
    return false;
  }
  if (last_id_ && *id > *last_id_ + 1) {
    is_invalid_ = true;
    return false;
  }
  last_id_ = id;
  return true;
}

std::string EventStream::Feed(std::string_view data) {
  // The delimiter may be split across two calls.
  const size_t known = partial_event_.size();
  partial_event_.append(data);
  std::string complete_events;
  size_t begin = 0;
  size_t search = known > 3 ? known - 3 : 0;
  while (!is_invalid_) {
    const size_t end = FindEventEnd(partial_event_, search);
    if (end == std::string::npos) {
      break;
    }
    const std::string_view event =
        std::string_view(partial_event_).substr(begin, end - begin);
    if (!HasOutput(event)) {
      held_events_.append(event);
    } else if (AcceptEvent(event)) {
      complete_events.append(TakeHeldEvents());
      complete_events.append(event);
    }
    begin = end;
    search = end;
  }
  partial_event_.erase(0, begin);
  is_invalid_ = is_invalid_ ||
                partial_event_.size() + held_events_.size() > kMaxEventBytes;
  return complete_events;
}

}  // namespace burdockhatch
