#include "src/entry_blame.h"

#include <algorithm>
#include <utility>

#include "src/random.h"
#include "src/request_end.h"

namespace burdockhatch {

namespace {

// Interval at which a request looks whether the trial of another one has ended.
constexpr Duration kTrialCheckInterval = std::chrono::milliseconds(20);
// Interval at which suspects and blocks are told again.
constexpr Duration kReportInterval = std::chrono::seconds(1);
// Every block up to this depth is a part; beyond it, each depth is
// kDepthGrowth times the one before, as a prompt may have thousands of blocks.
constexpr size_t kDenseDepth = 16;
constexpr double kDepthGrowth = 1.5;

uint64_t TrialOf(const RequestRow& row) {
  return MixHash(row.spec.request.high, row.spec.request.low);
}

}  // namespace

PartKeys SharedPartsOf(const RequestSpec& spec) {
  PartKeys parts;
  const std::string& model = spec.model.value();
  if (spec.template_prefix_hash) {
    parts.push_back(MakePartKey(model, *spec.template_prefix_hash));
  }
  const std::vector<uint64_t>& blocks = spec.prefix_hashes;
  double depth = 0;
  while (depth + 1 < static_cast<double>(blocks.size()) &&
         parts.size() < kMaxPartsOfPrompt) {
    parts.push_back(MakePartKey(model, blocks[static_cast<size_t>(depth)]));
    depth = depth < kDenseDepth ? depth + 1 : depth * kDepthGrowth;
  }
  return parts;
}

PartKey OwnMarkOf(const RequestSpec& spec) {
  return spec.prompt_hash ? MakeOwnMark(spec.model.value(), *spec.prompt_hash)
                          : PartKey();
}

bool CheckPartsBeforeOffer(EntryTables& tables, RequestRow& row, Time now) {
  const CrashBlame::Decision decision =
      tables.blame.Check(row.parts, TrialOf(row), now, row.own_mark);
  switch (decision.verdict) {
    case CrashBlame::Verdict::kSend:
      return true;
    case CrashBlame::Verdict::kWait:
      if (row.phase != RequestPhase::kWaiting || row.next_placement == Time()) {
        tables.blame.CountWait();
      }
      row.phase = RequestPhase::kWaiting;
      row.next_placement = now + kTrialCheckInterval;
      return false;
    case CrashBlame::Verdict::kBlocked:
      tables.blame.CountRefusal();
      FailRow(tables, row, ErrorCode::kPartBlocked, decision.blocked_left, now);
      return false;
  }
  return true;
}

void RecordOfferForBlame(EntryTables& tables, const RequestRow& row, Time now) {
  tables.blame.OnSent(row.parts, TrialOf(row), now, row.own_mark);
}

void EndTrialOf(EntryTables& tables, const RequestRow& row) {
  tables.blame.EndTrial(TrialOf(row));
}

void RecordAnswerForBlame(EntryTables& tables, RequestRow& row, Time now) {
  EntryAttempt& attempt = *row.attempt;
  if (!attempt.has_output && row.next_chunk > attempt.first_chunk) {
    attempt.has_output = true;
    tables.blame.OnAnswer(row.parts, now, row.own_mark);
    EndTrialOf(tables, row);
  }
}

void RecordFailureForBlame(EntryTables& tables,
                           const RequestRow& row,
                           const Failure& failure,
                           CrashEvidence evidence,
                           Time now) {
  const EntryAttempt& attempt = *row.attempt;
  if (failure.code != ErrorCode::kTargetFailed || attempt.has_output) {
    return;
  }
  const InstanceId& agent = tables.fleet.rows[attempt.slot].info.instance;
  tables.blame.OnCrash(row.parts, agent.value(), attempt.offered_at, evidence,
                       now, row.own_mark);
}

void SpreadBlame(EntryTables& tables, Time now) {
  BlameReport news = tables.blame.TakeChanges(now);
  if (!news.empty()) {
    tables.actions.push_back(SpreadReport{std::move(news)});
  }
}

// A report may be lost, as on a connection to an entry that has restarted.
void RepeatBlame(EntryTables& tables, Time now) {
  if (now < tables.next_blame_report) {
    return;
  }
  tables.next_blame_report = now + kReportInterval;
  BlameReport known = tables.blame.ExportShared(now);
  if (!known.empty()) {
    tables.actions.push_back(SpreadReport{std::move(known)});
  }
}

}  // namespace burdockhatch
