#include "src/wire.h"

#include <algorithm>
#include <cstring>
#include <optional>
#include <utility>

#include <boost/leaf/error.hpp>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "src/wire.pb.h"

namespace burdockhatch {

namespace {

constexpr char kCodecVersion = 1;
constexpr size_t kChecksumBytes = 8;
constexpr size_t kHeaderBytes = 1 + kChecksumBytes;

uint64_t Checksum(std::string_view payload) {
  return XXH3_64bits(payload.data(), payload.size());
}

// --- Encoding -------------------------------------------------------------

void EncodePart(const PeerId& from, wire::Peer* to) {
  to->set_instance(from.instance.value());
  to->set_incarnation(from.incarnation.value());
}

void EncodePart(const AttemptId& from, wire::Attempt* to) {
  to->set_request_high(from.request.high);
  to->set_request_low(from.request.low);
  to->set_number(from.number.value());
}

void EncodePart(const Failure& from, wire::Failure* to) {
  to->set_code(static_cast<uint32_t>(from.code));
  to->set_outcome(static_cast<uint32_t>(from.outcome));
  to->set_retry_after_us(from.retry_after.count());
}

void EncodePart(const AgentState& from, wire::AgentState* to) {
  to->set_sequence(from.sequence);
  to->set_target(from.target.value());
  to->set_data_centre(from.data_centre.value());
  to->set_model(from.model.value());
  to->set_service(from.service.value());
  to->set_ready(from.ready);
  to->set_draining(from.draining);
  to->set_withdrawn(from.withdrawn);
  to->set_engine(from.engine.value());
  to->set_memory_total(from.memory_total.value());
  to->set_memory_free(from.memory_free.value());
  to->set_warm_budget(from.warm_budget.value());
  to->set_full_budget(from.full_budget.value());
  to->set_in_flight(from.in_flight.value());
  to->set_queued(from.queued.value());
  to->set_running(from.running);
  to->set_waiting(from.waiting);
  to->set_expected_wait_us(from.expected_wait.count());
  to->set_prefill_rate(from.prefill_rate.value());
  to->mutable_cached_prefixes()->Add(from.cached_prefixes.begin(),
                                     from.cached_prefixes.end());
}

void EncodeBody(const Offer& from, wire::Envelope* envelope) {
  wire::Offer* to = envelope->mutable_offer();
  EncodePart(from.attempt, to->mutable_attempt());
  to->set_kind(static_cast<uint32_t>(from.kind));
  to->set_account(from.account.value());
  to->set_model(from.model.value());
  to->set_service(from.service.value());
  to->set_prompt_tokens(from.prompt_tokens.value());
  to->set_max_output_tokens(from.max_output_tokens.value());
  to->mutable_prefix_hashes()->Add(from.prefix_hashes.begin(),
                                   from.prefix_hashes.end());
  to->set_time_left_us(from.time_left.count());
  to->set_repeatable(from.repeatable);
  if (from.key) {
    to->set_key(from.key->value());
  }
  for (const GangMember& it : from.members) {
    wire::GangMember* member = to->add_members();
    EncodePart(it.agent, member->mutable_agent());
    member->set_tokens(it.tokens.value());
  }
  to->set_first_chunk(from.first_chunk);
  to->set_generated_prefix(from.generated_prefix);
  to->set_method(from.method);
  to->set_path(from.path);
  to->set_body(from.body);
}

void EncodeBody(const Cancel& from, wire::Envelope* envelope) {
  EncodePart(from.attempt, envelope->mutable_cancel()->mutable_attempt());
}

void EncodeBody(const Resume& from, wire::Envelope* envelope) {
  wire::Resume* to = envelope->mutable_resume();
  EncodePart(from.attempt, to->mutable_attempt());
  to->set_next_chunk(from.next_chunk);
  to->set_time_left_us(from.time_left.count());
}

void EncodeBody(const Hold& from, wire::Envelope* envelope) {
  wire::Hold* to = envelope->mutable_hold();
  EncodePart(from.attempt, to->mutable_attempt());
  to->set_tokens(from.tokens.value());
  to->set_ttl_us(from.ttl.count());
}

void EncodeBody(const HoldRelease& from, wire::Envelope* envelope) {
  EncodePart(from.attempt, envelope->mutable_hold_release()->mutable_attempt());
}

void EncodeBody(const Subscribe& from, wire::Envelope* envelope) {
  envelope->mutable_subscribe()->set_ttl_us(from.ttl.count());
}

template <class Reply>
void EncodeReply(const Reply& from, wire::Reply* to) {
  EncodePart(from.attempt, to->mutable_attempt());
  to->set_verdict(static_cast<uint32_t>(from.verdict));
  EncodePart(from.failure, to->mutable_failure());
  EncodePart(from.state, to->mutable_state());
}

void EncodeBody(const OfferReply& from, wire::Envelope* envelope) {
  EncodeReply(from, envelope->mutable_offer_reply());
}

void EncodeBody(const HoldReply& from, wire::Envelope* envelope) {
  EncodeReply(from, envelope->mutable_hold_reply());
}

void EncodeBody(const Chunk& from, wire::Envelope* envelope) {
  wire::Chunk* to = envelope->mutable_chunk();
  EncodePart(from.attempt, to->mutable_attempt());
  to->set_index(from.index);
  to->set_tokens(from.tokens);
  to->set_data(from.data);
}

void EncodeBody(const Finish& from, wire::Envelope* envelope) {
  wire::Finish* to = envelope->mutable_finish();
  to->set_failed_at_start(from.failed_at_start);
  EncodePart(from.attempt, to->mutable_attempt());
  to->set_chunk_count(from.chunk_count);
  EncodePart(from.failure, to->mutable_failure());
  to->set_http_status(from.http_status);
  to->set_content_type(from.content_type);
  EncodePart(from.state, to->mutable_state());
}

void EncodeBody(const LoadReport& from, wire::Envelope* envelope) {
  EncodePart(from.state, envelope->mutable_load_report()->mutable_state());
}

void EncodeBody(const Heartbeat& from, wire::Envelope* envelope) {
  wire::Heartbeat* to = envelope->mutable_heartbeat();
  to->set_role(static_cast<uint32_t>(from.role));
  to->set_data_centre(from.data_centre.value());
  to->set_address(from.address);
  to->set_leaving(from.leaving);
}

void EncodeBody(const ConfigPull& from, wire::Envelope* envelope) {
  envelope->mutable_config_pull()->set_have(from.have.value());
}

void EncodeBody(const ConfigPush& from, wire::Envelope* envelope) {
  wire::ConfigPush* to = envelope->mutable_config_push();
  to->set_base(from.base.value());
  to->set_version(from.version.value());
  to->set_document(from.document);
}

void EncodeBody(const Goodbye&, wire::Envelope* envelope) {
  envelope->mutable_goodbye();
}

void EncodeRate(const ClientAccountId& account,
                TokensPerSecond rate,
                wire::AccountRate* to) {
  to->set_account(account.value());
  to->set_tokens_per_second(rate.value());
}

void EncodeBody(const ShareRequest& from, wire::Envelope* envelope) {
  wire::ShareRequest* to = envelope->mutable_share_request();
  to->set_number(from.number);
  for (const AccountDemand& it : from.demands) {
    EncodeRate(it.account, it.demand, to->add_demands());
  }
}

void EncodeBody(const ShareGrant& from, wire::Envelope* envelope) {
  wire::ShareGrant* to = envelope->mutable_share_grant();
  to->set_number(from.number);
  to->set_lease_us(from.lease.count());
  for (const AccountShare& it : from.shares) {
    EncodeRate(it.account, it.share, to->add_shares());
  }
}

void EncodeBody(const TargetList& from, wire::Envelope* envelope) {
  wire::TargetList* to = envelope->mutable_target_list();
  to->set_service(from.service.value());
  to->set_revision(from.revision);
  to->set_epoch(from.epoch.value());
  wire::EngineCost* cost = to->mutable_cost();
  cost->set_slots(from.cost.slots);
  cost->set_memory(from.cost.memory.value());
  cost->set_step_ms(from.cost.step_ms);
  cost->set_step_ms_per_answer(from.cost.step_ms_per_answer);
  cost->set_step_ms_per_1k_context(from.cost.step_ms_per_1k_context);
  cost->set_read_tokens_per_s(from.cost.read_tokens_per_s);
  cost->set_read_ms_per_million_pairs(from.cost.read_ms_per_million_pairs);
  cost->set_steps_per_pass(from.cost.steps_per_pass);
  to->set_cold_requests_per_s(from.cold_requests_per_s);
  for (const TargetDescription& it : from.targets) {
    wire::TargetDescription* target = to->add_targets();
    target->set_target(it.target.value());
    target->set_address(it.address);
    target->set_data_centre(it.data_centre.value());
    target->set_cold_left_us(it.cold_left.count());
    target->set_started_at(it.started_at);
  }
}

template <class Repeated>
void EncodeParts(const PartKeys& from, Repeated* to) {
  for (const PartKey it : from) {
    to->Add(it.value());
  }
}

void EncodeBody(const BlameReport& from, wire::Envelope* envelope) {
  wire::BlameReport* to = envelope->mutable_blame_report();
  for (const BlameRecord& it : from.records) {
    wire::BlameRecord* record = to->add_records();
    EncodeParts(it.parts, record->mutable_parts());
    record->set_was_answered(it.was_answered);
    for (const BlameRecord::Sighting& each : it.sightings) {
      wire::CrashSighting* sighting = record->add_sightings();
      sighting->set_target(each.target);
      sighting->set_weight(each.weight);
      sighting->set_request_age_us(each.request_age.count());
      sighting->set_age_us(each.age.count());
      sighting->set_own_mark(each.own_mark.value());
    }
    record->set_blocks(it.blocks);
    record->set_blocked_left_us(it.blocked_left.count());
    record->set_is_own_mark(it.is_own_mark);
  }
  for (const BlameReport::Answered& it : from.answered) {
    wire::AnsweredPart* answered = to->add_answered();
    answered->set_part(it.part.value());
    answered->set_age_us(it.age.count());
  }
}

void EncodeBody(const SignalReport& from, wire::Envelope* envelope) {
  wire::SignalReport* to = envelope->mutable_signal_report();
  for (const SignalRecord& it : from.records) {
    wire::TargetSignal* record = to->add_records();
    record->set_target(it.target.value());
    record->set_started_at(it.started_at);
    record->set_has_statement(it.has_statement);
    if (it.requests_per_s) {
      record->set_requests_per_s(*it.requests_per_s);
    }
    record->set_statement_age_us(it.statement_age.count());
    record->set_request_age_us(it.request_age.count());
    record->set_is_leaving(it.is_leaving);
    record->set_leaving_age_us(it.leaving_age.count());
    record->set_back_off_left_us(it.back_off_left.count());
  }
}

void EncodeBody(const PlacementAsk& from, wire::Envelope* envelope) {
  wire::PlacementAsk* to = envelope->mutable_placement_ask();
  to->set_number(from.number);
  to->set_service(from.service.value());
  to->set_prompt(from.prompt.value());
  to->set_output(from.output.value());
  to->set_first_event_left_us(from.first_event_left.count());
  to->set_gap_target_us(from.gap_target.count());
  to->set_time_left_us(from.time_left.count());
  for (const TargetId& it : from.excluded) {
    to->add_excluded(it.value());
  }
  to->set_unsettled_left_us(from.unsettled_left.count());
  EncodeParts(from.parts, to->mutable_parts());
  to->set_own_mark(from.own_mark.value());
  if (from.priority) {
    to->set_priority(from.priority->value());
  }
}

void EncodeBody(const FeedPoll& from, wire::Envelope* envelope) {
  wire::FeedPoll* to = envelope->mutable_feed_poll();
  to->set_number(from.number);
  for (const FeedPoll::Known& it : from.known) {
    wire::FeedRevision* known = to->add_known();
    known->set_feed(static_cast<uint32_t>(it.feed));
    known->set_revision(it.revision);
    known->set_epoch(it.epoch.value());
  }
}

void EncodeBody(const FeedProof& from, wire::Envelope* envelope) {
  wire::FeedProof* to = envelope->mutable_feed_proof();
  to->set_poll(from.poll);
  for (const FeedProof::Confirmation& it : from.confirmed) {
    wire::FeedConfirmation* confirmed = to->add_confirmed();
    confirmed->set_feed(static_cast<uint32_t>(it.feed));
    confirmed->set_age_us(it.age.count());
    confirmed->set_last_change(it.last_change);
    confirmed->set_revision(it.revision);
    confirmed->set_epoch(it.epoch.value());
  }
}

void EncodeBody(const FeedDelta& from, wire::Envelope* envelope) {
  wire::FeedDelta* to = envelope->mutable_feed_delta();
  to->set_feed(static_cast<uint32_t>(from.feed));
  to->set_after(from.after);
  to->set_revision(from.revision);
  to->set_body(from.body);
  to->set_epoch(from.epoch.value());
}

template <class Holder>
void EncodeHolds(const std::vector<MemoryHold>& from, Holder* to) {
  for (const MemoryHold& it : from) {
    wire::MemoryHold* hold = to->add_holds();
    hold->set_target(it.target.value());
    hold->set_tokens(it.tokens.value());
  }
}

void EncodeBody(const PlacementReply& from, wire::Envelope* envelope) {
  wire::PlacementReply* to = envelope->mutable_placement_reply();
  to->set_number(from.number);
  to->set_verdict(static_cast<uint32_t>(from.verdict));
  to->set_target(from.target.value());
  for (const TargetId& it : from.helpers) {
    to->add_helpers(it.value());
  }
  to->set_expected_first_event_us(from.expected_first_event.count());
  to->set_retry_after_us(from.retry_after.count());
  to->set_entries(from.entries);
  to->set_list_fingerprint(from.list_fingerprint);
  EncodeHolds(from.holds, to);
}

void EncodeBody(const PlacementChange& from, wire::Envelope* envelope) {
  wire::PlacementChange* to = envelope->mutable_placement_change();
  to->set_number(from.number);
  to->set_event(static_cast<uint32_t>(from.event));
  to->set_failed(from.failed.value());
  to->set_first_event_after_us(from.first_event_after.count());
}

void EncodeBody(const PlacementSnapshot& from, wire::Envelope* envelope) {
  wire::PlacementSnapshot* to = envelope->mutable_placement_snapshot();
  for (const PlacedWork& it : from.works) {
    wire::PlacedWork* work = to->add_works();
    work->set_number(it.number);
    work->set_service(it.service.value());
    work->set_target(it.target.value());
    for (const TargetId& helper : it.helpers) {
      work->add_helpers(helper.value());
    }
    work->set_prompt(it.prompt.value());
    work->set_output(it.output.value());
    work->set_gap_target_us(it.gap_target.count());
    work->set_reading(it.reading);
    EncodeHolds(it.holds, work);
    EncodeParts(it.parts, work->mutable_parts());
    work->set_own_mark(it.own_mark.value());
  }
}

// --- Decoding -------------------------------------------------------------

// Converts the parts of one envelope and records the first error. Callers must
// discard the converted message if error() is set.
class EnvelopeDecoder {
 public:
  std::optional<WireError> error() const { return error_; }

