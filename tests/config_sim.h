// An in-memory simulation of the object API and of operators, on manual time.
// The seeded object API loses and delays requests, loses replies, throttles and
// has outages.
#ifndef TESTS_CONFIG_SIM_H_
#define TESTS_CONFIG_SIM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/clock.h"
#include "src/config_publisher.h"
#include "src/object_api.h"
#include "src/random.h"

namespace burdockhatch {

// Runs scheduled functions in order of time.
class Timeline {
 public:
  Time now() const { return now_; }
  void At(Time when, std::function<void()> run);
  void RunUntil(Time end);
  void RunFor(Duration step) { RunUntil(now_ + step); }

 private:
  Time now_{std::chrono::seconds(1)};
  std::multimap<Time, std::function<void()>> events_;
};

// Probability of each fault per call.
struct ObjectApiFaults {
  double lose_request = 0;  // No effect; the caller gets kUnknown.
  double lose_answer = 0;   // Takes effect; the caller gets kUnknown.
  double late_request = 0;  // Takes effect after the caller's timeout.
  double throttle = 0;
};

// Stores one object. Each write raises the version by 1 to 3, since the
// interface guarantees only that versions increase.
class SimObjectApi {
 public:
  using Callback = std::function<void(const ObjectReply&)>;

  SimObjectApi(Timeline* timeline, uint64_t seed)
      : timeline_(timeline), random_(seed) {}

  void Read(Callback done);
  void Update(ObjectVersion expected, std::string value, Callback done);
  void Watch(ObjectVersion after, Duration wait, Callback done);

  // Replaces the value without a record in the change log.
  void Overwrite(std::string value);

  ObjectVersion version() const { return version_; }
  const std::string& value() const { return value_; }
  uint64_t calls() const { return calls_; }

  bool outage = false;
  ObjectApiFaults faults;
  std::function<void()> on_change;

 private:
  struct PendingWatch {
    ObjectVersion after;
    Callback done;
  };

  bool Chance(double probability) {
    return random_.UniformReal() < probability;
  }
  Duration Latency();
  // Runs `effect` and delivers its reply, with the configured faults.
  void Call(std::function<ObjectReply()> effect, Callback done);
  void Deliver(ObjectReply reply, Callback done);
  ObjectReply Apply(ObjectVersion expected, const std::string& value);
  void AnswerWatches();

  Timeline* timeline_;
  Random random_;
  ObjectVersion version_;
  std::string value_;
  uint64_t calls_ = 0;
  uint64_t next_watch_ = 1;
  std::map<uint64_t, PendingWatch> watches_;
};

// An operator who publishes one change.
class SimOperator {
 public:
  SimOperator(Timeline* timeline, SimObjectApi* api)
      : timeline_(timeline), api_(api) {}

  void Start(ConfigChange change, PublishOptions options);
  bool done() const { return publisher_ && publisher_->result().has_value(); }
  const PublishResult& result() const { return *publisher_->result(); }
  uint32_t update_count() const { return publisher_->update_count(); }

 private:
  void Poll();

  Timeline* timeline_;
  SimObjectApi* api_;
  std::unique_ptr<ConfigPublisher> publisher_;
};

}  // namespace burdockhatch

#endif  // TESTS_CONFIG_SIM_H_
