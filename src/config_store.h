// Keeps the configuration that is in effect in this process. It only ever moves
// to a higher version.
#ifndef SRC_CONFIG_STORE_H_
#define SRC_CONFIG_STORE_H_

#include "src/fleet_config.h"
#include "src/ids.h"

namespace burdockhatch {

class ConfigStore {
 public:
  // Takes `config` into effect if its version is higher than the current one.
  bool Apply(FleetConfig config);

  // Null until the first configuration.
  const FleetConfigPtr& current() const { return current_; }
  // 0 until the first configuration.
  ConfigVersion version() const;

 private:
  FleetConfigPtr current_;
};

}  // namespace burdockhatch

#endif  // SRC_CONFIG_STORE_H_
