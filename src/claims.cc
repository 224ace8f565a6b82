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

constexpr uint64_t kKeyHashHighSalt = 0x9ae16a3b2f90404f;
constexpr Duration kKeyExpiryCheckInterval = std::chrono::minutes(1);

const ServiceConfig& CurrentServiceConfig(const AgentTables& tables) {
  static const ServiceConfig fallback;
  if (!tables.config) {
    return fallback;
  }
  auto it = tables.config->services.find(tables.options.service);
  return it == tables.config->services.end() ? fallback : it->second;
}

// The hash covers the client account, so accounts may use equal keys.
IdempotencyKeyHash HashKey(const Offer& offer) {
  std::string text = offer.account.value();
  text.push_back('\0');
  text += offer.key->value();
  const uint64_t low = StableHash(text);
  text.push_back('\0');
  return {MixHash(StableHash(text), kKeyHashHighSalt), low};
}

uint64_t RequestFingerprint(const Offer& offer) {
  return MixHash(MixHash(StableHash(offer.method), StableHash(offer.path)),
                 StableHash(offer.body));
}

ClaimShard& GetShard(AgentTables& tables, const IdempotencyKeyHash& key) {
  const uint32_t count =
      std::max(1u, CurrentServiceConfig(tables).claim_shards);
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

bool IsOwnRecord(const AgentTables& tables, const ClaimRecord& record) {
  return record.holder == tables.options.self.instance &&
         record.incarnation == tables.options.self.incarnation;
}

bool IsExpired(const AgentTables& tables, const ClaimRecord& record) {
  return tables.wall_time - record.claimed_at >
         CurrentServiceConfig(tables).idempotency_retention;
}

// Returns whether an unused claim may be used without renewal. The limit of
// half the retention renews a claim long before another agent, whose wall clock
// may be ahead, can prune its record.
bool IsClaimFresh(const AgentTables& tables, UnixSeconds claimed_at) {
  return tables.wall_time - claimed_at <
         CurrentServiceConfig(tables).idempotency_retention / 2;
}

// Removes ended attempts from the key's waiting list. An ended claim_user is
// removed only while the claim is unused, because a dispatched call may outlive
// its attempt.
void RemoveEndedAttempts(AgentTables& tables,
                         IdempotencyKeyStatus& key_status) {
  std::erase_if(key_status.waiting,
                [&](const AttemptId& id) { return !FindAttempt(tables, id); });
  const bool unused = key_status.state == IdempotencyKeyState::kClaimed &&
                      key_status.claim_user;
  if (unused && !FindAttempt(tables, *key_status.claim_user)) {
    key_status.claim_user.reset();
  }
}

void ForgetKey(AgentTables& tables, const IdempotencyKeyHash& key) {
  tables.claimed_keys.erase(key);
  tables.keys.erase(key);
}

void QueueClaimRequest(AgentTables& tables,
                       const IdempotencyKeyHash& key,
                       IdempotencyKeyStatus& key_status) {
  key_status.state = IdempotencyKeyState::kClaiming;
  key_status.claim_requested_at = tables.now;
  key_status.claim_user.reset();
  tables.claimed_keys.erase(key);
  GetShard(tables, key).wanted_keys.insert(key);
}

// Queues the first waiting attempt of a held claim for dispatch, unless another
// attempt already has the claim.
void QueueNextAttempt(AgentTables& tables, IdempotencyKeyStatus& key_status) {
  RemoveEndedAttempts(tables, key_status);
  if (key_status.claim_user || key_status.waiting.empty()) {
    return;
  }
  key_status.claim_user = key_status.waiting.front();
  key_status.waiting.erase(key_status.waiting.begin());
  AcceptedAttempt& attempt = *FindAttempt(tables, *key_status.claim_user);
  attempt.phase = AttemptPhase::kQueued;
  attempt.queue_deadline =
      std::min(attempt.deadline, tables.now + kMaxQueueWait[0]);
}

void MarkClaimHeld(AgentTables& tables,
                   const IdempotencyKeyHash& key,
                   IdempotencyKeyStatus& key_status,
                   UnixSeconds claimed_at) {
  key_status.state = IdempotencyKeyState::kClaimed;
  key_status.claimed_at = claimed_at;
  key_status.claim_user.reset();
  tables.claimed_keys.insert(key);
  QueueNextAttempt(tables, key_status);
}

void EndWaitingAttempts(AgentTables& tables,
                        IdempotencyKeyStatus& key_status,
                        const AttemptResult& result) {
  RemoveEndedAttempts(tables, key_status);
  for (const AttemptId& id : std::exchange(key_status.waiting, {})) {
    CloseServiceAttempt(tables, id, result);
  }
}

AttemptResult MakeFailureResult(const Failure& failure) {
  AttemptResult result;
  result.failure = failure;
  return result;
}

// Ends an attempt with the stored answer to its key's call, or with kAlreadyRan
// when the answer is no longer stored.
void EndWithStoredAnswer(AgentTables& tables,
                         const AttemptId& id,
                         const IdempotencyKeyStatus& key_status) {
  const ServiceResponse* answer = FindAnswer(tables.answers, key_status.answer);
  if (!answer) {
    CloseServiceAttempt(tables, id,
                        MakeFailureResult({ErrorCode::kAlreadyRan,
                                           Outcome::kRan, Duration(0)}));
    return;
  }
  AttemptResult result;
  result.chunk_count = 1;
  result.http_status = answer->http_status;
  result.content_type = answer->content_type;
  result.answer = key_status.answer;
  CloseServiceAttempt(tables, id, result);
}

// Ends all attempts that wait for a key claimed by another agent or
// incarnation.
void RefuseAttemptsOfForeignClaim(AgentTables& tables,
                                  const IdempotencyKeyHash& key,
                                  IdempotencyKeyStatus& key_status,
                                  const ClaimRecord& record) {
  ++tables.counters.foreign_claims;
  const Failure failure =
      record.done ? Failure{ErrorCode::kAlreadyRan, Outcome::kRan, Duration(0)}
                  : UnknownOutcomeFailure(ErrorCode::kOutcomeUnknown);
  EndWaitingAttempts(tables, key_status, MakeFailureResult(failure));
  ForgetKey(tables, key);
}

// Refuses all attempts that wait for a claim in the shard.
void RefusePendingClaims(AgentTables& tables, ClaimShard& shard) {
  for (const IdempotencyKeyHash& key : std::exchange(shard.wanted_keys, {})) {
    EndWaitingAttempts(
        tables, tables.keys[key],
        MakeFailureResult(NotRunFailure(ErrorCode::kClaimUnavailable)));
    ForgetKey(tables, key);
  }
}

// Resolves the pending claim on one key from the shard's records, if they
// decide it. Returns whether the claim is still pending.
bool ResolvePendingClaim(AgentTables& tables,
                         ClaimShard& shard,
                         const IdempotencyKeyHash& key) {
  IdempotencyKeyStatus& key_status = tables.keys[key];
  RemoveEndedAttempts(tables, key_status);
  if (key_status.waiting.empty()) {
    ForgetKey(tables, key);
    return false;
  }
  auto it = shard.records.find(key);
  if (it == shard.records.end() || IsExpired(tables, it->second)) {
    return true;
  }
  const ClaimRecord& record = it->second;
  if (IsOwnRecord(tables, record)) {
    // A write whose outcome is unknown may still take effect and remove the
    // record. A claim that is not fresh is renewed by the next write.
    if (shard.uncertain_write_version ||
        !IsClaimFresh(tables, record.claimed_at)) {
      return true;
    }
    MarkClaimHeld(tables, key, key_status, record.claimed_at);
    return false;
  }
  // The records are older than this claim request: the holder may have released
  // the key since they were read.
  if (shard.version_requested_at < key_status.claim_requested_at) {
    shard.needs_read = true;
    return true;
  }
  RefuseAttemptsOfForeignClaim(tables, key, key_status, record);
  return false;
}

void ResolvePendingClaims(AgentTables& tables, ClaimShard& shard) {
  std::erase_if(shard.wanted_keys, [&](const IdempotencyKeyHash& key) {
    return !ResolvePendingClaim(tables, shard, key);
  });
}

// Updates the record of an own claim before a write: marks it as done if its
// call was answered. Returns false if the record is to be removed. A held claim
// without attempts is released: its key is removed here, before the write is
// sent, so that no attempt can use the claim while the write may take effect.
bool UpdateOwnRecord(AgentTables& tables,
                     const IdempotencyKeyHash& key,
                     ClaimRecord& record) {
  auto it = tables.keys.find(key);
  if (it == tables.keys.end()) {
    return false;
  }
  IdempotencyKeyStatus& key_status = it->second;
  RemoveEndedAttempts(tables, key_status);
  if (key_status.state == IdempotencyKeyState::kClaimed &&
      !key_status.claim_user && key_status.waiting.empty()) {
    ForgetKey(tables, key);
    return false;
  }
  record.done =
      record.done || key_status.state == IdempotencyKeyState::kAnswered;
  return true;
}

ClaimRecords RetainedRecords(AgentTables& tables, const ClaimShard& shard) {
  ClaimRecords kept;
  for (const auto& [key, record] : shard.records) {
    ClaimRecord copy = record;
    const bool keep =
        !IsExpired(tables, record) &&
        (!IsOwnRecord(tables, record) || UpdateOwnRecord(tables, key, copy));
    if (keep) {
      kept.emplace(key, std::move(copy));
    }
  }
  return kept;
}

// Adds records for the pending claims. Returns whether any was added.
bool AddPendingClaims(const AgentTables& tables,
                      const ClaimShard& shard,
                      ClaimRecords& records) {
  bool added = false;
  const PeerId& self = tables.options.self;
  for (const IdempotencyKeyHash& key : shard.wanted_keys) {
    auto it = records.find(key);
    if (it != records.end() && !IsOwnRecord(tables, it->second)) {
      continue;
    }
    records[key] = {self.instance, self.incarnation, tables.wall_time, false};
    added = true;
  }
  return added;
}

void SendShardRead(AgentTables& tables, ClaimShard& shard) {
  shard.outstanding_operation = ShardOperation::kRead;
  shard.operation_sent_at = tables.now;
  shard.needs_read = false;
  EmitAction(tables, ReadObject{shard.name});
}

void SendShardWrite(AgentTables& tables, ClaimShard& shard) {
  ClaimRecords records = RetainedRecords(tables, shard);
  if (!AddPendingClaims(tables, shard, records)) {
    return;
  }
  std::string value = SerializeClaimShard(records);
  if (value.size() > kMaxClaimShardBytes) {
    RefusePendingClaims(tables, shard);
    return;
  }
  shard.outstanding_operation = ShardOperation::kWrite;
  shard.operation_sent_at = tables.now;
  shard.next_write_at = tables.now + kClaimWriteInterval;
  shard.pending_records = std::move(records);
  EmitAction(tables, UpdateObject{shard.name, shard.version, std::move(value)});
}

// Resolves pending claims from the loaded records and sends the next read or
// write of the shard when it is due.
void ProcessShard(AgentTables& tables, ClaimShard& shard) {
  if (shard.outstanding_operation != ShardOperation::kNone) {
    return;
  }
  if (shard.loaded && !shard.wanted_keys.empty()) {
    ResolvePendingClaims(tables, shard);
  }
  if (shard.wanted_keys.empty() || tables.now < shard.next_operation_at) {
    return;
  }
  if (!shard.loaded || shard.needs_read) {
    SendShardRead(tables, shard);
  } else if (tables.now >= shard.next_write_at) {
    SendShardWrite(tables, shard);
  }
}

void BackOffShard(AgentTables& tables, ClaimShard& shard) {
  shard.backoff =
      std::clamp(shard.backoff * 2, kMinClaimBackoff, kMaxClaimBackoff);
  shard.next_operation_at = tables.now + shard.backoff;
}

void StoreRecords(ClaimShard& shard,
                  ObjectVersion version,
                  ClaimRecords records) {
  shard.loaded = true;
  shard.version = version;
  shard.records = std::move(records);
  shard.version_requested_at = shard.operation_sent_at;
  shard.backoff = Duration(0);
  if (shard.uncertain_write_version &&
      version > *shard.uncertain_write_version) {
    shard.uncertain_write_version.reset();
  }
}

// Removes keys of completed calls whose retention has expired.
void RemoveExpiredKeys(AgentTables& tables) {
  if (tables.now < tables.next_key_expiry_check_at) {
    return;
  }
  tables.next_key_expiry_check_at = tables.now + kKeyExpiryCheckInterval;
  const auto retention = CurrentServiceConfig(tables).idempotency_retention;
  std::erase_if(tables.keys, [&](const auto& row) {
    const IdempotencyKeyStatus& key_status = row.second;
    return (key_status.state == IdempotencyKeyState::kAnswered ||
            key_status.state == IdempotencyKeyState::kUncertain) &&
           tables.wall_time - key_status.claimed_at > retention;
  });
}

// Returns whether the key is in use by a request with another method, path or
// body.
bool IsKeyUsedByOtherRequest(const IdempotencyKeyStatus& key_status,
                             uint64_t fingerprint) {
  const bool in_use = key_status.claim_user || !key_status.waiting.empty() ||
                      key_status.state == IdempotencyKeyState::kInFlight ||
                      key_status.state == IdempotencyKeyState::kAnswered ||
                      key_status.state == IdempotencyKeyState::kUncertain;
  return in_use && key_status.fingerprint != fingerprint;
}

void HandleAttemptByKeyState(AgentTables& tables,
                             const IdempotencyKeyHash& key,
                             IdempotencyKeyStatus& key_status,
                             const AttemptId& id) {
  switch (key_status.state) {
    case IdempotencyKeyState::kAnswered:
      EndWithStoredAnswer(tables, id, key_status);
      return;
    case IdempotencyKeyState::kUncertain:
      CloseServiceAttempt(
          tables, id,
          MakeFailureResult(UnknownOutcomeFailure(ErrorCode::kOutcomeUnknown)));
      return;
    case IdempotencyKeyState::kClaimed:
      key_status.waiting.push_back(id);
      if (!IsClaimFresh(tables, key_status.claimed_at) &&
          !key_status.claim_user) {
        QueueClaimRequest(tables, key, key_status);
      }
      return;
    case IdempotencyKeyState::kInFlight:
    case IdempotencyKeyState::kClaiming:
      key_status.waiting.push_back(id);
      return;
  }
}

}  // namespace