  template <class Id>
  Id ReadRequiredId(const std::string& text) {
    Check(!text.empty(), WireError::kMissingId);
    return ReadOptionalId<Id>(text);
  }

  template <class Id>
  Id ReadOptionalId(const std::string& text) {
    return Id(ReadString(text, kMaxWireIdBytes));
  }

  std::string ReadString(const std::string& text, size_t limit) {
    Check(text.size() <= limit, WireError::kTooLong);
    return text;
  }

  template <class Amount>
  Amount ReadAmount(int64_t value) {
    Check(value >= 0 && value <= kMaxWireAmount, WireError::kBadAmount);
    return Amount(value);
  }

  Duration ReadDuration(int64_t microseconds) {
    Check(microseconds >= 0 && microseconds <= kMaxWireDuration.count(),
          WireError::kBadAmount);
    return Duration(microseconds);
  }

  template <class Enum>
  Enum ReadEnum(uint32_t number, Enum last) {
    const bool known = number <= static_cast<uint32_t>(last);
    Check(known, WireError::kBadEnum);
    return known ? static_cast<Enum>(number) : Enum{};
  }

  void CheckCount(int count, int limit) {
    Check(count <= limit, WireError::kBadCount);
  }

  std::vector<uint64_t> ReadHashes(
      const google::protobuf::RepeatedField<uint64_t>& from,
      int limit) {
    CheckCount(from.size(), limit);
    return {from.begin(), from.end()};
  }

