#include "src/fleet_config.h"

namespace burdockhatch {

bool IsWithdrawn(const FleetConfig& config,
                 const TargetId& target,
                 const DataCentreId& data_centre) {
  return config.withdrawn_targets.contains(target) ||
         config.withdrawn_data_centres.contains(data_centre);
}

}  // namespace burdockhatch
