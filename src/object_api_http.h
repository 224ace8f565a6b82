// The platform's object API over HTTP and JSON (section 8 of the design).
//
//   GET|PUT /objects/<kind>/<name>   If-Match: "<version>", If-None-Match: *
//   GET /watch/<kind>/<name>?after=<version>&wait_ms=<n>
//   GET /instances                   If-None-Match: "<version>"
//
// Replies carry the version in an ETag.
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
  // From the call to its answer. A watch has its own wait on top.
  Duration call_timeout = std::chrono::seconds(2);
  // Connections for calls other than watches. A watch occupies a connection of
  // its own while it waits.
  uint32_t connections = 4;
};

// Connections run on `traffic`, which any number of threads may run; callbacks
// run on `control`, which one thread runs. The two may be the same. Calls may
// come from any thread. Destroy it on the control thread; callbacks of calls
// that are pending then are dropped.
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
  void ListInstances(ObjectVersion have, InstanceCallback done) override;

 private:
  class Pool;
  class Call;

  std::shared_ptr<Pool> pool_;
};

// An ObjectApiHttp with default options.
std::unique_ptr<ObjectApi> MakeHttpObjectApi(boost::asio::io_context& control,
                                             boost::asio::io_context& traffic,
                                             std::string address);

// Parses the body of GET /instances. Lines that are malformed or describe other
// software are left out, so that one bad line does not hide the fleet. Returns
// nullopt when the body as a whole is malformed.
std::optional<InstanceListReply> ParseInstanceList(std::string_view body);

// The version in an ETag of the form "<version>" with its quotes.
std::optional<ObjectVersion> ParseEtag(std::string_view etag);

// "/<prefix>/<kind>/<name>" with characters escaped that a path cannot hold.
std::string ObjectPath(std::string_view prefix, const ObjectName& name);

}  // namespace burdockhatch

#endif  // SRC_OBJECT_API_HTTP_H_
