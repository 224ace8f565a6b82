// The platform's object API, as the system uses it: versioned objects,
// conditional updates, watches and the list of instances.
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

// Names one object: "<kind>/<name>".
struct ObjectName {
  std::string kind;
  std::string name;

  auto operator<=>(const ObjectName&) const = default;
};

// Largest value of an object.
inline constexpr Bytes kMaxObjectSize{1 << 20};

enum class ObjectStatus : uint8_t {
  kOk,
  kNotFound,
  kConflict,  // Conditional update on another version; certainly not applied.
  kNotModified,  // A watch timed out, or the instance list has not changed.
  kThrottled,    // Rate limit; certainly not applied.
  kNotSent,      // The request never left; certainly not applied.
  kUnknown,      // No answer; an update may have been applied.
};

struct ObjectReply {
  ObjectStatus status = ObjectStatus::kUnknown;
  ObjectVersion version;
  std::string value;
};

enum class InstanceState : uint8_t { kLive, kLeaving };

// One line of the platform's lagging list of instances.
struct InstanceInfo {
  InstanceId instance;
  Role role = Role::kEntry;
  InstanceState state = InstanceState::kLive;
  RegionId region;
  DataCentreId data_centre;
  std::string address;  // "ip:port" of the bus.
  TargetId target;      // Agents only.
  ModelId model;        // Agents of model engines only.
  ServiceId service;    // Agents of plain services only.
};

struct InstanceListReply {
  ObjectStatus status = ObjectStatus::kUnknown;
  ObjectVersion version;
  std::vector<InstanceInfo> instances;
};

// Calls return at once; the callback runs once, on the control thread.
class ObjectApi {
 public:
  using ObjectCallback = std::function<void(ObjectReply)>;
  using InstanceCallback = std::function<void(InstanceListReply)>;

  virtual ~ObjectApi() = default;

  virtual void Read(const ObjectName& name, ObjectCallback done) = 0;

  // Replaces the value if the object still has version `expected`; 0 creates
  // it.
  virtual void Update(const ObjectName& name,
                      ObjectVersion expected,
                      std::string value,
                      ObjectCallback done) = 0;

  // Answers once the object has a version above `after`, or kNotModified after
  // `wait`.
  virtual void Watch(const ObjectName& name,
                     ObjectVersion after,
                     Duration wait,
                     ObjectCallback done) = 0;

  // Answers kNotModified when the list still has version `have`.
  virtual void ListInstances(ObjectVersion have, InstanceCallback done) = 0;
};

}  // namespace burdockhatch

#endif  // SRC_OBJECT_API_H_
