// A plain service over HTTP.
#ifndef SRC_PLAIN_SERVICE_HTTP_H_
#define SRC_PLAIN_SERVICE_HTTP_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/plain_service.h"

namespace burdockhatch {

// Connections run on `traffic`; callbacks run on `control`. `address` is
// "ip:port".
//
// ServiceRequest::timeout runs from Call. It is checked on the writing thread
// just before the first write, which answers kNotSent once it has passed; after
// the first byte it limits the wait for the answer, which then is kUnknown.
// Only a repeatable request uses a pooled connection and may reach the service
// twice. Both contexts outlive the service object.
std::unique_ptr<PlainService> MakeHttpPlainService(
    boost::asio::io_context& control,
    boost::asio::io_context& traffic,
    std::string address);

}  // namespace burdockhatch

#endif  // SRC_PLAIN_SERVICE_HTTP_H_
