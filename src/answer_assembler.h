// Puts the chunks of one request's answer in order. Chunks may arrive late,
// duplicated, out of order or from an abandoned attempt; the caller receives
// each part of the answer once.
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

// Maximum number of chunks buffered while an earlier one is missing. Chunks
// dropped beyond it are requested again with Resume.
inline constexpr size_t kMaxBufferedChunks = 1024;

// Maximum size of an answer. A chunk that would exceed it is dropped, so the
// answer stays incomplete and the request fails at its deadline.
inline constexpr size_t kMaxAnswerBytes = 32 * 1024 * 1024;

class AnswerAssembler {
 public:
  AnswerAssembler() = default;
  explicit AnswerAssembler(const RequestId& request) : request_(request) {}

  // Accepts only chunks of attempt `number` from now on. A new attempt
  // continues at next_chunk(). Buffered chunks of the previous attempt are
  // dropped, because two attempts may divide an answer differently.
  void SwitchToAttempt(AttemptNumber number);

  // Returns the data that can now be sent to the caller, in order. The result
  // is empty if the chunk is a duplicate, belongs to another request or
  // attempt, or comes after a missing chunk.
  std::vector<std::string> Add(Chunk chunk);

  // Index of the first missing chunk.
  uint32_t next_chunk() const { return next_chunk_; }
  // Whether a chunk is missing before a received one.
  bool has_gap() const { return !buffered_chunks_.empty(); }
  AttemptId attempt() const { return {request_, attempt_number_}; }
  // Returns the answer before next_chunk().
  const std::string& text() const { return text_; }
  Tokens tokens() const { return tokens_; }
  // Number of chunks dropped: duplicates, chunks of other requests or attempts,
  // and chunks beyond the limits.
  uint64_t dropped_chunks() const { return dropped_chunks_; }

 private:
  bool Accepts(const Chunk& chunk) const;

  RequestId request_;
  AttemptNumber attempt_number_;
  uint32_t next_chunk_ = 0;
  std::map<uint32_t, Chunk> buffered_chunks_;
  std::string text_;
  Tokens tokens_;
  uint64_t dropped_chunks_ = 0;
};

}  // namespace burdockhatch

#endif  // SRC_ANSWER_ASSEMBLER_H_
