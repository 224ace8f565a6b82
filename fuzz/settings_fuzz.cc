// Fuzzes the parser of the settings of a daemon.

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "src/findings.h"
#include "src/json_reader.h"
#include "src/settings.h"

namespace {

using burdockhatch::LimitSettings;
using burdockhatch::PeerSettings;
using burdockhatch::Role;
using burdockhatch::Settings;
using burdockhatch::TargetKind;
using burdockhatch::TargetSettings;

void Require(bool holds) {
  if (!holds) {
    abort();
  }
}

// An address goes into endpoint strings and C interfaces as it is, so it must
// not contain control characters.
void CheckAddress(const std::string& address) {
  const auto printable = [](char it) { return it > ' ' && it < 0x7f; };
  Require(std::all_of(address.begin(), address.end(), printable));
  const size_t colon = address.rfind(':');
  Require(colon != std::string::npos && colon > 0);
  int port = 0;
  const char* end = address.data() + address.size();
  const auto [rest, ec] =
      std::from_chars(address.data() + colon + 1, end, port);
  Require(ec == std::errc() && rest == end && port >= 1 && port <= 65'535);
}

void CheckTarget(const TargetSettings& target) {
  Require(burdockhatch::IsValidId(target.target.value()));
  CheckAddress(target.address);
  if (target.kind == TargetKind::kService) {
    Require(burdockhatch::IsValidId(target.service.value()));
    Require(target.max_service_calls > 0);
    return;
  }
  Require(burdockhatch::IsValidId(target.model.value()));
  Require(target.memory.value() > 0 && target.full_budget.value() > 0);
  Require(target.prefill_rate.value() > 0);
  Require(target.time_per_token.count() > 0);
}

void CheckLimits(const LimitSettings& limits) {
  Require(limits.max_body.value() > 0);
  Require(limits.default_deadline.count() > 0);
  Require(limits.default_deadline <= limits.max_deadline);
  Require(limits.balancer_lag.count() >= 0);
  Require(limits.traffic_threads > 0 && limits.max_connections > 0);
}

void CheckSettings(const Settings& settings) {
  Require(burdockhatch::IsValidId(settings.instance.value()));
  Require(burdockhatch::IsValidId(settings.data_centre.value()));
  Require(burdockhatch::IsValidId(settings.region.value()));
  CheckAddress(settings.bus_address);
  CheckAddress(settings.http_address);
  CheckAddress(settings.object_api_address);
  CheckLimits(settings.limits);
  if (settings.role == Role::kAgent) {
    CheckTarget(settings.target);
    return;
  }
  Require(settings.subset_size > 0);
  for (const PeerSettings& it : settings.seed_peers) {
    Require(burdockhatch::IsValidId(it.instance.value()));
    CheckAddress(it.address);
  }
}

}  // namespace

// Settings that are accepted must satisfy the limits that the daemons rely on;
// settings that are rejected must come with a finding.
extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  using namespace burdockhatch;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  Findings findings;
  const auto settings = ParseSettings(text, &findings);
  Require(settings.has_value() == findings.empty());
  if (settings) {
    CheckSettings(*settings);
  }
  return 0;
}
