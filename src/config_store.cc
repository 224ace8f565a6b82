#include "src/config_store.h"

#include <memory>
#include <utility>

namespace burdockhatch {

bool ConfigStore::Apply(FleetConfig config) {
  if (config.version <= version()) {
    return false;
  }
  current_ = std::make_shared<const FleetConfig>(std::move(config));
  return true;
}

ConfigVersion ConfigStore::version() const {
  return current_ == nullptr ? ConfigVersion() : current_->version;
}

}  // namespace burdockhatch
