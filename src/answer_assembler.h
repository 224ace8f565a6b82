// Puts the chunks of one request's answer in order. Chunks arrive late, twice,
// out of order or from an attempt that was given up; the caller receives each
// part of the answer once.
#ifndef SRC_ANSWER_ASSEMBLER_H_
#define SRC_ANSWER_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/ids.h"
#include "src/messages.h"
#include "src/units.h"

namespace burdockhatch {

// Chunks kept while an earlier one is missing. What is dropped beyond that is
// requested again with Resume.
inline constexpr size_t kMaxBufferedChunks = 1024;

// Bytes of an answer. A chunk that would exceed it is dropped, so that the
// answer stays incomplete and the request fails at its deadline.
inline constexpr size_t kMaxAnswerBytes = 32 * 1024 * 1024;

class AnswerAssembler {
 public:
  AnswerAssembler() = default;
  explicit AnswerAssembler(const RequestId& request) : request_(request) {}

  // Takes chunks of attempt `number` only from now on. A later attempt goes on
  // at next_chunk(); chunks of the former attempt that wait for an earlier one
  // are dropped, because two attempts may divide an answer differently.
  void SwitchToAttempt(AttemptNumber number);

  // Returns the data that the caller can now receive, in order; empty when the
  // chunk is a duplicate, of another request or attempt, or ahead of a gap.
  std::vector<std::string> Add(Chunk chunk);

  // Index of the first chunk that is missing.
  uint32_t next_chunk() const { return next_chunk_; }
  // Whether a chunk is missing before one that has arrived.
  bool has_gap() const { return !waiting_.empty(); }
  AttemptId attempt() const { return {request_, attempt_}; }
  // The answer up to next_chunk().
  const std::string& text() const { return text_; }
  Tokens tokens() const { return tokens_; }
  // Chunks dropped as duplicates or as belonging to another answer.
  uint64_t dropped() const { return dropped_; }

 private:
  bool Accepts(const Chunk& chunk) const;

  RequestId request_;
  AttemptNumber attempt_;
  uint32_t next_chunk_ = 0;
  std::map<uint32_t, Chunk> waiting_;
  std::string text_;
  Tokens tokens_;
  uint64_t dropped_ = 0;
};

}  // namespace burdockhatch

#endif  // SRC_ANSWER_ASSEMBLER_H_
