// Interface through which an agent calls a plain service (not a model engine).
#ifndef SRC_PLAIN_SERVICE_H_
#define SRC_PLAIN_SERVICE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "src/ids.h"
#include "src/units.h"

namespace burdockhatch {

struct ServiceRequest {
  std::string method;
  std::string path;
  std::string body;
  std::optional<IdempotencyKey> key;
  Duration timeout{0};
};

enum class CallStatus : uint8_t {
  kAnswered,
  kNotSent,  // No byte of the request was written.
  kUnknown,  // Partly or fully written, but no response was received.
};

struct ServiceResponse {
  CallStatus status = CallStatus::kUnknown;
  uint32_t http_status = 0;
  std::string content_type;
  std::string body;
  // With status 503: time for which the service wants no call.
  Duration back_off{0};
};

class PlainService {
 public:
  virtual ~PlainService() = default;

  // Asynchronous; `done` runs exactly once, on the control thread.
  virtual void Call(ServiceRequest request,
                    std::function<void(ServiceResponse)> done) = 0;

  // Asynchronous; reports whether the service passes its health check.
  virtual void CheckHealth(std::function<void(bool healthy)> done) = 0;
};

}  // namespace burdockhatch

#endif  // SRC_PLAIN_SERVICE_H_
