#include "src/wire.h"

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
constexpr size_t kChecksumSize = 8;
constexpr size_t kHeaderSize = 1 + kChecksumSize;

uint64_t Checksum(std::string_view payload) {
  return XXH3_64bits(payload.data(), payload.size());
}

// --- Encoding -------------------------------------------------------------

void Put(const PeerId& from, wire::Peer* to) {
  to->set_instance(from.instance.value());
  to->set_incarnation(from.incarnation.value());
}

void Put(const AttemptId& from, wire::Attempt* to) {
  to->set_request_high(from.request.high);
  to->set_request_low(from.request.low);
  to->set_number(from.number.value());
}

void Put(const Failure& from, wire::Failure* to) {
  to->set_code(static_cast<uint32_t>(from.code));
  to->set_outcome(static_cast<uint32_t>(from.outcome));
  to->set_retry_after_us(from.retry_after.count());
}

void Put(const AgentState& from, wire::AgentState* to) {
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

void PutBody(const Offer& from, wire::Envelope* envelope) {
  wire::Offer* to = envelope->mutable_offer();
  Put(from.attempt, to->mutable_attempt());
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
    Put(it.agent, member->mutable_agent());
    member->set_tokens(it.tokens.value());
  }
  to->set_first_chunk(from.first_chunk);
  to->set_generated_prefix(from.generated_prefix);
  to->set_method(from.method);
  to->set_path(from.path);
  to->set_body(from.body);
}

void PutBody(const Cancel& from, wire::Envelope* envelope) {
  Put(from.attempt, envelope->mutable_cancel()->mutable_attempt());
}

void PutBody(const Resume& from, wire::Envelope* envelope) {
  wire::Resume* to = envelope->mutable_resume();
  Put(from.attempt, to->mutable_attempt());
  to->set_next_chunk(from.next_chunk);
  to->set_time_left_us(from.time_left.count());
}

void PutBody(const Hold& from, wire::Envelope* envelope) {
  wire::Hold* to = envelope->mutable_hold();
  Put(from.attempt, to->mutable_attempt());
  to->set_tokens(from.tokens.value());
  to->set_ttl_us(from.ttl.count());
}

void PutBody(const HoldRelease& from, wire::Envelope* envelope) {
  Put(from.attempt, envelope->mutable_hold_release()->mutable_attempt());
}

void PutBody(const Subscribe& from, wire::Envelope* envelope) {
  envelope->mutable_subscribe()->set_ttl_us(from.ttl.count());
}

template <class Reply>
void PutReply(const Reply& from, wire::Reply* to) {
  Put(from.attempt, to->mutable_attempt());
  to->set_verdict(static_cast<uint32_t>(from.verdict));
  Put(from.failure, to->mutable_failure());
  Put(from.state, to->mutable_state());
}

void PutBody(const OfferReply& from, wire::Envelope* envelope) {
  PutReply(from, envelope->mutable_offer_reply());
}

void PutBody(const HoldReply& from, wire::Envelope* envelope) {
  PutReply(from, envelope->mutable_hold_reply());
}

void PutBody(const Chunk& from, wire::Envelope* envelope) {
  wire::Chunk* to = envelope->mutable_chunk();
  Put(from.attempt, to->mutable_attempt());
  to->set_index(from.index);
  to->set_tokens(from.tokens);
  to->set_data(from.data);
}

void PutBody(const Finish& from, wire::Envelope* envelope) {
  wire::Finish* to = envelope->mutable_finish();
  Put(from.attempt, to->mutable_attempt());
  to->set_chunk_count(from.chunk_count);
  Put(from.failure, to->mutable_failure());
  to->set_http_status(from.http_status);
  to->set_content_type(from.content_type);
  Put(from.state, to->mutable_state());
}

void PutBody(const LoadReport& from, wire::Envelope* envelope) {
  Put(from.state, envelope->mutable_load_report()->mutable_state());
}

void PutBody(const Heartbeat& from, wire::Envelope* envelope) {
  wire::Heartbeat* to = envelope->mutable_heartbeat();
  to->set_role(static_cast<uint32_t>(from.role));
  to->set_data_centre(from.data_centre.value());
  to->set_address(from.address);
  to->set_leaving(from.leaving);
}

void PutBody(const ConfigPull& from, wire::Envelope* envelope) {
  envelope->mutable_config_pull()->set_have(from.have.value());
}

void PutBody(const ConfigPush& from, wire::Envelope* envelope) {
  wire::ConfigPush* to = envelope->mutable_config_push();
  to->set_base(from.base.value());
  to->set_version(from.version.value());
  to->set_document(from.document);
}

