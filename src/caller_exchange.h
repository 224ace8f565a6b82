// One request of a caller and the way to answer it.
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
  std::string path;  // With the query.
  std::string host;
  HeaderList headers;
  std::shared_ptr<const std::string> body;
};

// Exactly one whole answer, ended stream or Abort ends the exchange.
class CallerExchange {
 public:
  virtual ~CallerExchange() = default;

  virtual void SendResponse(uint32_t status,
                            const HeaderList& headers,
                            const std::string& body) = 0;
  virtual void StartStream(uint32_t status, const HeaderList& headers) = 0;
  virtual void Write(std::string data) = 0;
  virtual void EndStream() = 0;

  // Closes the connection, so that an answer in progress is visibly cut off.
  virtual void Abort() = 0;

  // `handler` runs when the caller closes the connection before the end.
  virtual void SetDisconnectHandler(std::function<void()> handler) = 0;
};

using ExchangeHandler =
    std::function<void(std::shared_ptr<CallerExchange>, ReceivedRequest)>;

}  // namespace burdockhatch

#endif  // SRC_CALLER_EXCHANGE_H_
