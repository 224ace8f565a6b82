#include "standins/engine_model.h"

#include <algorithm>
#include <utility>

#include "src/rendezvous.h"
#include "standins/expected_answer.h"

namespace burdockhatch::standins {

namespace {

// The part of the prompt that the caches at other engines do not hold. A
// request that does not say how much they hold counts as split evenly.
int64_t LocalPrompt(const StreamSpec& spec) {
  const int64_t prompt = spec.prompt_tokens.value();
  const auto caches = static_cast<int64_t>(spec.imported_caches.size());
  if (spec.imported_tokens > Tokens(0) || caches == 0) {
    return std::max<int64_t>(prompt - spec.imported_tokens.value(), 0);
  }
  return (prompt + caches) / (caches + 1);
}

}  // namespace

EngineModel::EngineModel(const FakeEngineOptions& options)
    : options_(options),
      model_(options.model),
      warmup_left_(options.start_warm ? 0 : options.cold_tokens) {}

ModelStart EngineModel::Start(StreamSpec spec) {
  const std::string id = spec.stream.value();
  if (streams_.contains(id)) {
    ++stats.duplicate_starts;
    return ModelStart::kExists;
  }
  if (spec.model.value() != model_) {
    ++stats.refused_model;
    return ModelStart::kWrongModel;
  }
  const int64_t local_prompt = LocalPrompt(spec);
  const int64_t load = local_prompt + spec.max_output_tokens.value();
  if (MemoryUsed() + load > options_.memory_tokens) {
    ++stats.refused_memory;
    return ModelStart::kOutOfMemory;
  }
  ModelStream& stream = streams_[id];
  stream.arrival = ++arrivals_;
  stream.prompt_hash = StableHash(spec.prompt);
  stream.local_prompt = local_prompt;
  stream.load = load;
  stream.memory = load;
  stream.generated =
      static_cast<uint32_t>(spec.generated_prefix.size() / kTokenTextSize);
  stream.next_chunk = spec.first_chunk;
  stream.spec = std::move(spec);
  // The text is not needed any more and may be megabytes long.
  stream.spec.prompt.clear();
  ++stats.started;
  EvictPrefixes(CacheLimit());
  RecordPeaks();
  if (IsCold() && options_.cold_capacity_tokens > 0 &&
      InFlight() > options_.cold_capacity_tokens) {
    ++stats.overloads;
    Restart();
    return ModelStart::kOverloaded;
  }
  return ModelStart::kStarted;
}

bool EngineModel::Cancel(const std::string& id) {
  auto it = streams_.find(id);
  if (it == streams_.end()) {
    return false;
  }
  it->second.memory = 0;
  if (it->second.phase != Phase::kEnded) {
    End(it->second, "cancelled");
    ++stats.cancelled;
  }
  return true;
}

void EngineModel::MarkRead(const std::string& id) {
  auto it = streams_.find(id);
  if (it != streams_.end() && it->second.phase == Phase::kEnded) {
    it->second.memory = 0;
  }
}

void EngineModel::Erase(const std::string& id) {
  streams_.erase(id);
}

bool EngineModel::PutCache(const std::string& id, int64_t memory) {
  const int64_t held = caches_.contains(id) ? caches_[id] : 0;
  if (MemoryUsed() - held + memory > options_.memory_tokens) {
    ++stats.refused_memory;
    return false;
  }
  caches_[id] = memory;
  EvictPrefixes(CacheLimit());
  RecordPeaks();
  return true;
}

bool EngineModel::DropCache(const std::string& id) {
  return caches_.erase(id) > 0;
}

std::vector<ModelStream*> EngineModel::Ordered(Phase phase) {
  std::vector<ModelStream*> ordered;
  for (auto& [id, stream] : streams_) {
    if (stream.phase == phase) {
      ordered.push_back(&stream);
    }
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const ModelStream* a, const ModelStream* b) {
              return std::pair(a->spec.priority, a->arrival) <
                     std::pair(b->spec.priority, b->arrival);
            });
  return ordered;
}

size_t EngineModel::waiting() const {
  return std::count_if(streams_.begin(), streams_.end(), [](const auto& entry) {
    return entry.second.phase == Phase::kWaiting;
  });
}

