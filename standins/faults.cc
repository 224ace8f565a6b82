#include "standins/faults.h"

#include <utility>

namespace burdockhatch::standins {

namespace {

constexpr std::string_view kReset = "reset";

bool IsOff(const boost::json::value& value) {
  if (value.is_null()) {
    return true;
  }
  if (value.is_bool()) {
    return !value.as_bool();
  }
  return value.is_number() && value.to_number<double>() == 0;
}

}  // namespace

std::set<std::string> CommonFaultNames() {
  return {"down",         "hang",        "delay_ms",
          "close_before", "lose_answer", "cut_answer"};
}

Faults::Faults(uint64_t seed, std::set<std::string> known_names)
    : known_names_(std::move(known_names)), random_(seed) {}

std::string Faults::Merge(std::string_view text) {
  boost::system::error_code ec;
  boost::json::value parsed = boost::json::parse(text, ec);
  if (ec || !parsed.is_object()) {
    return "expected a JSON object";
  }
  const boost::json::object& patch = parsed.as_object();
  for (const auto& field : patch) {
    const std::string name(field.key());
    if (name != kReset && !known_names_.contains(name)) {
      return "unknown fault " + name;
    }
    const boost::json::value& value = field.value();
    if (!value.is_null() && !value.is_bool() && !value.is_number()) {
      return "expected a number or a boolean for " + name;
    }
  }
  if (patch.contains(kReset)) {
    active_.clear();
  }
  for (const auto& field : patch) {
    if (field.key() == kReset) {
      continue;
    }
    if (IsOff(field.value())) {
      active_.erase(field.key());
    } else {
      active_[field.key()] = field.value();
    }
  }
  return "";
}

std::string Faults::ToJson() const {
  return boost::json::serialize(active_);
}

bool Faults::IsActive(std::string_view name) const {
  return active_.contains(name);
}

double Faults::Number(std::string_view name) const {
  const boost::json::value* value = active_.if_contains(name);
  if (value == nullptr) {
    return 0;
  }
  return value->is_number() ? value->to_number<double>() : 1;
}

bool Faults::ShouldInject(std::string_view name) {
  const double probability = Number(name);
  return probability > 0 && random_.UniformReal() < probability;
}

void Faults::Clear(std::string_view name) {
  active_.erase(name);
}

}  // namespace burdockhatch::standins
