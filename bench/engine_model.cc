#include "bench/engine_model.h"

#include <algorithm>
#include <string>
#include <utility>

namespace burdockhatch::bench {

void EngineModel::Start(EngineStream stream) {
  stream.arrival = ++arrivals_;
  streams_.push_back(std::move(stream));
  Admit();
  CheckColdLoad();
}

void EngineModel::Cancel(uint64_t stream) {
  const auto it =
      std::find_if(streams_.begin(), streams_.end(),
                   [&](const EngineStream& s) { return s.id == stream; });
  if (it == streams_.end()) {
    return;
  }
  if (it->admitted) {
    memory_used_ -= it->memory;
  }
  streams_.erase(it);
  Admit();
}

void EngineModel::HoldCache(uint64_t cache, Tokens memory) {
  ReleaseCache(cache);
  caches_[cache] = memory;
  memory_used_ += memory;
}

void EngineModel::ReleaseCache(uint64_t cache) {
  const auto it = caches_.find(cache);
  if (it == caches_.end()) {
    return;
  }
  memory_used_ -= it->second;
  caches_.erase(it);
  Admit();
}

Tokens EngineModel::HeldCache(uint64_t cache) const {
  const auto it = caches_.find(cache);
  return it == caches_.end() ? Tokens(0) : it->second;
}

Tokens EngineModel::in_flight() const {
  Tokens sum;
  for (const EngineStream& it : streams_) {
    sum += it.memory;
  }
  return sum;
}

// The longest chain of cached blocks from the start of the prompt.
Tokens EngineModel::CachedPrefix(const EngineStream& stream) {
  Tokens cached;
  for (const uint64_t hash : stream.prefix_hashes) {
    const auto it = cache_index_.find(hash);
    if (it == cache_index_.end()) {
      break;
    }
    cache_order_.splice(cache_order_.begin(), cache_order_, it->second);
    cached += kBlockTokens;
  }
  // The last block is always computed, to have a state to decode from.
  return std::min(cached, std::max(stream.prompt - Tokens(1), Tokens(0)));
}

void EngineModel::InsertPrefix(const EngineStream& stream) {
  const int64_t capacity = options_.prefix_cache.value() / kBlockTokens.value();
  for (const uint64_t hash : stream.prefix_hashes) {
    if (cache_index_.contains(hash)) {
      continue;
    }
    // A prompt larger than the whole cache keeps its beginning, which is what
    // others share.
    if (static_cast<int64_t>(stream.prefix_hashes.size()) > capacity &&
        static_cast<int64_t>(cache_order_.size()) >= capacity) {
      break;
    }
    cache_order_.push_front(hash);
    cache_index_[hash] = cache_order_.begin();
    cache_events_.push_back({++cache_sequence_, true, hash});
    while (static_cast<int64_t>(cache_order_.size()) > capacity) {
      const uint64_t evicted = cache_order_.back();
      cache_order_.pop_back();
      cache_index_.erase(evicted);
      cache_events_.push_back({++cache_sequence_, false, evicted});
    }
  }
}

// Gives memory to waiting streams, in order; one that does not fit holds back
// those behind it, as in engines that serve in order.
void EngineModel::Admit() {
  std::vector<EngineStream*> waiting;
  for (EngineStream& it : streams_) {
    if (!it.admitted) {
      waiting.push_back(&it);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [&](const EngineStream* a, const EngineStream* b) {
              if (options_.priorities && a->priority != b->priority) {
                return a->priority < b->priority;
              }
              return a->arrival < b->arrival;
            });
  for (EngineStream* it : waiting) {
    if (memory_used_ + it->memory > options_.memory) {
      break;
    }
    memory_used_ += it->memory;
    it->admitted = true;
    const Tokens cached = CachedPrefix(*it);
    it->prefill_left = it->prompt - cached;
    ++lookups_;
    hits_ += cached > Tokens(0) ? 1 : 0;
    prompt_tokens_total_ += it->prompt.value();
    hit_tokens_total_ += cached.value();
  }
}

void EngineModel::CheckColdLoad() {
  if (!cold()) {
    return;
  }
  cold_peak_ = std::max(cold_peak_, in_flight());
  if (in_flight() > options_.cold_capacity) {
    fell_over_ = true;
    ++times_fallen_;
  }
}

Duration EngineModel::Step(std::vector<StreamEvent>* events) {
  // Decode every stream that has its prompt, then spend the chunk on prefill.
  int64_t batch = 0;
  std::vector<size_t> prefilling;
  for (size_t n = 0; n < streams_.size(); ++n) {
    if (!streams_[n].admitted) {
      continue;
    }
    if (streams_[n].prefill_left > Tokens(0)) {
      prefilling.push_back(n);
    } else {
      ++batch;
      streams_[n].generated += Tokens(1);
    }
  }
  std::sort(prefilling.begin(), prefilling.end(), [&](size_t a, size_t b) {
    const EngineStream& x = streams_[a];
    const EngineStream& y = streams_[b];
    if (options_.priorities && x.priority != y.priority) {
      return x.priority < y.priority;
    }
    return x.arrival < y.arrival;
  });
  Tokens chunk;
  std::vector<uint64_t> prefilled;
  for (const size_t n : prefilling) {
    const Tokens part =
        std::min(streams_[n].prefill_left, options_.prefill_chunk - chunk);
    streams_[n].prefill_left -= part;
    chunk += part;
    if (streams_[n].prefill_left == Tokens(0)) {
      streams_[n].generated += Tokens(1);
      prefilled.push_back(streams_[n].id);
      InsertPrefix(streams_[n]);
    }
    if (chunk >= options_.prefill_chunk) {
      break;
    }
  }
  Duration duration = options_.step_base + options_.step_per_stream * batch +
                      TimeAtRate(chunk, options_.prefill_rate);
  if (cold()) {
    duration *= options_.cold_slowdown;
  }
  completed_ += chunk + Tokens(batch);
  uptime_ += duration;

  for (const uint64_t id : prefilled) {
    events->push_back({StreamEvent::Kind::kFirstToken, id, 1});
  }
  bool freed = false;
  for (size_t n = 0; n < streams_.size();) {
    EngineStream& it = streams_[n];
    if (it.admitted && it.prefill_left == Tokens(0) &&
        it.generated >= it.output) {
      events->push_back({StreamEvent::Kind::kFinished, it.id,
                         static_cast<uint32_t>(it.generated.value())});
      memory_used_ -= it.memory;
      streams_.erase(streams_.begin() + static_cast<ptrdiff_t>(n));
      freed = true;
      continue;
    }
    ++n;
  }
  if (freed) {
    Admit();
  }
  return duration;
}

void EngineModel::Restart() {
  streams_.clear();
  caches_.clear();
  memory_used_ = Tokens(0);
  incarnation_ = incarnation_.Next();
  uptime_ = Duration(0);
  completed_ = Tokens(0);
  fell_over_ = false;
  cache_order_.clear();
  cache_index_.clear();
  lookups_ = 0;
  hits_ = 0;
  cold_until_ = options_.cold_work;
}

void EngineModel::TurnCold() {
  cache_order_.clear();
  cache_index_.clear();
  cold_until_ = completed_ + options_.cold_work;
  CheckColdLoad();
}

EngineLoad EngineModel::Load() const {
  EngineLoad load;
  load.engine = incarnation_;
  load.uptime = uptime_;
  load.memory_total = options_.memory;
  load.memory_used = memory_used_;
  load.completed = completed_;
  load.prefix_lookups = lookups_;
  load.prefix_hits = hits_;
  return load;
}

std::vector<EngineHolding> EngineModel::Holdings() const {
  std::vector<EngineHolding> holdings;
  for (const EngineStream& it : streams_) {
    holdings.push_back({StreamId(std::to_string(it.id)), it.memory, false});
  }
  for (const auto& [id, memory] : caches_) {
    holdings.push_back({StreamId(std::to_string(id)), memory, true});
  }
  return holdings;
}

std::vector<CacheEvent> EngineModel::TakeCacheEvents() {
  return std::exchange(cache_events_, {});
}

}  // namespace burdockhatch::bench