void PutBody(const Goodbye&, wire::Envelope* envelope) {
  envelope->mutable_goodbye();
}

void PutRate(const ClientAccountId& account,
             TokensPerSecond rate,
             wire::AccountRate* to) {
  to->set_account(account.value());
  to->set_tokens_per_second(rate.value());
}

void PutBody(const ShareRequest& from, wire::Envelope* envelope) {
  wire::ShareRequest* to = envelope->mutable_share_request();
  to->set_number(from.number);
  for (const AccountDemand& it : from.demands) {
    PutRate(it.account, it.demand, to->add_demands());
  }
}

void PutBody(const ShareGrant& from, wire::Envelope* envelope) {
  wire::ShareGrant* to = envelope->mutable_share_grant();
  to->set_number(from.number);
  to->set_lease_us(from.lease.count());
  for (const AccountShare& it : from.shares) {
    PutRate(it.account, it.share, to->add_shares());
  }
}

void PutBody(const TargetList& from, wire::Envelope* envelope) {
  wire::TargetList* to = envelope->mutable_target_list();
  to->set_service(from.service.value());
  to->set_revision(from.revision);
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
  }
}

void PutBody(const PlacementAsk& from, wire::Envelope* envelope) {
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
}

template <class Holder>
void PutHolds(const std::vector<MemoryHold>& from, Holder* to) {
  for (const MemoryHold& it : from) {
    wire::MemoryHold* hold = to->add_holds();
    hold->set_target(it.target.value());
    hold->set_tokens(it.tokens.value());
  }
}

void PutBody(const PlacementReply& from, wire::Envelope* envelope) {
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
  PutHolds(from.holds, to);
}

void PutBody(const PlacementChange& from, wire::Envelope* envelope) {
  wire::PlacementChange* to = envelope->mutable_placement_change();
  to->set_number(from.number);
  to->set_event(static_cast<uint32_t>(from.event));
  to->set_failed(from.failed.value());
}

void PutBody(const PlacementSnapshot& from, wire::Envelope* envelope) {
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
    PutHolds(it.holds, work);
  }
}

// --- Decoding -------------------------------------------------------------

// Converts the parts of one message and remembers the first error. The value
// that a failed conversion returns is not used.
class Reader {
 public:
  std::optional<WireError> error() const { return error_; }

  template <class Id>
  Id RequiredId(const std::string& text) {
    Check(!text.empty(), WireError::kMissingId);
    return OptionalId<Id>(text);
  }

  template <class Id>
  Id OptionalId(const std::string& text) {
    return Id(Text(text, kMaxWireIdBytes));
  }

  std::string Text(const std::string& text, size_t limit) {
    Check(text.size() <= limit, WireError::kTooLong);
    return text;
  }

