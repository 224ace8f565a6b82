#include "src/claims.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "src/admission.h"
#include "src/claim_shard.h"
#include "src/dispatch.h"
#include "src/random.h"
#include "src/rendezvous.h"

namespace burdockhatch {

namespace {

constexpr uint64_t kHighSalt = 0x9ae16a3b2f90404f;
constexpr Duration kKeySweepInterval = std::chrono::minutes(1);

const ServiceConfig& ServiceOf(const AgentTables& tables) {
  static const ServiceConfig fallback;
  if (!tables.config) {
    return fallback;
  }
  auto it = tables.config->services.find(tables.options.service);
  return it == tables.config->services.end() ? fallback : it->second;
}

// Keys of different client accounts never meet.
IdempotencyKeyHash HashOf(const Offer& offer) {
  std::string text = offer.account.value();
  text.push_back('\0');
  text += offer.key->value();
  const uint64_t low = StableHash(text);
  text.push_back('\0');
  return {MixHash(StableHash(text), kHighSalt), low};
}

uint64_t FingerprintOf(const Offer& offer) {
  return MixHash(MixHash(StableHash(offer.method), StableHash(offer.path)),
                 StableHash(offer.body));
}

ClaimShard& ShardOf(AgentTables& tables, const IdempotencyKeyHash& key) {
  const uint32_t count = std::max(1u, ServiceOf(tables).claim_shards);
  const auto index = static_cast<uint32_t>(key.low % count);
  ClaimShard& shard = tables.shards[index];
  if (shard.name.kind.empty()) {
    shard.name = {"claims",
                  fmt::format("{}/{}", tables.options.service.value(), index)};
  }
  return shard;
}

ClaimShard* FindShard(AgentTables& tables, const ObjectName& name) {
  for (auto& [index, shard] : tables.shards) {
    if (shard.name == name) {
      return &shard;
    }
  }
  return nullptr;
}

bool IsOwn(const AgentTables& tables, const ClaimRecord& record) {
  return record.holder == tables.options.self.instance &&
         record.incarnation == tables.options.self.incarnation;
}

bool IsExpired(const AgentTables& tables, const ClaimRecord& record) {
  return tables.wall_time - record.claimed_at >
         ServiceOf(tables).idempotency_retention;
}

// An unused claim is renewed long before another agent, whose wall clock may be
// ahead, can prune it.
bool IsFresh(const AgentTables& tables, UnixSeconds claimed_at) {
  return tables.wall_time - claimed_at <
         ServiceOf(tables).idempotency_retention / 2;
}

// Drops attempts that are over from the list of a key.
void DropEnded(AgentTables& tables, IdempotencyKeyEntry& entry) {
  std::erase_if(entry.waiting,
                [&](const AttemptId& id) { return !FindAttempt(tables, id); });
  const bool unused =
      entry.state == IdempotencyKeyState::kClaimed && entry.claim_user;
  if (unused && !FindAttempt(tables, *entry.claim_user)) {
    entry.claim_user.reset();
  }
}

void ForgetKey(AgentTables& tables, const IdempotencyKeyHash& key) {
  tables.claimed_keys.erase(key);
  tables.keys.erase(key);
}

void WantClaim(AgentTables& tables,
               const IdempotencyKeyHash& key,
               IdempotencyKeyEntry& entry) {
  entry.state = IdempotencyKeyState::kClaiming;
  entry.claim_requested_at = tables.now;
  entry.claim_user.reset();
  tables.claimed_keys.erase(key);
  ShardOf(tables, key).wanted_keys.insert(key);
}

// Queues the first waiting attempt of a held claim for dispatch.
void GiveClaim(AgentTables& tables, IdempotencyKeyEntry& entry) {
  DropEnded(tables, entry);
  if (entry.claim_user || entry.waiting.empty()) {
    return;
  }
  entry.claim_user = entry.waiting.front();
  entry.waiting.erase(entry.waiting.begin());
  AcceptedAttempt& attempt = *FindAttempt(tables, *entry.claim_user);
  attempt.phase = AttemptPhase::kQueued;
  attempt.queue_deadline =
      std::min(attempt.deadline, tables.now + kMaxQueueWait[0]);
}

void HoldClaim(AgentTables& tables,
               const IdempotencyKeyHash& key,
               IdempotencyKeyEntry& entry,
               UnixSeconds claimed_at) {
  entry.state = IdempotencyKeyState::kClaimed;
  entry.claimed_at = claimed_at;
  entry.claim_user.reset();
  tables.claimed_keys.insert(key);
  GiveClaim(tables, entry);
}

void EndWaiting(AgentTables& tables,
                IdempotencyKeyEntry& entry,
                const AttemptResult& result) {
  DropEnded(tables, entry);
  for (const AttemptId& id : std::exchange(entry.waiting, {})) {
    CloseServiceAttempt(tables, id, result);
  }
}

AttemptResult EndingOf(const Failure& failure) {
  AttemptResult result;
  result.failure = failure;
  return result;
}

// Ends an attempt with what is known of its key's call.
void EndWithStored(AgentTables& tables,
                   const AttemptId& id,
                   const IdempotencyKeyEntry& entry) {
  const ServiceAnswer* answer = FindAnswer(tables.answers, entry.answer);
  if (!answer) {
    CloseServiceAttempt(
        tables, id,
        EndingOf({ErrorCode::kAlreadyRan, Outcome::kRan, Duration(0)}));
    return;
  }
  AttemptResult result;
  result.chunk_count = 1;
  result.http_status = answer->http_status;
  result.content_type = answer->content_type;
  result.answer = entry.answer;
  CloseServiceAttempt(tables, id, result);
}

// Refuses what waits for a key that another holder has claimed.
void RefuseForeign(AgentTables& tables,
                   const IdempotencyKeyHash& key,
                   IdempotencyKeyEntry& entry,
                   const ClaimRecord& record) {
  ++tables.counters.foreign_claims;
  const Failure failure =
      record.done ? Failure{ErrorCode::kAlreadyRan, Outcome::kRan, Duration(0)}
                  : UnknownOutcomeFailure(ErrorCode::kOutcomeUnknown);
  EndWaiting(tables, entry, EndingOf(failure));
  ForgetKey(tables, key);
}

// Refuses all that waits for a claim in the shard.
void RefuseWanting(AgentTables& tables, ClaimShard& shard) {
  for (const IdempotencyKeyHash& key : std::exchange(shard.wanted_keys, {})) {
    EndWaiting(tables, tables.keys[key],
               EndingOf(NotRunFailure(ErrorCode::kClaimUnavailable)));
    ForgetKey(tables, key);
  }
}

// Applies the shard's records to one key. Returns whether it is still wanted.
bool ApplyRecord(AgentTables& tables,
                 ClaimShard& shard,
                 const IdempotencyKeyHash& key) {
  IdempotencyKeyEntry& entry = tables.keys[key];
  DropEnded(tables, entry);
  if (entry.waiting.empty()) {
    ForgetKey(tables, key);
    return false;
  }
  auto it = shard.records.find(key);
  if (it == shard.records.end() || IsExpired(tables, it->second)) {
    return true;
  }
  const ClaimRecord& record = it->second;
  if (IsOwn(tables, record)) {
    // While a write without an answer may still take effect, the record may
    // be about to go.
    if (shard.uncertain_write_version || !IsFresh(tables, record.claimed_at)) {
      return true;
    }
    HoldClaim(tables, key, entry, record.claimed_at);
    return false;
  }
  // The holder may have released the key since the records were read.
  if (shard.read_at < entry.claim_requested_at) {
    shard.needs_read = true;
    return true;
  }
  RefuseForeign(tables, key, entry, record);
  return false;
}

void ApplyRecords(AgentTables& tables, ClaimShard& shard) {
  std::erase_if(shard.wanted_keys, [&](const IdempotencyKeyHash& key) {
    return !ApplyRecord(tables, shard, key);
  });
}

// Decides whether an own record stays in the shard, and marks it when its call
// is done. A claim that no call waits for is released; it is forgotten here,
// before the write is sent.
bool KeepOwn(AgentTables& tables,
             const IdempotencyKeyHash& key,
             ClaimRecord& record) {
  auto it = tables.keys.find(key);
  if (it == tables.keys.end()) {
    return false;
  }
  IdempotencyKeyEntry& entry = it->second;
  DropEnded(tables, entry);
  if (entry.state == IdempotencyKeyState::kClaimed && !entry.claim_user &&
      entry.waiting.empty()) {
    ForgetKey(tables, key);
    return false;
  }
  record.done = record.done || entry.state == IdempotencyKeyState::kAnswered;
  return true;
}

ClaimRecords KeptRecords(AgentTables& tables, const ClaimShard& shard) {
  ClaimRecords kept;
  for (const auto& [key, record] : shard.records) {
    ClaimRecord copy = record;
    const bool keep = !IsExpired(tables, record) &&
                      (!IsOwn(tables, record) || KeepOwn(tables, key, copy));
    if (keep) {
      kept.emplace(key, std::move(copy));
    }
  }
  return kept;
}

// Adds claims for the wanted keys. Returns whether there is any.
bool AddClaims(const AgentTables& tables,
               const ClaimShard& shard,
               ClaimRecords& records) {
  bool added = false;
  const PeerId& self = tables.options.self;
  for (const IdempotencyKeyHash& key : shard.wanted_keys) {
    auto it = records.find(key);
    if (it != records.end() && !IsOwn(tables, it->second)) {
      continue;
    }
    records[key] = {self.instance, self.incarnation, tables.wall_time, false};
    added = true;
  }
  return added;
}

void SendRead(AgentTables& tables, ClaimShard& shard) {
  shard.outstanding_operation = ShardOperation::kRead;
  shard.asked_at = tables.now;
  shard.needs_read = false;
  EmitAction(tables, ReadObject{shard.name});
}

void SendWrite(AgentTables& tables, ClaimShard& shard) {
  ClaimRecords records = KeptRecords(tables, shard);
  if (!AddClaims(tables, shard, records)) {
    return;
  }
  std::string value = SerializeClaimShard(records);
  if (value.size() > kMaxClaimShardBytes) {
    RefuseWanting(tables, shard);
    return;
  }
  shard.outstanding_operation = ShardOperation::kWrite;
  shard.asked_at = tables.now;
  shard.next_write_at = tables.now + kClaimWriteInterval;
  shard.pending_records = std::move(records);
  EmitAction(tables, UpdateObject{shard.name, shard.version, std::move(value)});
}

// Sends the next request on the shard that is due, if any.
void RunShard(AgentTables& tables, ClaimShard& shard) {
  if (shard.outstanding_operation != ShardOperation::kNone) {
    return;
  }
  if (shard.loaded && !shard.wanted_keys.empty()) {
    ApplyRecords(tables, shard);
  }
  if (shard.wanted_keys.empty() || tables.now < shard.next_operation_at) {
    return;
  }
  if (!shard.loaded || shard.needs_read) {
    SendRead(tables, shard);
  } else if (tables.now >= shard.next_write_at) {
    SendWrite(tables, shard);
  }
}

void BackOff(AgentTables& tables, ClaimShard& shard) {
  shard.backoff =
      std::clamp(shard.backoff * 2, kMinClaimBackoff, kMaxClaimBackoff);
  shard.next_operation_at = tables.now + shard.backoff;
}

void TakeRecords(ClaimShard& shard,
                 ObjectVersion version,
                 ClaimRecords records) {
  shard.loaded = true;
  shard.version = version;
  shard.records = std::move(records);
  shard.read_at = shard.asked_at;
  shard.backoff = Duration(0);
  if (shard.uncertain_write_version &&
      version > *shard.uncertain_write_version) {
    shard.uncertain_write_version.reset();
  }
}

// Forgets calls whose retention is over.
void SweepKeys(AgentTables& tables) {
  if (tables.now < tables.next_key_sweep_at) {
    return;
  }
  tables.next_key_sweep_at = tables.now + kKeySweepInterval;
  const auto retention = ServiceOf(tables).idempotency_retention;
  std::erase_if(tables.keys, [&](const auto& row) {
    const IdempotencyKeyEntry& entry = row.second;
    return (entry.state == IdempotencyKeyState::kAnswered ||
            entry.state == IdempotencyKeyState::kUncertain) &&
           tables.wall_time - entry.claimed_at > retention;
  });
}

// Whether the key was used before with another request.
bool IsOtherRequest(const IdempotencyKeyEntry& entry, uint64_t fingerprint) {
  const bool in_use = entry.claim_user || !entry.waiting.empty() ||
                      entry.state == IdempotencyKeyState::kInFlight ||
                      entry.state == IdempotencyKeyState::kAnswered ||
                      entry.state == IdempotencyKeyState::kUncertain;
  return in_use && entry.fingerprint != fingerprint;
}

void JoinKey(AgentTables& tables,
             const IdempotencyKeyHash& key,
             IdempotencyKeyEntry& entry,
             const AttemptId& id) {
  switch (entry.state) {
    case IdempotencyKeyState::kAnswered:
      EndWithStored(tables, id, entry);
      return;
    case IdempotencyKeyState::kUncertain:
      CloseServiceAttempt(
          tables, id,
          EndingOf(UnknownOutcomeFailure(ErrorCode::kOutcomeUnknown)));
      return;
    case IdempotencyKeyState::kClaimed:
      entry.waiting.push_back(id);
      if (!IsFresh(tables, entry.claimed_at) && !entry.claim_user) {
        WantClaim(tables, key, entry);
      }
      return;
    case IdempotencyKeyState::kInFlight:
    case IdempotencyKeyState::kClaiming:
      entry.waiting.push_back(id);
      return;
  }
}

}  // namespace

void RequestClaim(AgentTables& tables, const AttemptId& id) {
  AcceptedAttempt& attempt = *FindAttempt(tables, id);
  const IdempotencyKeyHash key = HashOf(attempt.offer);
  const uint64_t fingerprint = FingerprintOf(attempt.offer);
  attempt.key = key;
  attempt.phase = AttemptPhase::kAwaitingClaim;
  auto [it, added] = tables.keys.try_emplace(key);
  IdempotencyKeyEntry& entry = it->second;
  if (added) {
    WantClaim(tables, key, entry);
  } else {
    DropEnded(tables, entry);
  }
  if (IsOtherRequest(entry, fingerprint)) {
    CloseAsNotRun(tables, id, ErrorCode::kInvalidRequest);
    return;
  }
  entry.fingerprint = fingerprint;
  JoinKey(tables, key, entry, id);
}

bool ConsumeClaim(AgentTables& tables, AcceptedAttempt& attempt) {
  auto it = tables.keys.find(*attempt.key);
  if (it == tables.keys.end() ||
      it->second.state != IdempotencyKeyState::kClaimed ||
      it->second.claim_user != attempt.id) {
    CloseAsNotRun(tables, attempt.id, ErrorCode::kClaimUnavailable);
    return false;
  }
  IdempotencyKeyEntry& entry = it->second;
  if (!IsFresh(tables, entry.claimed_at)) {
    attempt.phase = AttemptPhase::kAwaitingClaim;
    entry.waiting.insert(entry.waiting.begin(), attempt.id);
    WantClaim(tables, *attempt.key, entry);
    return false;
  }
  entry.state = IdempotencyKeyState::kInFlight;
  tables.claimed_keys.erase(*attempt.key);
  tables.keyed_calls[attempt.id] = *attempt.key;
  return true;
}

bool HasJoinedCall(const AgentTables& tables, const AcceptedAttempt& attempt) {
  if (!attempt.key || attempt.phase != AttemptPhase::kAwaitingClaim) {
    return false;
  }
  auto it = tables.keys.find(*attempt.key);
  return it != tables.keys.end() &&
         it->second.state == IdempotencyKeyState::kInFlight;
}

void EndKeyedCall(AgentTables& tables,
                  const AttemptId& id,
                  const AttemptResult& result) {
  auto call = tables.keyed_calls.find(id);
  if (call == tables.keyed_calls.end()) {
    return;
  }
  const IdempotencyKeyHash key = call->second;
  tables.keyed_calls.erase(call);
  IdempotencyKeyEntry& entry = tables.keys[key];
  if (result.failure.outcome == Outcome::kNotRun) {
    // Nothing was written to the service, so the claim is unused again.
    HoldClaim(tables, key, entry, entry.claimed_at);
    return;
  }
  entry.claim_user.reset();
  const bool answered = result.failure.code == ErrorCode::kNone;
  entry.state = answered ? IdempotencyKeyState::kAnswered
                         : IdempotencyKeyState::kUncertain;
  entry.answer = result.answer;
  EndWaiting(tables, entry, result);
}

void ProcessClaims(AgentTables& tables) {
  for (const IdempotencyKeyHash& key : tables.claimed_keys) {
    GiveClaim(tables, tables.keys[key]);
  }
  for (auto& [index, shard] : tables.shards) {
    RunShard(tables, shard);
  }
  SweepKeys(tables);
}

void OnClaimShardRead(AgentTables& tables,
                      const ObjectName& name,
                      const ObjectReply& reply) {
  ClaimShard* shard = FindShard(tables, name);
  if (!shard || shard->outstanding_operation != ShardOperation::kRead) {
    return;
  }
  shard->outstanding_operation = ShardOperation::kNone;
  if (reply.status == ObjectStatus::kNotFound) {
    TakeRecords(*shard, ObjectVersion(0), {});
    return;
  }
  if (reply.status != ObjectStatus::kOk) {
    shard->needs_read = true;
    BackOff(tables, *shard);
    return;
  }
  std::optional<ClaimRecords> records = ParseClaimShard(reply.value);
  if (!records) {
    RefuseWanting(tables, *shard);
    shard->loaded = false;
    BackOff(tables, *shard);
    return;
  }
  TakeRecords(*shard, reply.version, std::move(*records));
}

void OnClaimShardWritten(AgentTables& tables,
                         const ObjectName& name,
                         const ObjectReply& reply) {
  ClaimShard* shard = FindShard(tables, name);
  if (!shard || shard->outstanding_operation != ShardOperation::kWrite) {
    return;
  }
  shard->outstanding_operation = ShardOperation::kNone;
  shard->next_write_at = tables.now + kClaimWriteInterval;
  switch (reply.status) {
    case ObjectStatus::kOk:
      ++shard->writes;
      TakeRecords(*shard, reply.version, std::move(shard->pending_records));
      return;
    case ObjectStatus::kConflict:
    case ObjectStatus::kNotFound:
      ++tables.counters.claim_conflicts;
      shard->needs_read = true;
      return;
    case ObjectStatus::kThrottled:
    case ObjectStatus::kNotSent:
      BackOff(tables, *shard);
      return;
    case ObjectStatus::kUnknown:
    case ObjectStatus::kNotModified:
      shard->uncertain_write_version = shard->version;
      shard->needs_read = true;
      BackOff(tables, *shard);
      return;
  }
}

}  // namespace burdockhatch
