#include "src/server_sent_events.h"

namespace burdockhatch {

bool ServerSentEventParser::Feed(
    std::string_view text,
    const std::function<void(std::string_view data)>& on_event) {
  while (!text.empty() && !failed_) {
    // Lines end with LF, CR or CR LF; CR and LF can arrive in separate parts.
    if (after_return_ && text.front() == '\n') {
      text.remove_prefix(1);
      after_return_ = false;
      continue;
    }
    after_return_ = false;
    const size_t end = text.find_first_of("\r\n");
    line_.append(text.substr(0, end));
    failed_ = line_.size() + data_.size() > kMaxEventBytes;
    if (failed_ || end == std::string_view::npos) {
      break;
    }
    after_return_ = text[end] == '\r';
    text.remove_prefix(end + 1);
    OnLine(line_, on_event);
    line_.clear();
  }
  return !failed_;
}

void ServerSentEventParser::OnLine(
    std::string_view line,
    const std::function<void(std::string_view data)>& on_event) {
  constexpr std::string_view kField = "data";
  if (line.empty()) {
    if (has_data_) {
      on_event(data_);
    }
    data_.clear();
    has_data_ = false;
    return;
  }
  if (line.substr(0, line.find(':')) != kField) {
    return;
  }
  line.remove_prefix(kField.size());
  if (!line.empty()) {
    line.remove_prefix(1);
  }
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (has_data_) {
    data_ += '\n';
  }
  data_ += line;
  has_data_ = true;
}

}  // namespace burdockhatch