  PeerId ReadPeer(const wire::Peer& from) {
    Check(from.incarnation() != 0, WireError::kMissingId);
    return {ReadRequiredId<InstanceId>(from.instance()),
            Incarnation(from.incarnation())};
  }

  AttemptId ReadAttempt(const wire::Attempt& from) {
    const bool has_request =
        from.request_high() != 0 || from.request_low() != 0;
    Check(has_request && from.number() != 0, WireError::kMissingId);
    return {{from.request_high(), from.request_low()},
            AttemptNumber(from.number())};
  }

  Failure ReadFailure(const wire::Failure& from) {
    Failure to;
    to.code = ReadEnum(from.code(), ErrorCode::kRequestTimeout);
    to.outcome = ReadEnum(from.outcome(), Outcome::kUnknown);
    to.retry_after = ReadDuration(from.retry_after_us());
    return to;
  }

  AgentState ReadState(const wire::AgentState& from) {
    AgentState to;
    to.sequence = from.sequence();
    to.target = ReadRequiredId<TargetId>(from.target());
    to.data_centre = ReadRequiredId<DataCentreId>(from.data_centre());
    to.model = ReadOptionalId<ModelId>(from.model());
    to.service = ReadOptionalId<ServiceId>(from.service());
    to.ready = from.ready();
    to.draining = from.draining();
    to.withdrawn = from.withdrawn();
    to.engine = EngineIncarnation(from.engine());
    to.memory_total = ReadAmount<Tokens>(from.memory_total());
    to.memory_free = ReadAmount<Tokens>(from.memory_free());
    to.warm_budget = ReadAmount<Tokens>(from.warm_budget());
    to.full_budget = ReadAmount<Tokens>(from.full_budget());
    to.in_flight = ReadAmount<Tokens>(from.in_flight());
    to.queued = ReadAmount<Tokens>(from.queued());
    to.running = from.running();
    to.waiting = from.waiting();
    to.expected_wait = ReadDuration(from.expected_wait_us());
    to.prefill_rate = ReadAmount<TokensPerSecond>(from.prefill_rate());
    to.cached_prefixes = ReadHashes(from.cached_prefixes(),
                                    static_cast<int>(kMaxReportedPrefixes));
    return to;
  }

