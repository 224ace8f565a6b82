// Limits the bytes of all requests that an entry holds, and decides which of
// them is shed. Needs no network.
#ifndef SRC_REQUEST_MEMORY_H_
#define SRC_REQUEST_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "src/clock.h"
#include "src/units.h"

namespace burdockhatch {

class Metrics;

// How far a request is.
enum class RequestStage : uint8_t {
  kReading,  // Its input is not complete.
  kWaiting,  // It is complete and has not been sent to a target.
  kSent,     // It has been sent to a target, so it is not shed.
};

struct RequestUse {
  size_t held = 0;      // Bytes of memory.
  size_t received = 0;  // Bytes of input since the request began.
  RequestStage stage = RequestStage::kReading;
};

struct RequestMemoryStats {
  size_t limit = 0;
  size_t held = 0;
  size_t peak = 0;
  size_t requests = 0;
  uint64_t shed_stalled = 0;  // Reading, without progress.
  uint64_t shed_reading = 0;  // Reading, with progress.
  uint64_t shed_waiting = 0;
};

// Thread-safe. An owner is one connection, which holds one request at a time.
//
// Large requests have three quarters of the limit, so that small ones always
// find room. A request is shed in this order: large before small if the large
// ones take more than a quarter of the limit; without progress before those
// with it; incomplete before complete; then the one that holds the most.
class RequestMemory {
 public:
  using Owner = const void*;

  explicit RequestMemory(Bytes limit);

  // Raises the limit, if necessary, to what one request of the largest size
  // takes, so that it is served when the process holds no other.
  void SetLargestBody(Bytes body);

  // Sets what `owner` holds. Holding nothing ends its request.
  void Update(Owner owner, const RequestUse& use, Time now);
  void Release(Owner owner);

  // Returns the owner of the request to shed next, or nullopt if the limit is
  // kept or nothing can be shed. What it holds counts as free from now on.
  std::optional<Owner> Choose(Time now);
  // Whether the requests hold more than the limit, because chosen ones have not
  // ended yet. Others should read no more than they must until then.
  bool IsExceeded() const;
  // Whether Choose() has returned `owner` and its request has not ended.
  bool IsChosen(Owner owner) const;
  // Withdraws the choice: the request has been sent to a target.
  void MarkSent(Owner owner);

  RequestMemoryStats Stats() const;

 private:
  struct Row {
    RequestUse use;
    Time last_progress_at{};
    size_t received_at_progress = 0;
    bool chosen = false;
  };

  static bool IsLarge(const Row& row);
  static bool IsStalled(const Row& row, Time now);
  // Whether `a` is shed before `b`.
  static bool IsShedBefore(const Row& a, const Row& b, bool by_size, Time now);
  // Adds or subtracts what the row holds.
  void Count(const Row& row, bool add);
  void CountShed(const Row& row, Time now);

  mutable std::mutex mutex_;  // Guards the members below.
  size_t limit_;
  std::map<Owner, Row> rows_;
  size_t held_ = 0;        // Of all requests.
  size_t kept_ = 0;        // Of requests that are not chosen.
  size_t large_kept_ = 0;  // Of large requests that are not chosen.
  size_t sheddable_ = 0;   // Requests that are neither chosen nor sent.
  RequestMemoryStats stats_;
};

// Returns the stats as a JSON object.
std::string DumpRequestMemory(const RequestMemoryStats& stats);
void ExportRequestMemory(const RequestMemoryStats& stats, Metrics* metrics);

}  // namespace burdockhatch

#endif  // SRC_REQUEST_MEMORY_H_
