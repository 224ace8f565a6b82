#include "standins/engine_model.h"

#include <algorithm>
#include <utility>

#include "src/rendezvous.h"
#include "standins/expected_answer.h"

namespace burdockhatch::standins {

namespace {

// Returns the prompt tokens that caches at other engines do not hold. When the
// request does not say how many they hold, the prompt counts as split evenly.
int64_t LocalPromptTokens(const StreamSpec& spec) {
  const int64_t prompt = spec.prompt_tokens.value();
  const auto imported_caches =
      static_cast<int64_t>(spec.imported_caches.size());
  if (spec.imported_tokens > Tokens(0) || imported_caches == 0) {
    return std::max<int64_t>(prompt - spec.imported_tokens.value(), 0);
  }
  return (prompt + imported_caches) / (imported_caches + 1);
}

}  // namespace

EngineModel::EngineModel(const FakeEngineOptions& options)
    : options_(options),
      model_(options.model),
      warmup_tokens_left_(options.start_warm ? 0 : options.cold_tokens) {}

StartResult EngineModel::Start(StreamSpec spec) {
  const std::string id = spec.stream.value();
  if (streams_.contains(id)) {
    ++stats.duplicate_starts;
    return StartResult::kAlreadyExists;
  }
  if (spec.model.value() != model_) {
    ++stats.refused_model;
    return StartResult::kWrongModel;
  }
  const int64_t local_prompt_tokens = LocalPromptTokens(spec);
  const int64_t in_flight_tokens =
      local_prompt_tokens + spec.max_output_tokens.value();
  if (MemoryUsedTokens() + in_flight_tokens > options_.memory_tokens) {
    ++stats.refused_memory;
    return StartResult::kOutOfMemory;
  }
  ModelStream& stream = streams_[id];
  stream.arrival_number = ++last_arrival_number_;
  stream.prompt_hash = StableHash(spec.prompt);
  stream.local_prompt_tokens = local_prompt_tokens;
  stream.in_flight_tokens = in_flight_tokens;
  stream.memory_tokens = in_flight_tokens;
  stream.generated_tokens =
      static_cast<uint32_t>(spec.generated_prefix.size() / kTokenTextSize);
  stream.next_chunk = spec.first_chunk;
  stream.spec = std::move(spec);
  // The text is no longer needed and may be megabytes long.
  stream.spec.prompt.clear();
  ++stats.started;
  EvictPrefixBlocksAbove(PrefixCacheLimit());
  RecordPeaks();
  if (IsCold() && options_.cold_capacity_tokens > 0 &&
      InFlightTokens() > options_.cold_capacity_tokens) {
    ++stats.overloads;
    Restart();
    return StartResult::kOverloaded;
  }
  return StartResult::kStarted;
}

bool EngineModel::Cancel(const std::string& id) {
  auto it = streams_.find(id);
  if (it == streams_.end()) {
    return false;
  }
  it->second.memory_tokens = 0;
  if (it->second.phase != StreamPhase::kEnded) {
    EndStream(it->second, "cancelled");
    ++stats.cancelled;
  }
  return true;
}

void EngineModel::MarkAnswerRead(const std::string& id) {
  auto it = streams_.find(id);
  if (it != streams_.end() && it->second.phase == StreamPhase::kEnded) {
    it->second.memory_tokens = 0;
  }
}

void EngineModel::EraseStream(const std::string& id) {
  streams_.erase(id);
}

bool EngineModel::PutImportedCache(const std::string& id, int64_t memory) {
  const int64_t held = imported_caches_.contains(id) ? imported_caches_[id] : 0;
  if (MemoryUsedTokens() - held + memory > options_.memory_tokens) {
    ++stats.refused_memory;
    return false;
  }
  imported_caches_[id] = memory;
  EvictPrefixBlocksAbove(PrefixCacheLimit());
  RecordPeaks();
  return true;
}

bool EngineModel::DropImportedCache(const std::string& id) {
  return imported_caches_.erase(id) > 0;
}

std::vector<ModelStream*> EngineModel::StreamsByPriority(StreamPhase phase) {
  std::vector<ModelStream*> ordered;
  for (auto& [id, stream] : streams_) {
    if (stream.phase == phase) {
      ordered.push_back(&stream);
    }
  }
  std::sort(ordered.begin(), ordered.end(),
            [](const ModelStream* a, const ModelStream* b) {
              return std::pair(a->spec.priority, a->arrival_number) <
                     std::pair(b->spec.priority, b->arrival_number);
            });
  return ordered;
}

size_t EngineModel::waiting_count() const {
  return std::count_if(streams_.begin(), streams_.end(), [](const auto& entry) {
    return entry.second.phase == StreamPhase::kWaiting;
  });
}

size_t EngineModel::running_count() const {
  return std::count_if(streams_.begin(), streams_.end(), [](const auto& entry) {
    return entry.second.phase == StreamPhase::kPrefill ||
           entry.second.phase == StreamPhase::kGenerating;
  });
}

// Adds waiting streams to the batch by priority, then by order of arrival.
void EngineModel::AdmitWaitingStreams() {
  int64_t free = options_.max_batch - static_cast<int64_t>(running_count());
  if (free <= 0) {
    return;
  }
  for (ModelStream* stream : StreamsByPriority(StreamPhase::kWaiting)) {
    if (free-- == 0) {
      break;
    }
    BeginPrefill(*stream);
  }
  stats.peak_batch =
      std::max(stats.peak_batch, static_cast<int64_t>(running_count()));
}

void EngineModel::BeginPrefill(ModelStream& stream) {
  const int64_t prompt = stream.local_prompt_tokens;
  const int64_t cached = std::min(CachedPrefixTokens(stream.spec), prompt);
  // Output that the caller already has is computed again as part of the prompt.
  // A real engine also computes at least one token.
  stream.prefill_tokens_left =
      std::max<int64_t>(prompt - cached + stream.generated_tokens, 1);
  stream.phase = StreamPhase::kPrefill;
}

// Returns the tokens of the longest cached prefix and marks its blocks as
// recently used.
int64_t EngineModel::CachedPrefixTokens(const StreamSpec& spec) {
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

void EngineModel::AddPrefixBlocks(const StreamSpec& spec) {
  const int64_t limit = PrefixCacheLimit();
  // Adds later blocks first, so that the start of a prompt, which other prompts
  // may share, is evicted last.
  for (auto it = spec.prefix_hashes.rbegin(); it != spec.prefix_hashes.rend();
       ++it) {
    if (auto known = prefixes_.find(*it); known != prefixes_.end()) {
      prefix_lru_.splice(prefix_lru_.begin(), prefix_lru_, known->second);
      continue;
    }
    prefix_lru_.push_front(*it);
    prefixes_[*it] = prefix_lru_.begin();
    cache_events_.push_back({0, true, *it});
    EvictPrefixBlocksAbove(limit);
  }
}

void EngineModel::EvictPrefixBlocksAbove(int64_t limit) {
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

// The prefix cache may use only memory that streams and imported caches leave
// free.
int64_t EngineModel::PrefixCacheLimit() const {
  const int64_t limit = options_.cache_tokens >= 0 ? options_.cache_tokens
                                                   : options_.memory_tokens / 4;
  return std::min(limit, options_.memory_tokens - MemoryUsedTokens());
}

EngineStep EngineModel::NextStep() {
  AdmitWaitingStreams();
  EngineStep step;
  int64_t chunk = 0;
  for (const ModelStream* stream : StreamsByPriority(StreamPhase::kPrefill)) {
    const int64_t share = std::min(options_.prefill_chunk_tokens - chunk,
                                   stream->prefill_tokens_left);
    if (share <= 0) {
      break;
    }
    step.prefill_tokens.emplace_back(stream->spec.stream.value(), share);
    chunk += share;
  }
  for (const ModelStream* stream :
       StreamsByPriority(StreamPhase::kGenerating)) {
    step.generating_streams.push_back(stream->spec.stream.value());
  }
  step.duration_ms =
      1000.0 * static_cast<double>(chunk) / options_.prefill_tokens_per_s;
  if (!step.generating_streams.empty()) {
    step.duration_ms += options_.ms_per_token;
  }
  if (IsCold()) {
    step.duration_ms *= options_.cold_slowdown;
  }
  return step;
}

std::vector<std::string> EngineModel::ApplyStep(const EngineStep& step) {
  std::vector<std::string> changed;
  for (const auto& [id, tokens] : step.prefill_tokens) {
    auto it = streams_.find(id);
    if (it == streams_.end() || it->second.phase != StreamPhase::kPrefill) {
      continue;
    }
    ModelStream& stream = it->second;
    stream.prefill_tokens_left -= tokens;
    RecordCompletedTokens(tokens);
    if (stream.prefill_tokens_left <= 0) {
      AddPrefixBlocks(stream.spec);
      stream.phase = StreamPhase::kGenerating;
      // The prefill yields the first token.
      GenerateToken(stream);
      changed.push_back(id);
    }
  }
  for (const std::string& id : step.generating_streams) {
    auto it = streams_.find(id);
    if (it == streams_.end() || it->second.phase != StreamPhase::kGenerating) {
      continue;
    }
    GenerateToken(it->second);
    changed.push_back(id);
  }
  return changed;
}

void EngineModel::GenerateToken(ModelStream& stream) {
  const auto max = static_cast<uint32_t>(stream.spec.max_output_tokens.value());
  if (stream.generated_tokens < max) {
    stream.pending_text +=
        TokenText(stream.prompt_hash, stream.generated_tokens);
    ++stream.generated_tokens;
    ++stream.pending_tokens;
    RecordCompletedTokens(1);
  }
  const bool done = stream.generated_tokens >= max;
  // The first token has a chunk of its own, so that the time to the first token
  // does not depend on the chunk size.
  if (done || stream.chunks.empty() ||
      stream.pending_tokens >= options_.tokens_per_chunk) {
    FlushChunk(stream);
  }
  if (done) {
    EndStream(stream, "complete");
    ++stats.completed;
  } else if (fail_streams_) {
    EndStream(stream, "failed");
    ++stats.failed;
    stream.memory_tokens = 0;
  }
}

void EngineModel::FlushChunk(ModelStream& stream) {
  if (stream.pending_tokens == 0) {
    return;
  }
  stream.chunks.push_back({stream.next_chunk++, stream.pending_tokens,
                           std::move(stream.pending_text)});
  stream.pending_text.clear();
  stream.pending_tokens = 0;
}

void EngineModel::EndStream(ModelStream& stream, const std::string& reason) {
  stream.phase = StreamPhase::kEnded;
  stream.end_reason = reason;
  stream.prefill_tokens_left = 0;
}

void EngineModel::RecordCompletedTokens(int64_t tokens) {
  completed_tokens_ += tokens;
  warmup_tokens_left_ = std::max<int64_t>(warmup_tokens_left_ - tokens, 0);
}

void EngineModel::TurnCold() {
  warmup_tokens_left_ = options_.cold_tokens;
  EvictPrefixBlocksAbove(0);
}

void EngineModel::Restart() {
  ++stats.restarts;
  stats.streams_lost += waiting_count() + running_count();
  streams_.clear();
  imported_caches_.clear();
  prefixes_.clear();
  prefix_lru_.clear();
  cache_events_.clear();
  completed_tokens_ = 0;
  prefix_lookups_ = 0;
  prefix_hits_ = 0;
  warmup_tokens_left_ = options_.cold_tokens;
}

void EngineModel::ReplaceModel(const std::string& model) {
  model_ = model;
  TurnCold();
}

int64_t EngineModel::InFlightTokens() const {
  int64_t tokens = 0;
  for (const auto& [id, stream] : streams_) {
    if (stream.phase != StreamPhase::kEnded) {
      tokens += stream.in_flight_tokens;
    }
  }
  return tokens;
}

int64_t EngineModel::MemoryUsedTokens() const {
  int64_t tokens = 0;
  for (const auto& [id, stream] : streams_) {
    tokens += stream.memory_tokens;
  }
  for (const auto& [id, memory] : imported_caches_) {
    tokens += memory;
  }
  return tokens;
}

void EngineModel::RecordPeaks() {
  const int64_t in_flight = InFlightTokens();
  stats.peak_in_flight = std::max(stats.peak_in_flight, in_flight);
  if (IsCold()) {
    stats.peak_cold_in_flight = std::max(stats.peak_cold_in_flight, in_flight);
  }
  stats.peak_memory = std::max(stats.peak_memory, MemoryUsedTokens());
}

std::vector<CacheEvent> EngineModel::TakeCacheEvents() {
  return std::exchange(cache_events_, {});
}

}  // namespace burdockhatch::standins