  // Accepts finite numbers from 0 to kMaxWireAmount.
  double ReadNonNegative(double value) {
    const bool valid =
        value >= 0 && value <= static_cast<double>(kMaxWireAmount);
    Check(valid, WireError::kBadAmount);
    return valid ? value : 0;
  }

  template <class Texts>
  std::vector<TargetId> ReadTargets(const Texts& from, int limit) {
    CheckCount(from.size(), limit);
    std::vector<TargetId> to;
    for (const std::string& it : from) {
      to.push_back(ReadRequiredId<TargetId>(it));
    }
    return to;
  }

  EngineCost ReadCost(const wire::EngineCost& from) {
    EngineCost to;
    to.slots = from.slots();
    to.memory = ReadAmount<Tokens>(from.memory());
    to.step_ms = ReadNonNegative(from.step_ms());
    to.step_ms_per_answer = ReadNonNegative(from.step_ms_per_answer());
    to.step_ms_per_1k_context = ReadNonNegative(from.step_ms_per_1k_context());
    to.read_tokens_per_s = ReadNonNegative(from.read_tokens_per_s());
    to.read_ms_per_million_pairs =
        ReadNonNegative(from.read_ms_per_million_pairs());
    to.steps_per_pass = from.steps_per_pass();
    return to;
  }

