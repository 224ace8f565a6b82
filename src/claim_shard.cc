#include "src/claim_shard.h"

#include <map>
#include <utility>
#include <vector>

#include <boost/json.hpp>

namespace burdockhatch {

namespace {

namespace json = boost::json;

using ClaimHolder = std::pair<InstanceId, Incarnation>;

// A record is an array of the holder's index in `holders`, the Unix time of the
// claim in seconds, and 1 if the call is done or else 0.
constexpr size_t kRecordFields = 3;

// The end of the year 9999. Later times are rejected as corrupt, because the
// difference of two times could overflow.
constexpr uint64_t kMaxUnixSeconds = 253'402'300'799;

std::optional<uint64_t> ReadNumber(const json::value& value) {
  std::error_code ec;
  const auto number = value.to_number<uint64_t>(ec);
  return ec ? std::nullopt : std::optional(number);
}

std::optional<ClaimHolder> ParseHolder(const json::value& value) {
  const json::array* fields = value.if_array();
  if (!fields || fields->size() != 2 || !(*fields)[0].is_string()) {
    return std::nullopt;
  }
  const std::optional<uint64_t> incarnation = ReadNumber((*fields)[1]);
  if (!incarnation) {
    return std::nullopt;
  }
  return ClaimHolder{InstanceId(std::string((*fields)[0].get_string())),
                     Incarnation(*incarnation)};
}

std::optional<std::vector<ClaimHolder>> ParseHolders(const json::value* value) {
  if (!value || !value->is_array()) {
    return std::nullopt;
  }
  std::vector<ClaimHolder> holders;
  for (const json::value& row : value->get_array()) {
    std::optional<ClaimHolder> holder = ParseHolder(row);
    if (!holder) {
      return std::nullopt;
    }
    holders.push_back(std::move(*holder));
  }
  return holders;
}

std::optional<ClaimRecord> ParseRecord(
    const json::value& value,
    const std::vector<ClaimHolder>& holders) {
  const json::array* fields = value.if_array();
  if (!fields || fields->size() != kRecordFields) {
    return std::nullopt;
  }
  const std::optional<uint64_t> holder = ReadNumber((*fields)[0]);
  const std::optional<uint64_t> claimed_at = ReadNumber((*fields)[1]);
  const std::optional<uint64_t> done = ReadNumber((*fields)[2]);
  if (!holder || *holder >= holders.size() || !claimed_at ||
      *claimed_at > kMaxUnixSeconds || !done || *done > 1) {
    return std::nullopt;
  }
  return ClaimRecord{holders[*holder].first, holders[*holder].second,
                     UnixSeconds(static_cast<int64_t>(*claimed_at)),
                     *done == 1};
}

// Formats a key hash like a request id, as 32 hexadecimal digits.
std::string FormatKeyHash(const IdempotencyKeyHash& key) {
  return ToString(RequestId{key.high, key.low});
}

std::optional<ClaimRecords> ParseRecords(
    const json::value* value,
    const std::vector<ClaimHolder>& holders) {
  if (!value || !value->is_object()) {
    return std::nullopt;
  }
  ClaimRecords records;
  for (const json::key_value_pair& row : value->get_object()) {
    const std::optional<RequestId> key = ParseRequestId(row.key());
    std::optional<ClaimRecord> record = ParseRecord(row.value(), holders);
    if (!key || !record) {
      return std::nullopt;
    }
    records[{key->high, key->low}] = std::move(*record);
  }
  return records;
}

}  // namespace

std::optional<ClaimRecords> ParseClaimShard(std::string_view text) {
  boost::system::error_code ec;
  const json::value document = json::parse(text, ec);
  const json::object* root = ec ? nullptr : document.if_object();
  if (!root) {
    return std::nullopt;
  }
  const auto holders = ParseHolders(root->if_contains("holders"));
  if (!holders) {
    return std::nullopt;
  }
  return ParseRecords(root->if_contains("records"), *holders);
}

std::string SerializeClaimShard(const ClaimRecords& records) {
  std::map<ClaimHolder, uint64_t> holder_indexes;
  json::array holders;
  json::object record_values;
  for (const auto& [key, record] : records) {
    const ClaimHolder holder{record.holder, record.incarnation};
    auto [it, added] = holder_indexes.try_emplace(holder, holders.size());
    if (added) {
      holders.push_back(
          {holder.first.value(), json::value(holder.second.value())});
    }
    record_values.emplace(FormatKeyHash(key),
                          json::array{it->second, record.claimed_at.count(),
                                      record.done ? 1 : 0});
  }
  return json::serialize(json::object{{"holders", std::move(holders)},
                                      {"records", std::move(record_values)}});
}

}  // namespace burdockhatch
