// Splits a stream of server-sent events into complete events, so that a broken
// stream can resume at another target after the last complete event.
#ifndef SRC_EVENT_STREAM_H_
#define SRC_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace burdockhatch {

class EventStream {
 public:
  // A longer event makes the stream invalid.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  // Appends `data` and returns the events that it completes. Omits events whose
  // id is at or below the last one, because a resumed stream may repeat them.
  // An event without output, such as a comment, is held back and returned
  // before the next one with output, so that a result that is not empty shows
  // progress of the answer.
  std::string Feed(std::string_view data);

  // Returns the held events at the end of the stream.
  std::string TakeHeldEvents() { return std::exchange(held_events_, {}); }

  // Discards the received part of an incomplete event, and held events.
  void DropPartialEvent() {
    partial_event_.clear();
    held_events_.clear();
  }

  size_t buffered_bytes() const {
    return partial_event_.size() + held_events_.size();
  }
  bool has_partial_event() const { return !partial_event_.empty(); }
  // True after an event that is too long or whose id skips at least one, or
  // after more than kMaxEventBytes of events without output.
  bool is_invalid() const { return is_invalid_; }
  std::optional<uint64_t> last_id() const { return last_id_; }
  void set_last_id(std::optional<uint64_t> id) { last_id_ = id; }

 private:
  // Checks the id of a complete event. Returns whether to forward the event.
  bool AcceptEvent(std::string_view event);

  std::string partial_event_;
  std::string held_events_;  // Complete events without output.
  std::optional<uint64_t> last_id_;
  bool is_invalid_ = false;
};

}  // namespace burdockhatch

#endif  // SRC_EVENT_STREAM_H_