  TargetList ReadBody(const wire::TargetList& from) {
    TargetList to;
    to.service = ReadRequiredId<ServiceId>(from.service());
    to.revision = from.revision();
    to.epoch = StoreEpoch(from.epoch());
    to.cost = ReadCost(from.cost());
    to.cold_requests_per_s = ReadNonNegative(from.cold_requests_per_s());
    CheckCount(from.targets_size(), kMaxDescribedTargets);
    for (const wire::TargetDescription& it : from.targets()) {
      to.targets.push_back({ReadRequiredId<TargetId>(it.target()),
                            ReadString(it.address(), kMaxWireIdBytes),
                            ReadOptionalId<DataCentreId>(it.data_centre()),
                            ReadDuration(it.cold_left_us()), it.started_at()});
    }
    return to;
  }

  PartKeys ReadParts(const google::protobuf::RepeatedField<uint64_t>& from) {
    PartKeys to;
    for (const uint64_t it :
         ReadHashes(from, static_cast<int>(kMaxPartsOfPrompt))) {
      to.emplace_back(it);
    }
    return to;
  }

  BlameRecord ReadRecord(const wire::BlameRecord& from) {
    BlameRecord to;
    to.parts = ReadParts(from.parts());
    Check(!to.parts.empty(), WireError::kMissingId);
    to.was_answered = from.was_answered();
    CheckCount(from.sightings_size(), static_cast<int>(kMaxBlameSightings));
    for (const wire::CrashSighting& it : from.sightings()) {
      to.sightings.push_back(
          {it.target(), it.weight(), ReadDuration(it.request_age_us()),
           ReadDuration(it.age_us()), PartKey(it.own_mark())});
    }
    to.blocks = from.blocks();
    to.blocked_left = ReadDuration(from.blocked_left_us());
    to.is_own_mark = from.is_own_mark();
    return to;
  }

  BlameReport ReadBody(const wire::BlameReport& from) {
    CheckCount(from.records_size(), static_cast<int>(kMaxBlameRecords));
    CheckCount(from.answered_size(), static_cast<int>(kMaxAnsweredInReport));
    BlameReport to;
    for (const wire::BlameRecord& it : from.records()) {
      to.records.push_back(ReadRecord(it));
    }
    for (const wire::AnsweredPart& it : from.answered()) {
      to.answered.push_back({PartKey(it.part()), ReadDuration(it.age_us())});
    }
    return to;
  }

  SignalRecord ReadRecord(const wire::TargetSignal& from) {
    SignalRecord to;
    to.target = ReadRequiredId<TargetId>(from.target());
    to.started_at = from.started_at();
    to.has_statement = from.has_statement();
    if (from.has_requests_per_s()) {
      to.requests_per_s = ReadNonNegative(from.requests_per_s());
    }
    to.statement_age = ReadDuration(from.statement_age_us());
    to.request_age = ReadDuration(from.request_age_us());
    to.is_leaving = from.is_leaving();
    to.leaving_age = ReadDuration(from.leaving_age_us());
    to.back_off_left = ReadDuration(from.back_off_left_us());
    return to;
  }

  SignalReport ReadBody(const wire::SignalReport& from) {
    CheckCount(from.records_size(), static_cast<int>(kMaxSignalRecords));
    SignalReport to;
    for (const wire::TargetSignal& it : from.records()) {
      to.records.push_back(ReadRecord(it));
    }
    return to;
  }