  template <class Amount>
  Amount Read(int64_t value) {
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

  std::vector<uint64_t> Hashes(
      const google::protobuf::RepeatedField<uint64_t>& from,
      int limit) {
    CheckCount(from.size(), limit);
    return {from.begin(), from.end()};
  }

  PeerId Peer(const wire::Peer& from) {
    Check(from.incarnation() != 0, WireError::kMissingId);
    return {RequiredId<InstanceId>(from.instance()),
            Incarnation(from.incarnation())};
  }

  AttemptId Attempt(const wire::Attempt& from) {
    const bool has_request =
        from.request_high() != 0 || from.request_low() != 0;
    Check(has_request && from.number() != 0, WireError::kMissingId);
    return {{from.request_high(), from.request_low()},
            AttemptNumber(from.number())};
  }

  Failure ReadFailure(const wire::Failure& from) {
    Failure to;
    to.code = ReadEnum(from.code(), ErrorCode::kInternal);
    to.outcome = ReadEnum(from.outcome(), Outcome::kUnknown);
    to.retry_after = ReadDuration(from.retry_after_us());
    return to;
  }

  AgentState State(const wire::AgentState& from) {
    AgentState to;
    to.sequence = from.sequence();
    to.target = RequiredId<TargetId>(from.target());
    to.data_centre = RequiredId<DataCentreId>(from.data_centre());
    to.model = OptionalId<ModelId>(from.model());
    to.service = OptionalId<ServiceId>(from.service());
    to.ready = from.ready();
    to.draining = from.draining();
    to.withdrawn = from.withdrawn();
    to.engine = EngineIncarnation(from.engine());
    to.memory_total = Read<Tokens>(from.memory_total());
    to.memory_free = Read<Tokens>(from.memory_free());
    to.warm_budget = Read<Tokens>(from.warm_budget());
    to.full_budget = Read<Tokens>(from.full_budget());
    to.in_flight = Read<Tokens>(from.in_flight());
    to.queued = Read<Tokens>(from.queued());
    to.running = from.running();
    to.waiting = from.waiting();
    to.expected_wait = ReadDuration(from.expected_wait_us());
    to.prefill_rate = Read<TokensPerSecond>(from.prefill_rate());
    to.cached_prefixes =
        Hashes(from.cached_prefixes(), static_cast<int>(kMaxReportedPrefixes));
    return to;
  }

  // A finite number that is not negative.
  double Factor(double value) {
    const bool valid =
        value >= 0 && value <= static_cast<double>(kMaxWireAmount);
    Check(valid, WireError::kBadAmount);
    return valid ? value : 0;
  }

  template <class Texts>
  std::vector<TargetId> Targets(const Texts& from, int limit) {
    CheckCount(from.size(), limit);
    std::vector<TargetId> to;
    for (const std::string& it : from) {
      to.push_back(RequiredId<TargetId>(it));
    }
    return to;
  }

  EngineCost Cost(const wire::EngineCost& from) {
    EngineCost to;
    to.slots = from.slots();
    to.memory = Read<Tokens>(from.memory());
    to.step_ms = Factor(from.step_ms());
    to.step_ms_per_answer = Factor(from.step_ms_per_answer());
    to.step_ms_per_1k_context = Factor(from.step_ms_per_1k_context());
    to.read_tokens_per_s = Factor(from.read_tokens_per_s());
    to.read_ms_per_million_pairs = Factor(from.read_ms_per_million_pairs());
    to.steps_per_pass = from.steps_per_pass();
    return to;
  }

  TargetList Body(const wire::TargetList& from) {
    TargetList to;
    to.service = RequiredId<ServiceId>(from.service());
    to.revision = from.revision();
    to.cost = Cost(from.cost());
    to.cold_requests_per_s = Factor(from.cold_requests_per_s());
    CheckCount(from.targets_size(), kMaxDescribedTargets);
    for (const wire::TargetDescription& it : from.targets()) {
      to.targets.push_back({RequiredId<TargetId>(it.target()),
                            Text(it.address(), kMaxWireIdBytes),
                            OptionalId<DataCentreId>(it.data_centre()),
                            ReadDuration(it.cold_left_us())});
    }
    return to;
  }

  PlacementAsk Body(const wire::PlacementAsk& from) {
    PlacementAsk to;
    to.number = from.number();
    to.service = RequiredId<ServiceId>(from.service());
    to.prompt = Read<Tokens>(from.prompt());
    to.output = Read<Tokens>(from.output());
    const int64_t left = from.first_event_left_us();
    Check(left >= -kMaxWireDuration.count(), WireError::kBadAmount);
    to.first_event_left = left < 0 ? Duration(left) : ReadDuration(left);
    to.gap_target = ReadDuration(from.gap_target_us());
    to.time_left = ReadDuration(from.time_left_us());
    to.excluded = Targets(from.excluded(), kMaxExcludedTargets);
    return to;
  }

  template <class Holds>
  std::vector<MemoryHold> ReadHolds(const Holds& from) {
    CheckCount(from.size(), kMaxHelpers);
    std::vector<MemoryHold> to;
    for (const wire::MemoryHold& it : from) {
      to.push_back(
          {RequiredId<TargetId>(it.target()), Read<Tokens>(it.tokens())});
    }
    return to;
  }

  PlacementReply Body(const wire::PlacementReply& from) {
    PlacementReply to;
    to.number = from.number();
    to.verdict = ReadEnum(from.verdict(), PlacementVerdict::kUnknownList);
    to.target = OptionalId<TargetId>(from.target());
    Check(to.verdict != PlacementVerdict::kPlaced || !to.target.empty(),
          WireError::kMissingId);
    to.helpers = Targets(from.helpers(), kMaxHelpers);
    to.expected_first_event = ReadDuration(from.expected_first_event_us());
    to.retry_after = ReadDuration(from.retry_after_us());
    to.entries = from.entries();
    to.list_fingerprint = from.list_fingerprint();
    to.holds = ReadHolds(from.holds());
    return to;
  }

  PlacementChange Body(const wire::PlacementChange& from) {
    PlacementChange to;
    to.number = from.number();
    to.event = ReadEnum(from.event(), PlacementEvent::kTargetReplaced);
    to.failed = OptionalId<TargetId>(from.failed());
    return to;
  }

  PlacementSnapshot Body(const wire::PlacementSnapshot& from) {
    PlacementSnapshot to;
    CheckCount(from.works_size(), kMaxPlacedWorks);
    for (const wire::PlacedWork& it : from.works()) {
      PlacedWork work;
      work.number = it.number();
      work.service = RequiredId<ServiceId>(it.service());
      work.target = RequiredId<TargetId>(it.target());
      work.helpers = Targets(it.helpers(), kMaxHelpers);
      work.prompt = Read<Tokens>(it.prompt());
      work.output = Read<Tokens>(it.output());
      work.gap_target = ReadDuration(it.gap_target_us());
      work.reading = it.reading();
      work.holds = ReadHolds(it.holds());
      to.works.push_back(std::move(work));
    }
    return to;
  }

  Offer Body(const wire::Offer& from) {
    Offer to;
    to.attempt = Attempt(from.attempt());
    to.kind = ReadEnum(from.kind(), WorkKind::kServiceCall);
    to.account = OptionalId<ClientAccountId>(from.account());
    to.model = OptionalId<ModelId>(from.model());
    to.service = OptionalId<ServiceId>(from.service());
    const bool names_target = to.kind == WorkKind::kCompletion
                                  ? !to.model.empty()
                                  : !to.service.empty();
    Check(names_target, WireError::kMissingId);
    to.prompt_tokens = Read<Tokens>(from.prompt_tokens());
    to.max_output_tokens = Read<Tokens>(from.max_output_tokens());
    to.prefix_hashes = Hashes(from.prefix_hashes(), kMaxPrefixHashes);
    to.time_left = ReadDuration(from.time_left_us());
    to.repeatable = from.repeatable();
    if (from.has_key()) {
      to.key = RequiredId<IdempotencyKey>(from.key());
    }
    CheckCount(from.members_size(), kMaxGangSize);
    for (const wire::GangMember& it : from.members()) {
      to.members.push_back({Peer(it.agent()), Read<Tokens>(it.tokens())});
    }
    to.first_chunk = from.first_chunk();
    to.generated_prefix = Text(from.generated_prefix(), kMaxWireBodyBytes);
    to.method = Text(from.method(), kMaxWireIdBytes);
    to.path = Text(from.path(), kMaxWirePathBytes);
    to.body = Text(from.body(), kMaxWireBodyBytes);
    return to;
  }

  Resume Body(const wire::Resume& from) {
    return {Attempt(from.attempt()), from.next_chunk(),
            ReadDuration(from.time_left_us())};
  }

  Hold Body(const wire::Hold& from) {
    return {Attempt(from.attempt()), Read<Tokens>(from.tokens()),
            ReadDuration(from.ttl_us())};
  }

  template <class Reply>
  Reply ReadReply(const wire::Reply& from) {
    Reply to;
    to.attempt = Attempt(from.attempt());
    to.verdict = ReadEnum(from.verdict(), Verdict::kRefused);
    to.failure = ReadFailure(from.failure());
    to.state = State(from.state());
    return to;
  }

  Chunk Body(const wire::Chunk& from) {
    return {Attempt(from.attempt()), from.index(), from.tokens(),
            Text(from.data(), kMaxWireBodyBytes)};
  }

  Finish Body(const wire::Finish& from) {
    Finish to;
    to.attempt = Attempt(from.attempt());
    to.chunk_count = from.chunk_count();
    to.failure = ReadFailure(from.failure());
    Check(from.http_status() < 1000, WireError::kBadAmount);
    to.http_status = from.http_status();
    to.content_type = Text(from.content_type(), kMaxWireIdBytes);
    to.state = State(from.state());
    return to;
  }

  Heartbeat Body(const wire::Heartbeat& from) {
    Heartbeat to;
    to.role = ReadEnum(from.role(), Role::kAgent);
    to.data_centre = OptionalId<DataCentreId>(from.data_centre());
    to.address = Text(from.address(), kMaxWireIdBytes);
    to.leaving = from.leaving();
    return to;
  }

  ConfigPush Body(const wire::ConfigPush& from) {
    return {ConfigVersion(from.base()), ConfigVersion(from.version()),
            Text(from.document(), kMaxWireBodyBytes)};
  }

  ShareRequest Body(const wire::ShareRequest& from) {
    CheckCount(from.demands_size(), kMaxAccountRates);
    ShareRequest to;
    to.number = from.number();
    for (const wire::AccountRate& it : from.demands()) {
      to.demands.push_back({RequiredId<ClientAccountId>(it.account()),
                            Read<TokensPerSecond>(it.tokens_per_second())});
    }
    return to;
  }

  ShareGrant Body(const wire::ShareGrant& from) {
    CheckCount(from.shares_size(), kMaxAccountRates);
    ShareGrant to;
    to.number = from.number();
    to.lease = ReadDuration(from.lease_us());
    for (const wire::AccountRate& it : from.shares()) {
      to.shares.push_back({RequiredId<ClientAccountId>(it.account()),
                           Read<TokensPerSecond>(it.tokens_per_second())});
    }
    return to;
  }

  MessageBody AnyBody(const wire::Envelope& from) {
    switch (from.body_case()) {
      case wire::Envelope::kOffer:
        return Body(from.offer());
      case wire::Envelope::kCancel:
        return Cancel{Attempt(from.cancel().attempt())};
      case wire::Envelope::kResume:
        return Body(from.resume());
      case wire::Envelope::kHold:
        return Body(from.hold());
      case wire::Envelope::kHoldRelease:
        return HoldRelease{Attempt(from.hold_release().attempt())};
      case wire::Envelope::kSubscribe:
        return Subscribe{ReadDuration(from.subscribe().ttl_us())};
      case wire::Envelope::kOfferReply:
        return ReadReply<OfferReply>(from.offer_reply());
      case wire::Envelope::kHoldReply:
        return ReadReply<HoldReply>(from.hold_reply());
      case wire::Envelope::kChunk:
        return Body(from.chunk());
      case wire::Envelope::kFinish:
        return Body(from.finish());
      case wire::Envelope::kLoadReport:
        return LoadReport{State(from.load_report().state())};
      case wire::Envelope::kHeartbeat:
        return Body(from.heartbeat());
      case wire::Envelope::kConfigPull:
        return ConfigPull{ConfigVersion(from.config_pull().have())};
      case wire::Envelope::kConfigPush:
        return Body(from.config_push());
      case wire::Envelope::kGoodbye:
        return Goodbye{};
      case wire::Envelope::kShareRequest:
        return Body(from.share_request());
      case wire::Envelope::kShareGrant:
        return Body(from.share_grant());
      case wire::Envelope::kTargetList:
        return Body(from.target_list());
      case wire::Envelope::kPlacementAsk:
        return Body(from.placement_ask());
      case wire::Envelope::kPlacementReply:
        return Body(from.placement_reply());
      case wire::Envelope::kPlacementChange:
        return Body(from.placement_change());
      case wire::Envelope::kPlacementSnapshot:
        return Body(from.placement_snapshot());
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
  Put(message.sender, envelope.mutable_sender());
  envelope.set_receiver(message.receiver.value());
  envelope.set_config_version(message.config_version.value());
  std::visit([&](const auto& body) { PutBody(body, &envelope); }, message.body);

  std::string bytes(kHeaderSize, kCodecVersion);
  envelope.AppendToString(&bytes);
  const uint64_t checksum =
      Checksum(std::string_view(bytes).substr(kHeaderSize));
  std::memcpy(bytes.data() + 1, &checksum, kChecksumSize);
  return bytes;
}

boost::leaf::result<Message> Decode(std::string_view bytes) {
  if (bytes.size() <= kHeaderSize) {
    return boost::leaf::new_error(WireError::kTruncated);
  }
  if (bytes[0] != kCodecVersion) {
    return boost::leaf::new_error(WireError::kUnknownVersion);
  }
  uint64_t checksum = 0;
  std::memcpy(&checksum, bytes.data() + 1, kChecksumSize);
  const std::string_view payload = bytes.substr(kHeaderSize);
  if (checksum != Checksum(payload)) {
    return boost::leaf::new_error(WireError::kCorrupt);
  }
  return DecodePayload(payload);
}

boost::leaf::result<Message> DecodePayload(std::string_view payload) {
  wire::Envelope envelope;
  constexpr size_t kMaxPayload = 2 * kMaxWireBodyBytes + (1 << 20);
  if (payload.size() > kMaxPayload) {
    return boost::leaf::new_error(WireError::kTooLong);
  }
  if (!envelope.ParseFromArray(payload.data(),
                               static_cast<int>(payload.size()))) {
    return boost::leaf::new_error(WireError::kMalformed);
  }
  Reader reader;
  Message message;
  message.sender = reader.Peer(envelope.sender());
  message.receiver = Incarnation(envelope.receiver());
  message.config_version = ConfigVersion(envelope.config_version());
  message.body = reader.AnyBody(envelope);
  if (reader.error()) {
    return boost::leaf::new_error(*reader.error());
  }
  return message;
}

}  // namespace burdockhatch
