// Fuzzes the parsers of what the object API says of instances and versions.

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "src/ip_endpoint.h"
#include "src/json_reader.h"
#include "src/object_api_http.h"

namespace {

namespace json = boost::json;
using burdockhatch::InstanceInfo;
using burdockhatch::InstanceListReply;
using burdockhatch::InstanceState;
using burdockhatch::Role;

void Require(bool holds) {
  if (!holds) {
    abort();
  }
}

void CheckInstance(const InstanceInfo& info) {
  const auto valid_or_empty = [](const auto& id) {
    return id.empty() || burdockhatch::IsValidId(id.value());
  };
  Require(burdockhatch::IsValidId(info.instance.value()));
  Require(burdockhatch::IsValidId(info.data_centre.value()));
  Require(valid_or_empty(info.region) && valid_or_empty(info.target));
  Require(valid_or_empty(info.model) && valid_or_empty(info.service));
  Require(info.address.size() <= burdockhatch::kMaxIdLength);
  Require(burdockhatch::ParseIpEndpoint(info.address).has_value());
}

json::object ToJson(const InstanceInfo& info) {
  return {{"instance", info.instance.value()},
          {"role", info.role == Role::kEntry ? "entry" : "agent"},
          {"state", info.state == InstanceState::kLive ? "live" : "leaving"},
          {"region", info.region.value()},
          {"data_centre", info.data_centre.value()},
          {"address", info.address},
          {"target", info.target.value()},
          {"model", info.model.value()},
          {"service", info.service.value()}};
}

std::string ToText(const InstanceListReply& reply) {
  json::array instances;
  for (const InstanceInfo& it : reply.instances) {
    instances.push_back(ToJson(it));
  }
  return json::serialize(json::object{{"version", reply.version.value()},
                                      {"instances", std::move(instances)}});
}

}  // namespace

// Instances that are accepted must satisfy the limits on ids and survive a
// round trip. An ETag that is accepted is a version above 0.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto version = ParseEtag(text);
  Require(!version || version->value() != 0);
  const auto list = ParseInstanceList(text);
  if (!list) {
    return 0;
  }
  Require(list->status == ObjectStatus::kOk);
  std::for_each(list->instances.begin(), list->instances.end(), CheckInstance);
  const std::string once = ToText(*list);
  const auto again = ParseInstanceList(once);
  Require(again && again->instances.size() == list->instances.size());
  Require(ToText(*again) == once);
  return 0;
}