  PlacementAsk ReadBody(const wire::PlacementAsk& from) {
    PlacementAsk to;
    to.number = from.number();
    to.service = ReadRequiredId<ServiceId>(from.service());
    to.prompt = ReadAmount<Tokens>(from.prompt());
    to.output = ReadAmount<Tokens>(from.output());
    const int64_t left = from.first_event_left_us();
    Check(left >= -kMaxWireDuration.count(), WireError::kBadAmount);
    to.first_event_left = left < 0 ? Duration(left) : ReadDuration(left);
    to.gap_target = ReadDuration(from.gap_target_us());
    to.time_left = ReadDuration(from.time_left_us());
    to.excluded = ReadTargets(from.excluded(), kMaxExcludedTargets);
    to.unsettled_left = ReadDuration(from.unsettled_left_us());
    to.parts = ReadParts(from.parts());
    to.own_mark = PartKey(from.own_mark());
    if (from.has_priority()) {
      to.priority = Priority(static_cast<uint8_t>(
          std::min<uint32_t>(from.priority(), kLeastUrgentPriority.value())));
    }
    return to;
  }

  FeedKind ReadFeed(uint32_t feed) {
    return ReadEnum(feed, FeedKind::kWithdrawals);
  }

  FeedPoll ReadBody(const wire::FeedPoll& from) {
    CheckCount(from.known_size(), kFeedKindCount);
    FeedPoll to;
    to.number = from.number();
    for (const wire::FeedRevision& it : from.known()) {
      to.known.push_back(
          {ReadFeed(it.feed()), it.revision(), StoreEpoch(it.epoch())});
    }
    return to;
  }

  FeedProof ReadBody(const wire::FeedProof& from) {
    CheckCount(from.confirmed_size(), kFeedKindCount);
    FeedProof to;
    to.poll = from.poll();
    for (const wire::FeedConfirmation& it : from.confirmed()) {
      to.confirmed.push_back({ReadFeed(it.feed()), ReadDuration(it.age_us()),
                              it.last_change(), it.revision(),
                              StoreEpoch(it.epoch())});
    }
    return to;
  }

  FeedDelta ReadBody(const wire::FeedDelta& from) {
    return {ReadFeed(from.feed()), from.after(), from.revision(),
            ReadString(from.body(), kMaxWireBodyBytes),
            StoreEpoch(from.epoch())};
  }

  template <class Holds>
  std::vector<MemoryHold> ReadHolds(const Holds& from) {
    CheckCount(from.size(), kMaxHelpers);
    std::vector<MemoryHold> to;
    for (const wire::MemoryHold& it : from) {
      to.push_back({ReadRequiredId<TargetId>(it.target()),
                    ReadAmount<Tokens>(it.tokens())});
    }
    return to;
  }

  PlacementReply ReadBody(const wire::PlacementReply& from) {
    PlacementReply to;
    to.number = from.number();
    to.verdict = ReadEnum(from.verdict(), PlacementVerdict::kBlocked);
    to.target = ReadOptionalId<TargetId>(from.target());
    Check(to.verdict != PlacementVerdict::kPlaced || !to.target.empty(),
          WireError::kMissingId);
    to.helpers = ReadTargets(from.helpers(), kMaxHelpers);
    to.expected_first_event = ReadDuration(from.expected_first_event_us());
    to.retry_after = ReadDuration(from.retry_after_us());
    to.entries = from.entries();
    to.list_fingerprint = from.list_fingerprint();
    to.holds = ReadHolds(from.holds());
    return to;
  }

  PlacementChange ReadBody(const wire::PlacementChange& from) {
    PlacementChange to;
    to.number = from.number();
    to.event = ReadEnum(from.event(), PlacementEvent::kTargetSilent);
    to.failed = ReadOptionalId<TargetId>(from.failed());
    to.first_event_after = ReadDuration(from.first_event_after_us());
    return to;
  }

  PlacementSnapshot ReadBody(const wire::PlacementSnapshot& from) {
    PlacementSnapshot to;
    CheckCount(from.works_size(), kMaxPlacedWorks);
    for (const wire::PlacedWork& it : from.works()) {
      PlacedWork work;
      work.number = it.number();
      work.service = ReadRequiredId<ServiceId>(it.service());
      work.target = ReadRequiredId<TargetId>(it.target());
      work.helpers = ReadTargets(it.helpers(), kMaxHelpers);
      work.prompt = ReadAmount<Tokens>(it.prompt());
      work.output = ReadAmount<Tokens>(it.output());
      work.gap_target = ReadDuration(it.gap_target_us());
      work.reading = it.reading();
      work.holds = ReadHolds(it.holds());
      work.parts = ReadParts(it.parts());
      work.own_mark = PartKey(it.own_mark());
      to.works.push_back(std::move(work));
    }
    return to;
  }

