// Configurations that several tests share.
#ifndef TESTS_CONFIG_TEST_UTIL_H_
#define TESTS_CONFIG_TEST_UTIL_H_

#include "src/fleet_config.h"

namespace burdockhatch {

// One model and one service in three data centres, one account, one template.
FleetConfig SmallFleetConfig(ConfigVersion version);

// As many accounts, templates, models, data centres and change records as the
// design scale names, with realistic texts.
FleetConfig DesignScaleFleetConfig();

}  // namespace burdockhatch

#endif  // TESTS_CONFIG_TEST_UTIL_H_