size_t EngineModel::running() const {
  return std::count_if(streams_.begin(), streams_.end(), [](const auto& entry) {
    return entry.second.phase == Phase::kPrefill ||
           entry.second.phase == Phase::kGenerating;
  });
}

// Takes waiting streams into the batch by priority, then by arrival.
void EngineModel::Admit() {
  int64_t free = options_.max_batch - static_cast<int64_t>(running());
  if (free <= 0) {
    return;
  }
  for (ModelStream* stream : Ordered(Phase::kWaiting)) {
    if (free-- == 0) {
      break;
    }
    BeginPrefill(*stream);
  }
  stats.peak_batch =
      std::max(stats.peak_batch, static_cast<int64_t>(running()));
}

void EngineModel::BeginPrefill(ModelStream& stream) {
  const int64_t prompt = stream.local_prompt;
  const int64_t cached = std::min(LookUpPrefix(stream.spec), prompt);
  // Output that the caller has already is computed again as part of the
  // prompt. At least one token is computed, as in an engine.
  stream.prefill_left =
      std::max<int64_t>(prompt - cached + stream.generated, 1);
  stream.phase = Phase::kPrefill;
}

// Returns the tokens of the longest cached prefix.
int64_t EngineModel::LookUpPrefix(const StreamSpec& spec) {
  int64_t cached = 0;
  bool prefix = true;
  for (const uint64_t hash : spec.prefix_hashes) {
    ++prefix_lookups_;
    auto it = prefixes_.find(hash);
    prefix = prefix && it != prefixes_.end();
    if (!prefix) {
      continue;
    }
    ++prefix_hits_;
    cached += options_.block_tokens;
    prefix_lru_.splice(prefix_lru_.begin(), prefix_lru_, it->second);
  }
  return cached;
}

void EngineModel::AddPrefix(const StreamSpec& spec) {
  const int64_t limit = CacheLimit();
  // Later blocks first, so that a shared start is evicted last.
  for (auto it = spec.prefix_hashes.rbegin(); it != spec.prefix_hashes.rend();
       ++it) {
    if (auto known = prefixes_.find(*it); known != prefixes_.end()) {
      prefix_lru_.splice(prefix_lru_.begin(), prefix_lru_, known->second);
      continue;
    }
    prefix_lru_.push_front(*it);
    prefixes_[*it] = prefix_lru_.begin();
    cache_events_.push_back({0, true, *it});
    EvictPrefixes(limit);
  }
}

void EngineModel::EvictPrefixes(int64_t limit) {
  while (!prefix_lru_.empty() && PrefixCacheTokens() > limit) {
    const uint64_t hash = prefix_lru_.back();
    prefix_lru_.pop_back();
    prefixes_.erase(hash);
    cache_events_.push_back({0, false, hash});
  }
}

int64_t EngineModel::PrefixCacheTokens() const {
  return static_cast<int64_t>(prefixes_.size()) * options_.block_tokens;
}

// The prefix cache gives way to streams.
int64_t EngineModel::CacheLimit() const {
  const int64_t limit = options_.cache_tokens >= 0 ? options_.cache_tokens
                                                   : options_.memory_tokens / 4;
  return std::min(limit, options_.memory_tokens - MemoryUsed());
}

ModelStep EngineModel::NextStep() {
  Admit();
  ModelStep step;
  int64_t chunk = 0;
  for (const ModelStream* stream : Ordered(Phase::kPrefill)) {
    const int64_t share =
        std::min(options_.prefill_chunk_tokens - chunk, stream->prefill_left);
    if (share <= 0) {
      break;
    }
    step.prefill.emplace_back(stream->spec.stream.value(), share);
    chunk += share;
  }
  for (const ModelStream* stream : Ordered(Phase::kGenerating)) {
    step.generate.push_back(stream->spec.stream.value());
  }
  step.milliseconds =
      1000.0 * static_cast<double>(chunk) / options_.prefill_tokens_per_s;
  if (!step.generate.empty()) {
    step.milliseconds += options_.ms_per_token;
  }
  if (IsCold()) {
    step.milliseconds *= options_.cold_slowdown;
  }
  return step;
}

