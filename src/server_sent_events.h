// Parser of a stream of server-sent events (WHATWG HTML, section 9.2).
#ifndef SRC_SERVER_SENT_EVENTS_H_
#define SRC_SERVER_SENT_EVENTS_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace burdockhatch {

// Only the data of events is kept; comments and other fields are skipped.
class ServerSentEventParser {
 public:
  // Longest line and longest data of one event, in bytes.
  static constexpr size_t kMaxEventBytes = 16 << 20;

  // Calls `on_event` with the data of each event that `text` completes. False
  // when an event is longer than kMaxEventBytes; the parser then stays failed.
  bool Feed(std::string_view text,
            const std::function<void(std::string_view data)>& on_event);

 private:
  void OnLine(std::string_view line,
              const std::function<void(std::string_view data)>& on_event);

  std::string line_;
  std::string data_;
  bool has_data_ = false;
  bool after_return_ = false;  // The last byte was a carriage return.
  bool failed_ = false;
};

}  // namespace burdockhatch

#endif  // SRC_SERVER_SENT_EVENTS_H_