void RequestClaim(AgentTables& tables, const AttemptId& id) {
  AcceptedAttempt& attempt = *FindAttempt(tables, id);
  const IdempotencyKeyHash key = HashKey(attempt.offer);
  const uint64_t fingerprint = RequestFingerprint(attempt.offer);
  attempt.key = key;
  attempt.phase = AttemptPhase::kAwaitingClaim;
  auto [it, added] = tables.keys.try_emplace(key);
  IdempotencyKeyStatus& key_status = it->second;
  if (added) {
    QueueClaimRequest(tables, key, key_status);
  } else {
    RemoveEndedAttempts(tables, key_status);
  }
  if (IsKeyUsedByOtherRequest(key_status, fingerprint)) {
    CloseAsNotRun(tables, id, ErrorCode::kInvalidRequest);
    return;
  }
  key_status.fingerprint = fingerprint;
  HandleAttemptByKeyState(tables, key, key_status, id);
}

bool ConsumeClaim(AgentTables& tables, AcceptedAttempt& attempt) {
  auto it = tables.keys.find(*attempt.key);
  if (it == tables.keys.end() ||
      it->second.state != IdempotencyKeyState::kClaimed ||
      it->second.claim_user != attempt.id) {
    CloseAsNotRun(tables, attempt.id, ErrorCode::kClaimUnavailable);
    return false;
  }
  IdempotencyKeyStatus& key_status = it->second;
  if (!IsClaimFresh(tables, key_status.claimed_at)) {
    attempt.phase = AttemptPhase::kAwaitingClaim;
    key_status.waiting.insert(key_status.waiting.begin(), attempt.id);
    QueueClaimRequest(tables, *attempt.key, key_status);
    return false;
  }
  key_status.state = IdempotencyKeyState::kInFlight;
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
  IdempotencyKeyStatus& key_status = tables.keys[key];
  if (result.failure.outcome == Outcome::kNotRun) {
    // The service did not receive the call, so the claim may be used again.
    MarkClaimHeld(tables, key, key_status, key_status.claimed_at);
    return;
  }
  key_status.claim_user.reset();
  const bool answered = result.failure.code == ErrorCode::kNone;
  key_status.state = answered ? IdempotencyKeyState::kAnswered
                              : IdempotencyKeyState::kUncertain;
  key_status.answer = result.answer;
  EndWaitingAttempts(tables, key_status, result);
}

