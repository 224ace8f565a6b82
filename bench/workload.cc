#include "bench/workload.h"

#include <algorithm>
#include <cmath>

#include "bench/engine_model.h"

namespace burdockhatch::bench {

namespace {

// Documents that are asked about again.
constexpr size_t kRecentDocuments = 64;
// Prompt tokens that all requests of one prefix group share, at most.
constexpr Tokens kGroupPrefix{8'192};
// A deadline leaves time for queueing, for each thousand tokens of the prompt
// and for each token that the caller asks for at the slowest rate of the design
// scale.
constexpr Duration kBaseDeadline{10'000'000};
constexpr Duration kDeadlinePerThousand{300'000};
constexpr Duration kDeadlinePerToken{63'000};

// Callers ask for one of these numbers of tokens.
constexpr Tokens kOutputLimits[] = {Tokens(256), Tokens(512), Tokens(1'024),
                                    kMaxOutput};

struct Document {
  Tokens length;
  std::vector<uint64_t> hashes;
};

Tokens DrawPrompt(Random* random) {
  const double low = static_cast<double>(kShortestPrompt.value());
  const double high = static_cast<double>(kLongestPrompt.value());
  const double cut = 1.0 - std::pow(low / high, kPromptShape);
  const double u = random->UniformReal() * cut;
  return Tokens(
      static_cast<int64_t>(low * std::pow(1.0 - u, -1.0 / kPromptShape)));
}

Tokens DrawOutput(Random* random) {
  const double mean = static_cast<double>(kMeanOutput.value());
  const auto drawn =
      static_cast<int64_t>(-mean * std::log(1.0 - random->UniformReal()));
  return Tokens(std::clamp<int64_t>(drawn, 1, kMaxOutput.value()));
}

Tokens LimitFor(Tokens output) {
  for (const Tokens it : kOutputLimits) {
    if (output <= it) {
      return it;
    }
  }
  return kMaxOutput;
}

Document MakeDocument(Tokens length, int group, uint64_t content) {
  Document document;
  document.length = length;
  uint64_t chain = MixHash(0x67726f7570, static_cast<uint64_t>(group));
  const int64_t blocks = length.value() / kBlockTokens.value();
  for (int64_t n = 0; n < blocks; ++n) {
    const bool shared = (n + 1) * kBlockTokens.value() <= kGroupPrefix.value();
    chain = MixHash(chain, shared ? static_cast<uint64_t>(n) : content);
    document.hashes.push_back(chain);
  }
  return document;
}

int DrawAccount(Random* random, int accounts) {
  if (accounts <= 2 || random->UniformReal() < 0.5) {
    return static_cast<int>(random->UniformBelow(std::min(accounts, 2)));
  }
  return 2 + static_cast<int>(random->UniformBelow(accounts - 2));
}

}  // namespace

Duration DeadlineFor(Tokens prompt, Tokens max_output) {
  return kBaseDeadline + kDeadlinePerThousand * (prompt.value() / 1'000) +
         kDeadlinePerToken * max_output.value();
}

std::vector<WorkItem> MakeWorkload(const WorkloadOptions& options) {
  Random random(options.seed);
  const double rate =
      kRequestsPerSecondPerReplica * options.replicas * options.load;
  std::vector<WorkItem> items;
  std::vector<Document> recent;
  Time now{Duration(1'000'000)};
  const Time end = now + options.length;
  while (true) {
    const double gap = -std::log(1.0 - random.UniformReal()) / rate;
    now += Duration(static_cast<int64_t>(gap * 1e6));
    if (now >= end) {
      return items;
    }
    WorkItem item;
    item.arrival = now;
    item.account = DrawAccount(&random, options.accounts);
    const int group = item.account % options.prefix_groups;
    const Tokens length = DrawPrompt(&random);
    const uint64_t content = random.Next();
    const bool repeat = random.UniformReal() < options.repeat_share;
    const uint64_t choice = random.Next();
    item.output = DrawOutput(&random);
    Document document = MakeDocument(length, group, content);
    if (repeat && !recent.empty()) {
      document = recent[choice % recent.size()];
    } else if (recent.size() < kRecentDocuments) {
      recent.push_back(document);
    } else {
      recent[choice % kRecentDocuments] = document;
    }
    item.prompt = document.length;
    item.prefix_hashes = std::move(document.hashes);
    item.max_output = LimitFor(item.output);
    item.deadline = DeadlineFor(item.prompt, item.max_output);
    if (ClassifyPromptLength(item.prompt) <= options.longest) {
      items.push_back(std::move(item));
    }
  }
}

}  // namespace burdockhatch::bench
