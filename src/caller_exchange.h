// Interface to one HTTP request of a caller and its response.
#ifndef SRC_CALLER_EXCHANGE_H_
#define SRC_CALLER_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/http_headers.h"

namespace burdockhatch {

struct ReceivedRequest {
  std::string method;
  std::string path;  // Path and query.
  std::string host;
  HeaderList headers;
  std::shared_ptr<const std::string> body;
};

// An exchange ends with exactly one of SendResponse, EndStream (after
// StartStream) and Abort.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  // Sends a complete response.
  virtual void SendResponse(uint32_t status,
                            const HeaderList& headers,
                            const std::string& body) = 0;
  // Sends the header of a streamed response; its body follows with Write.
  virtual void StartStream(uint32_t status, const HeaderList& headers) = 0;
  virtual void Write(std::string data) = 0;
  virtual void EndStream() = 0;

  // Returns whether the output that the caller has not read exceeds a limit.
  // Write accepts more nevertheless.
  virtual bool IsCongested() const = 0;
  // Sets the handler that runs each time the exchange is no longer congested.
  virtual void SetDrainedHandler(std::function<void()> handler) = 0;

  // Resets the connection, so that the caller detects a truncated response.
  virtual void Abort() = 0;

  // Sets the handler that runs when the caller closes the connection before the
  // exchange ends.
  virtual void SetDisconnectHandler(std::function<void()> handler) = 0;

  // Sets the handler that sheds the request for want of memory: it ends the
  // exchange with 503 and returns true, or returns false if the request has
  // been sent to a target.
  virtual void SetShedHandler(std::function<bool()> handler) = 0;
};

using ExchangeHandler =
    std::function<void(std::shared_ptr<CallerExchange>, ReceivedRequest)>;

}  // namespace burdockhatch

#endif  // SRC_CALLER_EXCHANGE_H_
