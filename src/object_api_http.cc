#include "src/object_api_http.h"

#include <charconv>
#include <utility>

#include <fmt/format.h>
#include <boost/asio/post.hpp>
#include <boost/json/value.hpp>

#include "src/http_call.h"
#include "src/json_reader.h"

namespace burdockhatch {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr Duration kCallTimeout = std::chrono::seconds(5);

std::string PathOf(const ObjectName& name) {
  return fmt::format("/objects/{}/{}", name.kind, name.name);
}

std::string ETagOf(ObjectVersion version) {
  return fmt::format("\"{}\"", version.value());
}

ObjectVersion ParseETag(std::string_view text) {
  uint64_t version = 0;
  if (text.size() > 2) {
    std::from_chars(text.data() + 1, text.data() + text.size() - 1, version);
  }
  return ObjectVersion(version);
}

ObjectStatus StatusOf(const HttpReply& reply) {
  if (reply.status != CallStatus::kAnswered) {
    return reply.status == CallStatus::kNotSent ? ObjectStatus::kNotSent
                                                : ObjectStatus::kUnknown;
  }
  switch (reply.http_status) {
    case 200:
    case 201:
      return ObjectStatus::kOk;
    case 304:
      return ObjectStatus::kNotModified;
    case 404:
      return ObjectStatus::kNotFound;
    case 412:
      return ObjectStatus::kConflict;
    case 429:
      return ObjectStatus::kThrottled;
    default:
      return ObjectStatus::kUnknown;
  }
}

InstanceInfo ReadInstance(const json::value& value, Findings* findings) {
  InstanceInfo info;
  ObjectReader reader(value, "", findings);
  reader.Id("instance", &info.instance);
  reader.Choice("role", {{"entry", Role::kEntry}, {"agent", Role::kAgent}},
                &info.role);
  reader.Choice(
      "state",
      {{"live", InstanceState::kLive}, {"leaving", InstanceState::kLeaving}},
      &info.state);
  reader.Id("region", &info.region);
  reader.Id("data_centre", &info.data_centre);
  reader.Text("address", 64, &info.address);
  reader.Id("target", &info.target);
  reader.Id("model", &info.model);
  reader.Id("service", &info.service);
  return info;
}

class HttpObjectApi : public ObjectApi {
 public:
  HttpObjectApi(asio::io_context& control,
                asio::io_context& traffic,
                std::string address)
      : control_(control),
        client_(MakeHttpClient(traffic, std::move(address))) {}

  void Read(const ObjectName& name, ObjectCallback done) override {
    Call("GET", PathOf(name), "", {}, kCallTimeout, true, std::move(done));
  }

  void Update(const ObjectName& name,
              ObjectVersion expected,
              std::string value,
              ObjectCallback done) override {
    std::pair<std::string, std::string> header{"If-Match", ETagOf(expected)};
    if (expected == ObjectVersion()) {
      header = {"If-None-Match", "*"};
    }
    Call("PUT", PathOf(name), std::move(value), {header}, kCallTimeout, false,
         std::move(done));
  }

  void Watch(const ObjectName& name,
             ObjectVersion after,
             Duration wait,
             ObjectCallback done) override {
    const std::string target =
        fmt::format("/watch/{}/{}?after={}&wait_ms={}", name.kind, name.name,
                    after.value(), wait.count() / 1000);
    Call("GET", target, "", {}, wait + kCallTimeout, true, std::move(done));
  }

  void ListInstances(ObjectVersion have, InstanceCallback done) override {
    Call("GET", "/instances", "", {{"If-None-Match", ETagOf(have)}},
         kCallTimeout, true,
         [done = std::move(done)](const ObjectReply& reply) {
           InstanceListReply list;
           list.status = reply.status;
           list.version = reply.version;
           Findings findings;
           const auto value = ParseJson(reply.value, &findings);
           if (reply.status == ObjectStatus::kOk && value &&
               value->is_object() &&
               value->get_object().if_contains("instances")) {
             for (const json::value& it : value->at("instances").as_array()) {
               list.instances.push_back(ReadInstance(it, &findings));
             }
           }
           done(std::move(list));
         });
  }

 private:
  void Call(std::string method,
            std::string target,
            std::string body,
            std::vector<std::pair<std::string, std::string>> headers,
            Duration timeout,
            bool repeatable,
            ObjectCallback done) {
    HttpCall call{std::move(method),  std::move(target), std::move(body),
                  std::move(headers), timeout,           repeatable};
    client_->Call(
        std::move(call), [this, done = std::move(done)](HttpReply reply) {
          ObjectReply object;
          object.status = StatusOf(reply);
          object.version = ParseETag(reply.etag);
          object.value = std::move(reply.body);
          asio::post(control_,
                     [done, object = std::move(object)] { done(object); });
        });
  }

  asio::io_context& control_;
  std::unique_ptr<HttpClient> client_;
};

}  // namespace

std::unique_ptr<ObjectApi> MakeHttpObjectApi(asio::io_context& control,
                                             asio::io_context& traffic,
                                             std::string address) {
  return std::make_unique<HttpObjectApi>(control, traffic, std::move(address));
}

}  // namespace burdockhatch
