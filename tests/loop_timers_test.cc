#include "src/loop_timers_daemon.h"

#include <chrono>
#include <memory>
#include <new>
#include <string>
#include <thread>

#include <gtest/gtest.h>
#include <boost/asio/post.hpp>

#include "src/exception_guard.h"
#include "src/reservations.h"
#include "tests/manual_timers.h"

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;

class ManualLoop {
 public:
  Timers& timers() { return timers_; }
  // Lets all timers expire before the first callback runs.
  void RunExpired(Duration step) { timers_.Advance(step); }

 private:
  ManualTimers timers_;
};

class RealLoop {
 public:
  Timers& timers() { return timers_; }
  void RunExpired(Duration step) {
    // The loop is busy while the timers expire, so that their handlers are
    // queued together.
    boost::asio::post(
        io_, [step] { std::this_thread::sleep_for(step + milliseconds(5)); });
    io_.restart();
    io_.run_for(step + milliseconds(100));
  }

 private:
  boost::asio::io_context io_;
  LoopTimers timers_{io_};
};

template <class Loop>
class TimersContractTest : public testing::Test {
 protected:
  Loop loop_;
};

using Loops = testing::Types<ManualLoop, RealLoop>;
TYPED_TEST_SUITE(TimersContractTest, Loops);

// Guards against a callback that runs on an object freed by another callback of
// the same turn of the loop.
TYPED_TEST(TimersContractTest, DestroyedTimerDoesNotRunAfterItHasExpired) {
  Timers& timers = this->loop_.timers();
  std::unique_ptr<Timer> second;
  bool first_ran = false;
  bool second_ran = false;
  const auto first = timers.Schedule(milliseconds(10), [&] {
    first_ran = true;
    second.reset();
  });
  second = timers.Schedule(milliseconds(11), [&] { second_ran = true; });
  this->loop_.RunExpired(milliseconds(20));
  EXPECT_TRUE(first_ran);
  EXPECT_FALSE(second_ran);
}

// Guards against a callback whose captures are destroyed while it runs.
TYPED_TEST(TimersContractTest, CallbackMayDestroyItsTimer) {
  const auto value = std::make_shared<int>(7);
  std::unique_ptr<Timer> timer;
  int seen = 0;
  timer = this->loop_.timers().Schedule(milliseconds(1),
                                        [&timer, &seen, captured = value] {
                                          timer.reset();
                                          seen = *captured;
                                        });
  this->loop_.RunExpired(milliseconds(20));
  EXPECT_EQ(seen, 7);
  EXPECT_EQ(value.use_count(), 1);
}

// Guards against a timer that is replaced by its own callback and runs twice.
TYPED_TEST(TimersContractTest, ReplacedTimerRunsOnce) {
  Timers& timers = this->loop_.timers();
  std::unique_ptr<Timer> watch;
  int runs = 0;
  const auto reschedule = timers.Schedule(milliseconds(10), [&] {
    watch = timers.Schedule(milliseconds(5), [&] { ++runs; });
  });
  watch = timers.Schedule(milliseconds(11), [&] { ++runs; });
  this->loop_.RunExpired(milliseconds(40));
  EXPECT_EQ(runs, 1);
}

struct CountingMemory : EngineMemory {
  void Reserve(const Reservation&,
               Duration,
               std::function<void(bool)> done) override {
    ++reserved;
    done(true);
  }
  void Release(const Reservation&) override { ++released; }

  int reserved = 0;
  int released = 0;
};

struct FakeProbe : TargetProbe {
  void Probe(const std::string&, std::function<void(bool)> done) override {
    done(true);
  }
};

// Guards against a renewal on a freed set: the request ends in the turn of the
// loop in which its renewal expires. AddressSanitizer reports the access.
TYPED_TEST(TimersContractTest, ReservationSetEndsAsItsRenewalExpires) {
  Timers& timers = this->loop_.timers();
  CountingMemory memory;
  FakeProbe probe;
  std::unique_ptr<ReservationSet> reservations;
  const auto end_of_request =
      timers.Schedule(ReservationSet::kRenewInterval - milliseconds(1),
                      [&] { reservations.reset(); });
  reservations = std::make_unique<ReservationSet>(
      &memory, &probe, &timers, "10.0.0.2:80",
      std::vector<Reservation>{{"10.0.0.1:80", "r1", Tokens(1'000)}});
  reservations->Start([](bool) {});
  this->loop_.RunExpired(ReservationSet::kRenewInterval + milliseconds(5));
  EXPECT_EQ(memory.reserved, 1);
  EXPECT_EQ(memory.released, 1);
}

// Guards against a process that was paused beyond the term of its reservations
// and reserves memory anew, which no request uses.
TEST(ReservationSetTest, LapsedReservationsAreNotRenewed) {
  ManualTimers timers;
  CountingMemory memory;
  FakeProbe probe;
  ReservationSet reservations(
      &memory, &probe, &timers, "10.0.0.2:80",
      std::vector<Reservation>{{"10.0.0.1:80", "r1", Tokens(1'000)}});
  reservations.Start([](bool) {});
  timers.Advance(ReservationSet::kRenewInterval);
  EXPECT_EQ(memory.reserved, 2);
  timers.SkipTo(timers.Now() + ReservationSet::kReservationTtl);
  timers.Advance(ReservationSet::kRenewInterval);
  EXPECT_EQ(memory.reserved, 2);
}

// Guards against an exception of one handler that ends the event loop with all
// requests of the process.
TEST(ExceptionGuardTest, LoopRunsOnAfterAnException) {
  boost::asio::io_context io;
  const uint64_t caught = CaughtExceptions();
  int later = 0;
  boost::asio::post(io, [] { throw std::bad_alloc(); });
  boost::asio::post(io, [] { throw std::string("not an std::exception"); });
  boost::asio::post(io, [&later] { ++later; });
  RunLoopGuarded(io);
  EXPECT_EQ(later, 1);
  EXPECT_EQ(CaughtExceptions(), caught + 2);
}

}  // namespace
}  // namespace burdockhatch
