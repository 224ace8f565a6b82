// Stores the configuration in effect in this process. Its version never
// decreases.
#ifndef SRC_CONFIG_STORE_H_
#define SRC_CONFIG_STORE_H_

#include "src/fleet_config.h"
#include "src/ids.h"

namespace burdockhatch {

class ConfigStore {
 public:
  // Applies `config` if its version is higher than the current one. Returns
  // whether it was applied.
  bool Apply(FleetConfig config);

  // Returns null until the first configuration is applied.
  const FleetConfigPtr& current() const { return current_; }
  // Returns 0 until the first configuration is applied.
  ConfigVersion version() const;

 private:
  FleetConfigPtr current_;
};

}  // namespace burdockhatch

#endif  // SRC_CONFIG_STORE_H_