  Offer ReadBody(const wire::Offer& from) {
    Offer to;
    to.attempt = ReadAttempt(from.attempt());
    to.kind = ReadEnum(from.kind(), WorkKind::kServiceCall);
    to.account = ReadOptionalId<ClientAccountId>(from.account());
    to.model = ReadOptionalId<ModelId>(from.model());
    to.service = ReadOptionalId<ServiceId>(from.service());
    const bool names_target = to.kind == WorkKind::kCompletion
                                  ? !to.model.empty()
                                  : !to.service.empty();
    Check(names_target, WireError::kMissingId);
    to.prompt_tokens = ReadAmount<Tokens>(from.prompt_tokens());
    to.max_output_tokens = ReadAmount<Tokens>(from.max_output_tokens());
    to.prefix_hashes = ReadHashes(from.prefix_hashes(), kMaxPrefixHashes);
    to.time_left = ReadDuration(from.time_left_us());
    to.repeatable = from.repeatable();
    if (from.has_key()) {
      to.key = ReadRequiredId<IdempotencyKey>(from.key());
    }
    CheckCount(from.members_size(), kMaxGangSize);
    for (const wire::GangMember& it : from.members()) {
      to.members.push_back(
          {ReadPeer(it.agent()), ReadAmount<Tokens>(it.tokens())});
    }
    to.first_chunk = from.first_chunk();
    to.generated_prefix =
        ReadString(from.generated_prefix(), kMaxWireBodyBytes);
    to.method = ReadString(from.method(), kMaxWireIdBytes);
    to.path = ReadString(from.path(), kMaxWirePathBytes);
    to.body = ReadString(from.body(), kMaxWireBodyBytes);
    return to;
  }

  Resume ReadBody(const wire::Resume& from) {
    return {ReadAttempt(from.attempt()), from.next_chunk(),
            ReadDuration(from.time_left_us())};
  }

  Hold ReadBody(const wire::Hold& from) {
    return {ReadAttempt(from.attempt()), ReadAmount<Tokens>(from.tokens()),
            ReadDuration(from.ttl_us())};
  }

  template <class Reply>
  Reply ReadReply(const wire::Reply& from) {
    Reply to;
    to.attempt = ReadAttempt(from.attempt());
    to.verdict = ReadEnum(from.verdict(), Verdict::kRefused);
    to.failure = ReadFailure(from.failure());
    to.state = ReadState(from.state());
    return to;
  }

  Chunk ReadBody(const wire::Chunk& from) {
    return {ReadAttempt(from.attempt()), from.index(), from.tokens(),
            ReadString(from.data(), kMaxWireBodyBytes)};
  }

  Finish ReadBody(const wire::Finish& from) {
    Finish to;
    to.failed_at_start = from.failed_at_start();
    to.attempt = ReadAttempt(from.attempt());
    to.chunk_count = from.chunk_count();
    to.failure = ReadFailure(from.failure());
    Check(from.http_status() < 1000, WireError::kBadAmount);
    to.http_status = from.http_status();
    to.content_type = ReadString(from.content_type(), kMaxWireIdBytes);
    to.state = ReadState(from.state());
    return to;
  }

  Heartbeat ReadBody(const wire::Heartbeat& from) {
    Heartbeat to;
    to.role = ReadEnum(from.role(), Role::kAgent);
    to.data_centre = ReadOptionalId<DataCentreId>(from.data_centre());
    to.address = ReadString(from.address(), kMaxWireIdBytes);
    to.leaving = from.leaving();
    return to;
  }

  ConfigPush ReadBody(const wire::ConfigPush& from) {
    return {ConfigVersion(from.base()), ConfigVersion(from.version()),
            ReadString(from.document(), kMaxWireBodyBytes)};
  }

  ShareRequest ReadBody(const wire::ShareRequest& from) {
    CheckCount(from.demands_size(), kMaxAccountRates);
    ShareRequest to;
    to.number = from.number();
    for (const wire::AccountRate& it : from.demands()) {
      to.demands.push_back(
          {ReadRequiredId<ClientAccountId>(it.account()),
           ReadAmount<TokensPerSecond>(it.tokens_per_second())});
    }
    return to;
  }

  ShareGrant ReadBody(const wire::ShareGrant& from) {
    CheckCount(from.shares_size(), kMaxAccountRates);
    ShareGrant to;
    to.number = from.number();
    to.lease = ReadDuration(from.lease_us());
    for (const wire::AccountRate& it : from.shares()) {
      to.shares.push_back(
          {ReadRequiredId<ClientAccountId>(it.account()),
           ReadAmount<TokensPerSecond>(it.tokens_per_second())});
    }
    return to;
  }