std::vector<std::string> EngineModel::Apply(const ModelStep& step) {
  std::vector<std::string> changed;
  for (const auto& [id, tokens] : step.prefill) {
    auto it = streams_.find(id);
    if (it == streams_.end() || it->second.phase != Phase::kPrefill) {
      continue;
    }
    ModelStream& stream = it->second;
    stream.prefill_left -= tokens;
    CountWork(tokens);
    if (stream.prefill_left <= 0) {
      AddPrefix(stream.spec);
      stream.phase = Phase::kGenerating;
      // The prefill yields the first token.
      Generate(stream);
      changed.push_back(id);
    }
  }
  for (const std::string& id : step.generate) {
    auto it = streams_.find(id);
    if (it == streams_.end() || it->second.phase != Phase::kGenerating) {
      continue;
    }
    Generate(it->second);
    changed.push_back(id);
  }
  return changed;
}

void EngineModel::Generate(ModelStream& stream) {
  const auto max = static_cast<uint32_t>(stream.spec.max_output_tokens.value());
  if (stream.generated < max) {
    stream.pending += TokenText(stream.prompt_hash, stream.generated);
    ++stream.generated;
    ++stream.pending_tokens;
    CountWork(1);
  }
  const bool done = stream.generated >= max;
  // The first token is sent alone, so that the time to the first token does
  // not depend on the size of chunks.
  if (done || stream.chunks.empty() ||
      stream.pending_tokens >= options_.tokens_per_chunk) {
    FlushChunk(stream);
  }
  if (done) {
    End(stream, "complete");
    ++stats.completed;
  } else if (fail_streams_) {
    End(stream, "failed");
    ++stats.failed;
    stream.memory = 0;
  }
}

void EngineModel::FlushChunk(ModelStream& stream) {
  if (stream.pending_tokens == 0) {
    return;
  }
  stream.chunks.push_back(
      {stream.next_chunk++, stream.pending_tokens, std::move(stream.pending)});
  stream.pending.clear();
  stream.pending_tokens = 0;
}

void EngineModel::End(ModelStream& stream, const std::string& end) {
  stream.phase = Phase::kEnded;
  stream.end = end;
  stream.prefill_left = 0;
}

void EngineModel::CountWork(int64_t tokens) {
  completed_tokens_ += tokens;
  warmup_left_ = std::max<int64_t>(warmup_left_ - tokens, 0);
}

void EngineModel::TurnCold() {
  warmup_left_ = options_.cold_tokens;
  EvictPrefixes(0);
}

void EngineModel::Restart() {
  ++stats.restarts;
  stats.streams_lost += waiting() + running();
  streams_.clear();
  caches_.clear();
  prefixes_.clear();
  prefix_lru_.clear();
  cache_events_.clear();
  completed_tokens_ = 0;
  prefix_lookups_ = 0;
  prefix_hits_ = 0;
  warmup_left_ = options_.cold_tokens;
}

void EngineModel::ReplaceModel(const std::string& model) {
  model_ = model;
  TurnCold();
}

int64_t EngineModel::InFlight() const {
  int64_t tokens = 0;
  for (const auto& [id, stream] : streams_) {
    if (stream.phase != Phase::kEnded) {
      tokens += stream.load;
    }
  }
  return tokens;
}

int64_t EngineModel::MemoryUsed() const {
  int64_t tokens = 0;
  for (const auto& [id, stream] : streams_) {
    tokens += stream.memory;
  }
  for (const auto& [id, memory] : caches_) {
    tokens += memory;
  }
  return tokens;
}

void EngineModel::RecordPeaks() {
  const int64_t in_flight = InFlight();
  stats.peak_in_flight = std::max(stats.peak_in_flight, in_flight);
  if (IsCold()) {
    stats.peak_cold_in_flight = std::max(stats.peak_cold_in_flight, in_flight);
  }
  stats.peak_memory = std::max(stats.peak_memory, MemoryUsed());
}

std::vector<CacheEvent> EngineModel::TakeCacheEvents() {
  return std::exchange(cache_events_, {});
}

}  // namespace burdockhatch::standins
