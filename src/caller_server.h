// HTTP server for requests that are forwarded unchanged.
#ifndef SRC_CALLER_SERVER_H_
#define SRC_CALLER_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>

#include "src/caller_exchange.h"
#include "src/request_memory.h"
#include "src/routes.h"

namespace burdockhatch {

struct CallerServerError {
  std::string message;
};

class CallerServer {
 public:
  virtual ~CallerServer() = default;

  // Waits in progress are extended to longer times. Shorter times apply to
  // waits that begin when callers know of them.
  virtual void SetLimits(const CallerLimits& limits) = 0;

  // Makes each further response close its connection ("Connection: close").
  virtual void BeginDrain() = 0;

  virtual uint64_t open_exchanges() const = 0;
  virtual uint64_t connections() const = 0;
  // Returns whether a request has arrived in part, or has not been read yet.
  virtual bool HasPendingInput() const = 0;

  // Closes the listening socket and the connections on which no request is in
  // progress or has arrived. Connections that wait to be accepted are accepted
  // first.
  virtual void Stop() = 0;

  // Closes all connections. Their exchanges end as if the callers had left.
  virtual void CloseAll() = 0;
};

// Listens on `address` ("ip:port"). Requests on connections above
// `max_connections` are refused, connections above twice that are closed; both
// bounds are lower if the process has few descriptors, see
// connection_bounds.h. Requests are shed when they exceed `memory`. All
// handlers run on the one thread that runs `io`. Fails with CallerServerError.
boost::leaf::result<std::unique_ptr<CallerServer>> StartCallerServer(
    boost::asio::io_context& io,
    const std::string& address,
    const CallerLimits& limits,
    uint32_t max_connections,
    ExchangeHandler handler,
    std::shared_ptr<RequestMemory> memory);

}  // namespace burdockhatch

#endif  // SRC_CALLER_SERVER_H_
