// Configurations shared by several tests.
#ifndef TESTS_CONFIG_TEST_UTIL_H_
#define TESTS_CONFIG_TEST_UTIL_H_

#include "src/fleet_config.h"

namespace burdockhatch {

// One model and one service in three data centres, one account, one template.
FleetConfig SmallFleetConfig(ConfigVersion version);

// A configuration with the number of accounts, templates, models, data centres
// and change records of the design scale, and strings of realistic length.
FleetConfig DesignScaleFleetConfig();

}  // namespace burdockhatch

#endif  // TESTS_CONFIG_TEST_UTIL_H_
