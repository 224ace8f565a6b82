// Parser of a stream of server-sent events (WHATWG HTML, section 9.2).
#ifndef SRC_SERVER_SENT_EVENTS_H_
#define SRC_SERVER_SENT_EVENTS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace burdockhatch {

// Reports only the data of events; comments and other fields are ignored.
class ServerSentEventParser {
 public:
  // Maximum size of the current line plus the data of one event.
  static constexpr size_t kMaxEventBytes = 1 << 20;

  // Calls `on_event` with the data of each event that `text` completes. Returns
  // false, also on all later calls, once an event exceeds kMaxEventBytes.
  bool Feed(std::string_view text,
            const std::function<void(std::string_view data)>& on_event);

  size_t buffered_bytes() const { return line_.size() + data_.size(); }

 private:
  void OnLine(std::string_view line,
              const std::function<void(std::string_view data)>& on_event);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool after_return_ = false;  // The previous byte was a carriage return.
  bool failed_ = false;
};

}  // namespace burdockhatch

#endif  // SRC_SERVER_SENT_EVENTS_H_
