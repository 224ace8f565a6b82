// Headers that an entry reads from requests and responses and adds to forwarded
// requests. A platform implements this interface with its own header names.
#ifndef SRC_FORWARD_PROTOCOL_H_
#define SRC_FORWARD_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/http_headers.h"
#include "src/ids.h"
#include "src/priority.h"
#include "src/target_signals.h"
#include "src/units.h"

namespace burdockhatch {

struct CallerFields {
  // Identifies the caller's attempt. The response carries it too.
  std::string attempt_id;
  std::string key;  // API key; empty if absent.
  std::optional<Duration> time_left;
  Tokens prompt;
  Tokens max_output;
  std::optional<Tokens> expected_output;  // As estimated by the caller.
  std::optional<uint64_t> last_event_id;  // Set when a stream resumes.
  std::string model;                      // Empty if the caller names none.
  // Ids of the prompt's parts that other prompts may share, in order.
  std::vector<std::string> shared_parts;
  // Of the ids of all parts, in order. The same when the caller sends the
  // request again, and for no other request.
  std::optional<uint64_t> prompt_hash;
};
// Further parts of a prompt are ignored.
inline constexpr size_t kMaxSharedParts = 32;

// A target that prefills a part of the prompt.
struct ForwardHelper {
  std::string address;  // "ip:port".
  // Id of the reservation of this helper's memory; empty if there is none.
  std::string reservation;
};

struct ForwardFields {
  TargetId target;
  Duration time_left{0};
  ClientAccountId account;  // Empty if the route needs no API key.
  std::vector<ForwardHelper> helpers;
  std::optional<uint64_t> last_event_id;
  // Set only for engines of services whose requests differ in priority.
  std::optional<Priority> priority;
};

struct TargetFields {
  std::string attempt_id;
  bool is_signed = false;        // The response carries a target's signature.
  bool not_executed = false;     // The target did not execute the request.
  bool is_wrong_target = false;  // Another target now has the address.
  std::string failed_helper;     // "ip:port" of the helper that failed.
  TargetSignals signals;         // What the target says of itself.
};

class ForwardProtocol {
 public:
  virtual ~ForwardProtocol() = default;

  virtual CallerFields ParseCallerFields(const HeaderList& headers) const = 0;

  // Returns the headers of the forwarded request. `caller` holds the caller's
  // end-to-end headers.
  virtual HeaderList BuildForwardHeaders(const HeaderList& caller,
                                         const ForwardFields& fields) const = 0;

  virtual TargetFields ParseTargetFields(uint32_t status,
                                         const HeaderList& headers) const = 0;

  // Returns the headers of a response that the entry itself generates.
  virtual HeaderList EntryResponseHeaders(const CallerFields& caller) const = 0;
};

}  // namespace burdockhatch

#endif  // SRC_FORWARD_PROTOCOL_H_