  MessageBody ReadMessageBody(const wire::Envelope& from) {
    switch (from.body_case()) {
      case wire::Envelope::kOffer:
        return ReadBody(from.offer());
      case wire::Envelope::kCancel:
        return Cancel{ReadAttempt(from.cancel().attempt())};
      case wire::Envelope::kResume:
        return ReadBody(from.resume());
      case wire::Envelope::kHold:
        return ReadBody(from.hold());
      case wire::Envelope::kHoldRelease:
        return HoldRelease{ReadAttempt(from.hold_release().attempt())};
      case wire::Envelope::kSubscribe:
        return Subscribe{ReadDuration(from.subscribe().ttl_us())};
      case wire::Envelope::kOfferReply:
        return ReadReply<OfferReply>(from.offer_reply());
      case wire::Envelope::kHoldReply:
        return ReadReply<HoldReply>(from.hold_reply());
      case wire::Envelope::kChunk:
        return ReadBody(from.chunk());
      case wire::Envelope::kFinish:
        return ReadBody(from.finish());
      case wire::Envelope::kLoadReport:
        return LoadReport{ReadState(from.load_report().state())};
      case wire::Envelope::kHeartbeat:
        return ReadBody(from.heartbeat());
      case wire::Envelope::kConfigPull:
        return ConfigPull{ConfigVersion(from.config_pull().have())};
      case wire::Envelope::kConfigPush:
        return ReadBody(from.config_push());
      case wire::Envelope::kGoodbye:
        return Goodbye{};
      case wire::Envelope::kShareRequest:
        return ReadBody(from.share_request());
      case wire::Envelope::kShareGrant:
        return ReadBody(from.share_grant());
      case wire::Envelope::kTargetList:
        return ReadBody(from.target_list());
      case wire::Envelope::kPlacementAsk:
        return ReadBody(from.placement_ask());
      case wire::Envelope::kPlacementReply:
        return ReadBody(from.placement_reply());
      case wire::Envelope::kPlacementChange:
        return ReadBody(from.placement_change());
      case wire::Envelope::kPlacementSnapshot:
        return ReadBody(from.placement_snapshot());
      case wire::Envelope::kFeedPoll:
        return ReadBody(from.feed_poll());
      case wire::Envelope::kFeedProof:
        return ReadBody(from.feed_proof());
      case wire::Envelope::kFeedDelta:
        return ReadBody(from.feed_delta());
      case wire::Envelope::kBlameReport:
        return ReadBody(from.blame_report());
      case wire::Envelope::kSignalReport:
        return ReadBody(from.signal_report());
      case wire::Envelope::BODY_NOT_SET:
        break;
    }
    Check(false, WireError::kMalformed);
    return Goodbye{};
  }

 private:
  void Check(bool holds, WireError error) {
    if (!holds && !error_) {
      error_ = error;
    }
  }

  std::optional<WireError> error_;
};

}  // namespace

std::string_view ToString(WireError error) {
  switch (error) {
    case WireError::kTruncated:
      return "truncated";
    case WireError::kUnknownVersion:
      return "unknown_version";
    case WireError::kCorrupt:
      return "corrupt";
    case WireError::kMalformed:
      return "malformed";
    case WireError::kMissingId:
      return "missing_id";
    case WireError::kBadAmount:
      return "bad_amount";
    case WireError::kBadCount:
      return "bad_count";
    case WireError::kBadEnum:
      return "bad_enum";
    case WireError::kTooLong:
      return "too_long";
  }
  return "malformed";
}

std::string Encode(const Message& message) {
  wire::Envelope envelope;
  EncodePart(message.sender, envelope.mutable_sender());
  envelope.set_receiver(message.receiver.value());
  envelope.set_config_version(message.config_version.value());
  std::visit([&](const auto& body) { EncodeBody(body, &envelope); },
             message.body);

  std::string bytes(kHeaderBytes, kCodecVersion);
  envelope.AppendToString(&bytes);
  const uint64_t checksum =
      Checksum(std::string_view(bytes).substr(kHeaderBytes));
  std::memcpy(bytes.data() + 1, &checksum, kChecksumBytes);
  return bytes;
}

boost::leaf::result<Message> Decode(std::string_view bytes) {
  if (bytes.size() <= kHeaderBytes) {
    return boost::leaf::new_error(WireError::kTruncated);
  }
  if (bytes[0] != kCodecVersion) {
    return boost::leaf::new_error(WireError::kUnknownVersion);
  }
  uint64_t checksum = 0;
  std::memcpy(&checksum, bytes.data() + 1, kChecksumBytes);
  const std::string_view payload = bytes.substr(kHeaderBytes);
  if (checksum != Checksum(payload)) {
    return boost::leaf::new_error(WireError::kCorrupt);
  }
  return DecodePayload(payload);
}

boost::leaf::result<Message> DecodePayload(std::string_view payload) {
  wire::Envelope envelope;
  constexpr size_t kMaxPayloadBytes = 2 * kMaxWireBodyBytes + (1 << 20);
  if (payload.size() > kMaxPayloadBytes) {
    return boost::leaf::new_error(WireError::kTooLong);
  }
  if (!envelope.ParseFromArray(payload.data(),
                               static_cast<int>(payload.size()))) {
    return boost::leaf::new_error(WireError::kMalformed);
  }
  EnvelopeDecoder decoder;
  Message message;
  message.sender = decoder.ReadPeer(envelope.sender());
  message.receiver = Incarnation(envelope.receiver());
  message.config_version = ConfigVersion(envelope.config_version());
  message.body = decoder.ReadMessageBody(envelope);
  if (decoder.error()) {
    return boost::leaf::new_error(*decoder.error());
  }
  return message;
}

}  // namespace burdockhatch
