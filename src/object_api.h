// Interface to the platform's object API: versioned objects, conditional
// updates, watches and the list of instances.
#ifndef SRC_OBJECT_API_H_
#define SRC_OBJECT_API_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "src/ids.h"
#include "src/messages.h"
#include "src/units.h"

namespace burdockhatch {

// Identifies one object: "<kind>/<name>".
struct ObjectName {
  std::string kind;
  std::string name;

  auto operator<=>(const ObjectName&) const = default;
};

// Maximum size of the value of an object.
inline constexpr Bytes kMaxObjectSize{1 << 20};

enum class ObjectStatus : uint8_t {
  kOk,
  kNotFound,
  kConflict,     // The object has another version; the update was not applied.
  kNotModified,  // The watch timed out, or the instance list has not changed.
  kThrottled,    // Rate limit exceeded; an update was not applied.
  kNotSent,      // Not sent, or rejected as invalid; an update was not applied.
  kUnknown,      // No conclusive answer; an update may have been applied.
};

struct ObjectReply {
  ObjectStatus status = ObjectStatus::kUnknown;
  ObjectVersion version;
  std::string value;
};

enum class InstanceState : uint8_t { kLive, kLeaving };

// One entry of the platform's list of instances, which lags behind.
struct InstanceInfo {
  InstanceId instance;
  Role role = Role::kEntry;
  InstanceState state = InstanceState::kLive;
  RegionId region;
  DataCentreId data_centre;
  std::string address;  // "ip:port" of the bus of the instance.
  TargetId target;      // Agents only.
  ModelId model;        // Agents of model engines only.
  ServiceId service;    // Agents of plain services only.
};

struct InstanceListReply {
  ObjectStatus status = ObjectStatus::kUnknown;
  ObjectVersion version;
  std::vector<InstanceInfo> instances;
  // Entries that are malformed or describe other software, and the id, or else
  // the position, of the first of them.
  uint32_t skipped = 0;
  std::string first_skipped;
};

// All methods return without blocking. Each callback runs once, on the control
// thread.
class ObjectApi {
 public:
  using ObjectCallback = std::function<void(ObjectReply)>;
  using InstanceCallback = std::function<void(InstanceListReply)>;

  virtual ~ObjectApi() = default;

  virtual void Read(const ObjectName& name, ObjectCallback done) = 0;

  // Replaces the value if the object still has the version `expected`; version
  // 0 creates the object.
  virtual void Update(const ObjectName& name,
                      ObjectVersion expected,
                      std::string value,
                      ObjectCallback done) = 0;

  // Calls `done` once the object has a version above `after`, or with
  // kNotModified after `wait`.
  virtual void Watch(const ObjectName& name,
                     ObjectVersion after,
                     Duration wait,
                     ObjectCallback done) = 0;

  // Calls `done` with kNotModified when the list still has `known_version`.
  virtual void ListInstances(ObjectVersion known_version,
                             InstanceCallback done) = 0;
};

}  // namespace burdockhatch

#endif  // SRC_OBJECT_API_H_
