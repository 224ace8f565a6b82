// Client of the platform's object API over HTTP and JSON.
//
//   GET|PUT /objects/<kind>/<name>   If-Match: "<version>", If-None-Match: *
//   GET /watch/<kind>/<name>?after=<version>&wait_ms=<n>
//   GET /instances                   If-None-Match: "<version>"
//
// Replies carry the version of the object in the ETag header.
#ifndef SRC_OBJECT_API_HTTP_H_
#define SRC_OBJECT_API_HTTP_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "src/object_api.h"
#include "src/units.h"

namespace burdockhatch {

struct ObjectApiHttpOptions {
  std::string address;  // "ip:port"; an IPv6 address is in brackets.
  // From the call to its response, time in the queue included. The wait of a
  // watch is added to it.
  Duration call_timeout = std::chrono::seconds(2);
  // Maximum number of connections for calls other than watches. Each pending
  // watch uses another connection.
  uint32_t connections = 4;
};

// Connections run on `traffic`, which any number of threads may run. Callbacks
// run on `control`, which one thread runs. Both may be the same io_context.
// Methods may be called on any thread. The destructor must run on the control
// thread and drops the callbacks of pending calls.
class ObjectApiHttp : public ObjectApi {
 public:
  ObjectApiHttp(boost::asio::io_context& control,
                boost::asio::io_context& traffic,
                ObjectApiHttpOptions options);
  ~ObjectApiHttp() override;
  ObjectApiHttp(const ObjectApiHttp&) = delete;
  ObjectApiHttp& operator=(const ObjectApiHttp&) = delete;

  void Read(const ObjectName& name, ObjectCallback done) override;
  void Update(const ObjectName& name,
              ObjectVersion expected,
              std::string value,
              ObjectCallback done) override;
  void Watch(const ObjectName& name,
             ObjectVersion after,
             Duration wait,
             ObjectCallback done) override;
  void ListInstances(ObjectVersion known_version,
                     InstanceCallback done) override;

 private:
  class ConnectionPool;
  class PendingCall;

  std::shared_ptr<ConnectionPool> connection_pool_;
};

// Returns an ObjectApiHttp with default options.
std::unique_ptr<ObjectApi> MakeHttpObjectApi(boost::asio::io_context& control,
                                             boost::asio::io_context& traffic,
                                             std::string address);

// Parses the body of GET /instances. Skips entries that are malformed or
// describe other software, so that one bad entry does not hide all instances.
// Returns nullopt when the body as a whole is malformed.
std::optional<InstanceListReply> ParseInstanceList(std::string_view body);

// Parses an ETag of the form "<version>", quotes included.
std::optional<ObjectVersion> ParseEtag(std::string_view etag);

// Returns "/<prefix>/<kind>/<name>", percent-encoded where necessary.
std::string ObjectPath(std::string_view prefix, const ObjectName& name);

}  // namespace burdockhatch

#endif  // SRC_OBJECT_API_HTTP_H_
