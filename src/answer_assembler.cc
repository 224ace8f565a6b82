#include "src/answer_assembler.h"

#include <utility>

namespace burdockhatch {

void AnswerAssembler::SwitchToAttempt(AttemptNumber number) {
  if (number == attempt_number_) {
    return;
  }
  attempt_number_ = number;
  buffered_chunks_.clear();
}

bool AnswerAssembler::Accepts(const Chunk& chunk) const {
  if (chunk.attempt != attempt() || chunk.index < next_chunk_) {
    return false;
  }
  if (buffered_chunks_.contains(chunk.index)) {
    return false;
  }
  // The next chunk is always accepted, so that a full buffer can drain.
  return chunk.index == next_chunk_ ||
         buffered_chunks_.size() < kMaxBufferedChunks;
}

std::vector<std::string> AnswerAssembler::Add(Chunk chunk) {
  std::vector<std::string> delivered;
  if (!Accepts(chunk)) {
    ++dropped_chunks_;
    return delivered;
  }
  buffered_chunks_.emplace(chunk.index, std::move(chunk));
  auto it = buffered_chunks_.begin();
  while (it != buffered_chunks_.end() && it->first == next_chunk_) {
    if (text_.size() + it->second.data.size() > kMaxAnswerBytes) {
      ++dropped_chunks_;
      buffered_chunks_.erase(it);
      break;
    }
    text_ += it->second.data;
    tokens_ += Tokens(it->second.tokens);
    delivered.push_back(std::move(it->second.data));
    it = buffered_chunks_.erase(it);
    ++next_chunk_;
  }
  return delivered;
}

}  // namespace burdockhatch