void ProcessClaims(AgentTables& tables) {
  for (const IdempotencyKeyHash& key : tables.claimed_keys) {
    QueueNextAttempt(tables, tables.keys[key]);
  }
  for (auto& [index, shard] : tables.shards) {
    ProcessShard(tables, shard);
  }
  RemoveExpiredKeys(tables);
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
    StoreRecords(*shard, ObjectVersion(0), {});
    return;
  }
  if (reply.status != ObjectStatus::kOk) {
    shard->needs_read = true;
    BackOffShard(tables, *shard);
    return;
  }
  std::optional<ClaimRecords> records = ParseClaimShard(reply.value);
  if (!records) {
    RefusePendingClaims(tables, *shard);
    shard->loaded = false;
    BackOffShard(tables, *shard);
    return;
  }
  StoreRecords(*shard, reply.version, std::move(*records));
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
      StoreRecords(*shard, reply.version, std::move(shard->pending_records));
      return;
    case ObjectStatus::kConflict:
    case ObjectStatus::kNotFound:
      ++tables.counters.claim_conflicts;
      shard->needs_read = true;
      return;
    case ObjectStatus::kThrottled:
    case ObjectStatus::kNotSent:
      BackOffShard(tables, *shard);
      return;
    case ObjectStatus::kUnknown:
    case ObjectStatus::kNotModified:
      shard->uncertain_write_version = shard->version;
      shard->needs_read = true;
      BackOffShard(tables, *shard);
      return;
  }
}

}  // namespace burdockhatch
