// Cuts a stream of server-sent events into whole events, so that a stream that
// breaks off can go on at another target after the last whole one.
#ifndef SRC_EVENT_STREAM_H_
#define SRC_EVENT_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockhatch {

class EventStream {
 public:
  // Longest event in bytes. A longer one makes the stream invalid.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  // Returns the bytes of the events that `data` completes. Events with an id at
  // or below the last one are left out: a resumed stream may repeat them.
  std::string Feed(std::string_view data);

  // What has arrived of an event that is not complete is dropped.
  void DropPartial() { partial_.clear(); }

  bool has_partial() const { return !partial_.empty(); }
  // An event is too long, or its id skips one.
  bool is_invalid() const { return invalid_; }
  std::optional<uint64_t> last_id() const { return last_id_; }
  void set_last_id(std::optional<uint64_t> id) { last_id_ = id; }

 private:
  // Whether the event goes to the caller.
  bool Accept(std::string_view event);

  std::string partial_;
  std::optional<uint64_t> last_id_;
  bool invalid_ = false;
};

}  // namespace burdockhatch

#endif  // SRC_EVENT_STREAM_H_
