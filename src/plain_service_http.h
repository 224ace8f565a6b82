// Client of a plain service over HTTP.
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
// ServiceRequest::timeout starts at Call. The writing thread checks it just
// before the first write and reports kNotSent if it has expired; after the
// first byte it limits the wait for the response and expires with kUnknown.
// No request reaches the service twice. Both contexts must outlive the service
// object.
std::unique_ptr<PlainService> MakeHttpPlainService(
    boost::asio::io_context& control,
    boost::asio::io_context& traffic,
    std::string address);

}  // namespace burdockhatch

#endif  // SRC_PLAIN_SERVICE_HTTP_H_
