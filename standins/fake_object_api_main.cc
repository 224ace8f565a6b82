// fake_object_api: a fake of the platform's object API for tests.
#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <fmt/format.h>

#include "standins/fake_object_api.h"
#include "standins/http_server.h"

ABSL_FLAG(std::string, listen, "127.0.0.1:7001", "ip:port to listen on");
ABSL_FLAG(uint64_t, seed, 1, "seed of faults that occur with a probability");
ABSL_FLAG(double,
          max_reads_per_s,
          2000,
          "rate limit; reads and watches above it get 429");
ABSL_FLAG(double, max_writes_per_s, 400, "rate limit; writes above it get 429");
ABSL_FLAG(uint64_t,
          instance_lag_ms,
          2000,
          "time in ms until a change is visible in the list of instances");
ABSL_FLAG(std::string, instances, "", "JSON file with the list of instances");

namespace {

bool ReadFile(const std::string& path, std::string& text) {
  std::ifstream file(path);
  text.assign(std::istreambuf_iterator<char>(file), {});
  return file.good() || file.eof();
}

}  // namespace

int main(int argc, char** argv) {
  absl::SetProgramUsageMessage("Fake of the platform's object API for tests.");
  absl::ParseCommandLine(argc, argv);
  burdockhatch::standins::FakeObjectApiOptions options;
  options.listen = absl::GetFlag(FLAGS_listen);
  options.seed = absl::GetFlag(FLAGS_seed);
  options.max_reads_per_s = absl::GetFlag(FLAGS_max_reads_per_s);
  options.max_writes_per_s = absl::GetFlag(FLAGS_max_writes_per_s);
  options.instance_lag_ms = absl::GetFlag(FLAGS_instance_lag_ms);
  const std::string path = absl::GetFlag(FLAGS_instances);
  if (!path.empty() && !ReadFile(path, options.instances)) {
    fmt::print(stderr, "fake_object_api: cannot read {}\n", path);
    return 1;
  }
  try {
    boost::asio::io_context io(1);
    burdockhatch::standins::FakeObjectApi api(io, options);
    fmt::print(stderr, "fake_object_api: listening on {}\n", api.address());
    burdockhatch::standins::RunUntilTerminated(io);
  } catch (const std::exception& e) {
    fmt::print(stderr, "fake_object_api: {}\n", e.what());
    return 1;
  }
  return 0;
}
