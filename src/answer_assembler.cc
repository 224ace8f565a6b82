#include "src/answer_assembler.h"

#include <utility>

namespace burdockhatch {

void AnswerAssembler::SwitchToAttempt(AttemptNumber number) {
  if (number == attempt_) {
    return;
  }
  attempt_ = number;
  waiting_.clear();
}

bool AnswerAssembler::Accepts(const Chunk& chunk) const {
  if (chunk.attempt != attempt() || chunk.index < next_chunk_) {
    return false;
  }
  if (waiting_.contains(chunk.index)) {
    return false;
  }
  // The next chunk always fits, so that a full buffer drains.
  return chunk.index == next_chunk_ || waiting_.size() < kMaxBufferedChunks;
}

std::vector<std::string> AnswerAssembler::Add(Chunk chunk) {
  std::vector<std::string> delivered;
  if (!Accepts(chunk)) {
    ++dropped_;
    return delivered;
  }
  waiting_.emplace(chunk.index, std::move(chunk));
  auto it = waiting_.begin();
  while (it != waiting_.end() && it->first == next_chunk_) {
    if (text_.size() + it->second.data.size() > kMaxAnswerBytes) {
      ++dropped_;
      waiting_.erase(it);
      break;
    }
    text_ += it->second.data;
    tokens_ += Tokens(it->second.tokens);
    delivered.push_back(std::move(it->second.data));
    it = waiting_.erase(it);
    ++next_chunk_;
  }
  return delivered;
}

}  // namespace burdockhatch
