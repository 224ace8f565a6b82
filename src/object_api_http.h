// The object API over HTTP and JSON.
#ifndef SRC_OBJECT_API_HTTP_H_
#define SRC_OBJECT_API_HTTP_H_

#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "src/object_api.h"

namespace burdockhatch {

// Connections run on `traffic`; callbacks run on `control`. `address` is
// "ip:port".
std::unique_ptr<ObjectApi> MakeHttpObjectApi(boost::asio::io_context& control,
                                             boost::asio::io_context& traffic,
                                             std::string address);

}  // namespace burdockhatch

#endif  // SRC_OBJECT_API_HTTP_H_
