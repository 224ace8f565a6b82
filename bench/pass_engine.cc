#include "bench/pass_engine.h"

#include <algorithm>

namespace burdockhatch::bench {

namespace {

// Prompt tokens that one step reads at most, of the users' sheets.
constexpr double kChunkTokens = 2'048;

}  // namespace

void PassEngine::Read(uint64_t request,
                      Tokens tokens,
                      double read_ms,
                      bool helps) {
  const auto n = static_cast<double>(std::max<int64_t>(tokens.value(), 1));
  const Part part{request, n, read_ms / n, helps};
  const auto place =
      helps ? std::find_if(parts_.begin(), parts_.end(),
                           [](const Part& it) { return !it.helps; })
            : parts_.end();
  parts_.insert(place, part);
}

void PassEngine::Write(uint64_t request, Tokens context, Tokens output) {
  answers_.push_back(
      {request, static_cast<double>(context.value()) / 1e3, output.value()});
}

void PassEngine::Cancel(uint64_t request) {
  std::erase_if(parts_,
                [request](const Part& it) { return it.request == request; });
  std::erase_if(answers_,
                [request](const Answer& it) { return it.request == request; });
}

double PassEngine::BeginPassMs() {
  double context_k = 0;
  for (Answer& it : answers_) {
    it.in_pass = true;
    context_k += it.context_k;
  }
  steps_ = answers_.empty() ? 1 : cost_.steps_per_pass;
  double ms = steps_ *
              (cost_.step_ms +
               cost_.step_ms_per_answer * static_cast<double>(answers_.size()) +
               cost_.step_ms_per_1k_context * context_k);
  double room = kChunkTokens * steps_;
  for (Part& it : parts_) {
    it.tokens_in_pass = std::min(room, it.tokens_left);
    room -= it.tokens_in_pass;
    const double read_ms = it.tokens_in_pass * it.ms_per_token;
    busy_reading_ms_ += read_ms;
    ms += read_ms;
  }
  return ms;
}

std::vector<PassEvent> PassEngine::EndPass() {
  std::vector<PassEvent> events;
  for (Part& it : parts_) {
    it.tokens_left -= it.tokens_in_pass;
    it.tokens_in_pass = 0;
    if (it.tokens_left < 0.5) {
      events.push_back({PassEvent::Kind::kPartRead, it.request});
    }
  }
  std::erase_if(parts_, [](const Part& it) { return it.tokens_left < 0.5; });
  for (Answer& it : answers_) {
    if (it.in_pass) {
      it.tokens_left -= steps_;
      events.push_back({it.tokens_left > 0 ? PassEvent::Kind::kTokens
                                           : PassEvent::Kind::kAnswered,
                        it.request});
    }
  }
  std::erase_if(answers_, [](const Answer& it) { return it.tokens_left <= 0; });
  return events;
}

}  // namespace burdockhatch::bench
