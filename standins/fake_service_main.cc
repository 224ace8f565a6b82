// fake_service: a fake plain service for tests.
#include <cstdio>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "standins/fake_service.h"
#include "standins/http_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7201", "ip:port to listen on");
ABSL_FLAG(uint64_t, seed, 1, "seed of faults that occur with a probability");
ABSL_FLAG(uint64_t,
          delay_ms,
          0,
          "time in ms between the execution and the answer");

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Fake plain service for tests.");
  absl::ParseCommandLine(argc, argv);
  burdockhatch::standins::FakeServiceOptions options;
  options.listen = absl::GetFlag(FLAGS_listen);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.delay_ms = absl::GetFlag(FLAGS_delay_ms);
  try {
    boost::asio::io_context io(1);
    burdockhatch::standins::FakeService service(io, options);
    fmt::print(stderr, "fake_service: listening on {}\n", service.address());
    burdockhatch::standins::RunUntilTerminated(io);
  } catch (const std::exception& e) {
    fmt::print(stderr, "fake_service: {}\n", e.what());
    return 1;
  }
  return 0;
}
