#include "tests/config_test_util.h"

#include <string>

#include <fmt/format.h>

namespace burdockhatch {

namespace {

constexpr int kDesignAccountCount = 2'800;
constexpr int kDesignModelCount = 7;
constexpr size_t kDesignPromptPrefixBytes = 80;

}  // namespace

FleetConfig SmallFleetConfig(ConfigVersion version) {
  const std::vector<DataCentreId> data_centres = {DataCentreId("ga-north-a"),
                                                  DataCentreId("ga-north-b"),
                                                  DataCentreId("ga-north-c")};
  FleetConfig config;
  config.version = version;
  config.models[ModelId("catalogue")] = {.data_centres = data_centres};
  config.services[ServiceId("orders")] = {.data_centres = data_centres};
  config.accounts[ClientAccountId("acme")] = {};
  config.templates[TemplateId("acme-short")] = {
      .account = ClientAccountId("acme"),
      .model = ModelId("catalogue"),
      .prompt_prefix = ""};
  return config;
}

FleetConfig DesignScaleFleetConfig() {
  std::vector<DataCentreId> data_centres;
  for (int i = 0; i < 7; ++i) {
    data_centres.emplace_back(fmt::format("region-{}-centre-{}", i / 3, i));
  }
  FleetConfig config;
  for (int i = 0; i < kDesignModelCount; ++i) {
    config.models[ModelId(fmt::format("findings-model-{}", i))] = {
        .data_centres = data_centres};
  }
  config.services[ServiceId("permits")] = {.data_centres = data_centres};
  for (int i = 0; i < kDesignAccountCount; ++i) {
    const ClientAccountId account(fmt::format("client-account-{:04}", i));
    config.accounts[account] = {.limit = TokensPerSecond(125'000 + i),
                                .burst = Tokens(2'500'000)};
    config.templates[TemplateId(fmt::format("client-template-{:04}", i))] = {
        .account = account,
        .model =
            ModelId(fmt::format("findings-model-{}", i % kDesignModelCount)),
        .max_output = Tokens(3'500),
        .deadline = std::chrono::milliseconds(120'000),
        .prompt_prefix = std::string(kDesignPromptPrefixBytes, 'p')};
  }
  for (size_t i = 0; i < kMaxChangeLogRecords; ++i) {
    const ConfigVersion base(1'000'000 + i);
    config.log.push_back(
        {ChangeId(fmt::format("operator-name-1764800000000-{:08x}", i)),
         base.Next(),
         fmt::format(
             R"([{{"path":"/templates/client-template-{:04}/prompt_prefix","value":"{}"}}])",
             i, std::string(kDesignPromptPrefixBytes, 'q')),
         base});
  }
  config.version = config.log.back().version;
  return config;
}

}  // namespace burdockhatch
