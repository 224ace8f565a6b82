// What an entry reads from, and adds to, the headers of requests that it
// forwards. A platform implements it with the names that it uses.
#ifndef SRC_FORWARD_PROTOCOL_H_
#define SRC_FORWARD_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/http_headers.h"
#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch {

struct CallerFields {
  std::string attempt_id;  // Names this try of the caller; answers repeat it.
  std::string key;         // Empty when the caller showed none.
  std::optional<Duration> time_left;
  Tokens prompt;
  Tokens max_output;
  std::optional<Tokens> expected_output;  // The caller's estimate.
  std::optional<uint64_t> last_event_id;  // The caller resumes a stream.
};

// A target that reads a part of the prompt.
struct ForwardHelper {
  std::string address;      // "ip:port".
  std::string reservation;  // Memory that it keeps for it; may be empty.
};

struct ForwardFields {
  TargetId target;
  Duration time_left{0};
  ClientAccountId account;  // Empty: the route needs no key.
  std::vector<ForwardHelper> helpers;
  std::optional<uint64_t> last_event_id;
};

struct TargetFields {
  std::string attempt_id;
  bool is_signed = false;        // A target wrote the answer.
  bool not_executed = false;     // The request did not run there.
  bool is_wrong_target = false;  // Another target has the address.
  std::string failed_helper;     // "ip:port" of the helper that failed.
};

class ForwardProtocol {
 public:
  virtual ~ForwardProtocol() = default;

  virtual CallerFields ParseCallerFields(const HeaderList& headers) const = 0;

  // The headers to send, from the caller's end-to-end headers.
  virtual HeaderList BuildForwardHeaders(const HeaderList& caller,
                                         const ForwardFields& fields) const = 0;

  virtual TargetFields ParseTargetFields(uint32_t status,
                                         const HeaderList& headers) const = 0;

  // The headers of an answer that no target wrote.
  virtual HeaderList EntryResponseHeaders(const CallerFields& caller) const = 0;
};

}  // namespace burdockhatch

#endif  // SRC_FORWARD_PROTOCOL_H_
