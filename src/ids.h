// Strong types for identifiers. Two ids of different kinds never compare or
// convert.
#ifndef SRC_IDS_H_
#define SRC_IDS_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace burdockhatch {

// A textual identifier. `Tag` makes each kind a type of its own.
template <class Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }

  auto operator<=>(const StringId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const StringId& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  std::string value_;
};

// A numeric identifier or counter that is compared but never added up.
template <class Tag, class Rep = uint64_t>
class NumericId {
 public:
  constexpr NumericId() = default;
  constexpr explicit NumericId(Rep value) : value_(value) {}

  constexpr Rep value() const { return value_; }
  constexpr NumericId Next() const { return NumericId(value_ + 1); }

  auto operator<=>(const NumericId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const NumericId& id) {
    return H::combine(std::move(state), id.value_);
  }

 private:
  Rep value_ = 0;
};

using InstanceId = StringId<struct InstanceIdTag>;
using TargetId = StringId<struct TargetIdTag>;
using DataCentreId = StringId<struct DataCentreIdTag>;
using RegionId = StringId<struct RegionIdTag>;
using ClientAccountId = StringId<struct ClientAccountIdTag>;
using ModelId = StringId<struct ModelIdTag>;
using ServiceId = StringId<struct ServiceIdTag>;
using TemplateId = StringId<struct TemplateIdTag>;
using ChangeId = StringId<struct ChangeIdTag>;
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;
// Names a stream or a cache at an engine. Chosen by the agent, unique per
// attempt.
using StreamId = StringId<struct StreamIdTag>;

// Grows each time an instance starts; tells a restarted process from its
// predecessor.
using Incarnation = NumericId<struct IncarnationTag>;
// Grows each time a model engine starts.
using EngineIncarnation = NumericId<struct EngineIncarnationTag>;
// Counts the attempts of one request, from 1.
using AttemptNumber = NumericId<struct AttemptNumberTag, uint32_t>;
// Version of the fleet configuration; equals the version of its object in the
// object API.
using ConfigVersion = NumericId<struct ConfigVersionTag>;
// Orders the instructions that different holders give to one engine.
using FencingNumber = NumericId<struct FencingNumberTag>;
// Version of one object in the object API; 0 means that the object does not
// exist.
using ObjectVersion = NumericId<struct ObjectVersionTag>;

// Names one request of one caller: 128 random bits, drawn by the entry that
// received it.
struct RequestId {
  uint64_t high = 0;
  uint64_t low = 0;

  auto operator<=>(const RequestId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const RequestId& id) {
    return H::combine(std::move(state), id.high, id.low);
  }
};

// One attempt to run a request at one target.
struct AttemptId {
  RequestId request;
  AttemptNumber number;

  auto operator<=>(const AttemptId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const AttemptId& id) {
    return H::combine(std::move(state), id.request, id.number);
  }
};

// One run of one instance.
struct PeerId {
  InstanceId instance;
  Incarnation incarnation;

  auto operator<=>(const PeerId&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const PeerId& id) {
    return H::combine(std::move(state), id.instance, id.incarnation);
  }
};

// Returns 32 lower-case hexadecimal digits.
std::string ToString(const RequestId& id);

// Returns "<request>-<attempt number>". Used as the stream id at an engine.
std::string ToString(const AttemptId& id);

// Returns nullopt unless `text` is what ToString(RequestId) returns.
std::optional<RequestId> ParseRequestId(std::string_view text);

// Returns nullopt unless `text` is what ToString(AttemptId) returns.
std::optional<AttemptId> ParseAttemptId(std::string_view text);

// The stream id of an attempt. An agent that starts maps the engine's streams
// back to attempts with ParseAttemptId.
StreamId StreamIdOf(const AttemptId& id);

}  // namespace burdockhatch

#endif  // SRC_IDS_H_
