#include "src/crash_blame.h"

#include <array>

#include <gtest/gtest.h>

namespace burdockhatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Verdict = CrashBlame::Verdict;

constexpr PartKey kFirst{1};
constexpr PartKey kPoison{2};
constexpr PartKey kSession{3};
constexpr PartKey kOtherSession{4};

// Sends requests one after the other, each to a target of its own.
class CrashBlameTest : public testing::Test {
 protected:
  Verdict Check(const PartKeys& parts) {
    return blame_.Check(parts, next_trial_, now_).verdict;
  }
  bool IsBlocked(const PartKeys& parts) {
    return Check(parts) == Verdict::kBlocked;
  }

  void Answer(const PartKeys& parts) {
    now_ += milliseconds(100);
    blame_.OnSent(parts, next_trial_, now_);
    now_ += milliseconds(100);
    blame_.OnAnswer(parts, now_);
    blame_.EndTrial(next_trial_++);
  }
  void Crash(const PartKeys& parts,
             CrashEvidence evidence = CrashEvidence::kAtStart) {
    now_ += milliseconds(100);
    blame_.OnSent(parts, next_trial_, now_);
    const Time sent = now_;
    now_ += milliseconds(100);
    blame_.OnCrash(parts, NextTarget(), sent, evidence, now_);
    blame_.EndTrial(next_trial_++);
  }
  std::string NextTarget() { return "t" + std::to_string(next_target_++); }

  // A request that is sent now, for crashes that coincide.
  Time SentNow() { return now_; }

  CrashBlame blame_;
  Time now_{seconds(1'000)};
  uint64_t next_trial_ = 1;
  int next_target_ = 0;
};

// Guards against more crashes than needed to tell a part that crashes targets.
TEST_F(CrashBlameTest, BlocksPartAfterTwoCrashes) {
  Answer({kFirst, kSession});
  Crash({kFirst, kPoison});
  EXPECT_EQ(Check({kFirst, kPoison}), Verdict::kSend);
  Crash({kFirst, kPoison});
  EXPECT_TRUE(IsBlocked({kFirst, kPoison}));
  EXPECT_TRUE(IsBlocked({kPoison, kOtherSession}));
  EXPECT_EQ(Check({kFirst, kSession}), Verdict::kSend);
  EXPECT_EQ(Check({kFirst}), Verdict::kSend);
  EXPECT_EQ(Check({}), Verdict::kSend);
  EXPECT_EQ(blame_.counters().blocks, 1u);
}

// Guards against several requests with a suspect part that crash targets at the
// same time.
TEST_F(CrashBlameTest, SuspectPartIsTriedOneRequestAtATime) {
  Answer({kFirst});
  Crash({kFirst, kPoison});
  const CrashBlame::Decision first = blame_.Check({kFirst, kPoison}, 100, now_);
  EXPECT_EQ(first.verdict, Verdict::kSend);
  EXPECT_TRUE(first.is_trial);
  blame_.OnSent({kFirst, kPoison}, 100, now_);
  EXPECT_EQ(blame_.Check({kFirst, kPoison}, 101, now_).verdict, Verdict::kWait);
  EXPECT_EQ(blame_.Check({kFirst, kPoison}, 100, now_).verdict, Verdict::kSend);
  EXPECT_EQ(blame_.Check({kFirst}, 102, now_).verdict, Verdict::kSend);
  blame_.EndTrial(100);
  EXPECT_EQ(blame_.Check({kFirst, kPoison}, 101, now_).verdict, Verdict::kSend);
  // The end of a trial may be lost with the process that was to report it.
  blame_.OnSent({kFirst, kPoison}, 101, now_);
  EXPECT_EQ(blame_.Check({kFirst, kPoison}, 103, now_ + seconds(6)).verdict,
            Verdict::kSend);
}

// Guards against a part that is in many prompts at once when it crashes its
// first target, and against counts that are not taken back.
TEST_F(CrashBlameTest, FewRequestsShareAPartThatNoneWasAnsweredWith) {
  for (uint64_t trial = 1; trial <= 3; ++trial) {
    EXPECT_FALSE(blame_.IsCrowded({kFirst, kSession}, now_));
    blame_.OnSent({kFirst, kSession}, trial, now_);
    blame_.OnSent({kFirst, kSession}, trial, now_);  // Sent again.
  }
  EXPECT_TRUE(blame_.IsCrowded({kSession}, now_));
  EXPECT_FALSE(blame_.IsCrowded({kOtherSession}, now_));
  blame_.EndTrial(1);
  EXPECT_FALSE(blame_.IsCrowded({kSession}, now_));
  blame_.OnSent({kFirst, kSession}, 4, now_);
  EXPECT_TRUE(blame_.IsCrowded({kSession}, now_));
  blame_.OnAnswer({kFirst, kSession}, now_);
  EXPECT_FALSE(blame_.IsCrowded({kSession}, now_));
  for (uint64_t trial = 10; trial < 20; ++trial) {
    blame_.OnSent({kOtherSession}, trial, now_);
  }
  EXPECT_TRUE(blame_.IsCrowded({kOtherSession}, now_));
  now_ += seconds(6);
  blame_.Prune(now_);
  EXPECT_FALSE(blame_.IsCrowded({kOtherSession}, now_));
}

// Guards against a trial beside attempts that were sent before the first crash
// and crash their targets too.
TEST_F(CrashBlameTest, TrialWaitsForAttemptsInProgress) {
  Answer({kFirst});
  blame_.OnSent({kFirst, kPoison}, 100, now_);
  Crash({kFirst, kPoison});
  EXPECT_EQ(blame_.Check({kFirst, kPoison}, 101, now_).verdict, Verdict::kWait);
  EXPECT_EQ(blame_.Check({kFirst}, 101, now_).verdict, Verdict::kSend);
  blame_.EndTrial(100);
  EXPECT_EQ(blame_.Check({kFirst, kPoison}, 101, now_).verdict, Verdict::kSend);
}

// Guards against blaming a part because many targets were lost at one moment.
TEST_F(CrashBlameTest, CrashesAtOneMomentCountAsOne) {
  const Time sent = SentNow();
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(1);
    blame_.OnCrash({kFirst, kSession}, NextTarget(), sent,
                   CrashEvidence::kAtStart, now_);
  }
  EXPECT_FALSE(IsBlocked({kFirst, kSession}));
}

// Guards against blaming a hot part, or the first part that all requests of a
// route share, for crashes with another cause.
TEST_F(CrashBlameTest, AnsweredPartsAreNotBlamed) {
  for (int i = 0; i < 200; ++i) {
    Crash({kFirst, kSession});
    Answer({kFirst, kSession});
    EXPECT_FALSE(IsBlocked({kFirst, kSession}));
    EXPECT_FALSE(IsBlocked({kFirst}));
  }
  EXPECT_EQ(blame_.counters().blocks, 0u);
}

// Guards against blaming a part of requests that other crashes cut off while
// they were being read.
TEST_F(CrashBlameTest, UnansweredRequestsCountHalf) {
  Crash({kSession}, CrashEvidence::kUnanswered);
  Crash({kSession}, CrashEvidence::kUnanswered);
  Crash({kSession}, CrashEvidence::kUnanswered);
  EXPECT_FALSE(IsBlocked({kSession}));
  Crash({kSession}, CrashEvidence::kUnanswered);
  EXPECT_TRUE(IsBlocked({kSession}));
  Answer({kFirst});
  for (int i = 0; i < 20; ++i) {
    Crash({kFirst}, CrashEvidence::kUnanswered);
  }
  EXPECT_FALSE(IsBlocked({kFirst}));
}

// Guards against a block of healthy requests that share a session with requests
// that crash targets.
TEST_F(CrashBlameTest, BlocksOnlyTheCombinationWhileTheCulpritIsUnclear) {
  Crash({kFirst, kSession, kPoison});
  Crash({kFirst, kSession, kPoison});
  EXPECT_TRUE(IsBlocked({kFirst, kSession, kPoison}));
  EXPECT_FALSE(IsBlocked({kFirst, kSession}));
  Answer({kFirst, kSession});
  EXPECT_TRUE(IsBlocked({kFirst, kPoison}));
  EXPECT_TRUE(IsBlocked({kPoison}));
  EXPECT_FALSE(IsBlocked({kFirst, kSession}));
}

// Guards against a part that is never blocked because it always comes with
// another session.
TEST_F(CrashBlameTest, CrashesReduceTheSuspectsToThePartsInCommon) {
  Crash({kSession, kPoison});
  Crash({kOtherSession, kPoison});
  EXPECT_TRUE(IsBlocked({kPoison, PartKey(9)}));
  EXPECT_FALSE(IsBlocked({kSession}));
  EXPECT_FALSE(IsBlocked({kOtherSession}));
}

// Guards against requests that a crash cut off early, which hide the culprit.
TEST_F(CrashBlameTest, CutOffRequestsDoNotReduceTheSuspects) {
  Crash({kSession, kPoison});
  Crash({kSession}, CrashEvidence::kUnanswered);
  Answer({kSession});
  Crash({kSession, kPoison});
  EXPECT_TRUE(IsBlocked({kPoison}));
  EXPECT_FALSE(IsBlocked({kSession}));
}

// Guards against two poison parts behind one first part that make it suspect.
TEST_F(CrashBlameTest, SeveralPoisonedPartsAreBlockedOneByOne) {
  Answer({kFirst});
  for (uint64_t i = 10; i < 14; ++i) {
    Crash({kFirst, PartKey(i)});
    Crash({kFirst, PartKey(i)});
    EXPECT_TRUE(IsBlocked({kFirst, PartKey(i)}));
    EXPECT_FALSE(IsBlocked({kFirst}));
  }
}

// Guards against a part that was healthy before and is never blamed since.
TEST_F(CrashBlameTest, PartThatWasAnsweredBeforeIsBlockedAfterMoreCrashes) {
  Answer({kFirst});
  for (int i = 0; i < 3; ++i) {
    Crash({kFirst});
    EXPECT_FALSE(IsBlocked({kFirst}));
  }
  Crash({kFirst});
  EXPECT_TRUE(IsBlocked({kFirst}));
}

// Guards against a block without end, and against one that ends so often that a
// part takes down targets all day.
TEST_F(CrashBlameTest, BlockEndsWithOneTrialAndGrows) {
  Crash({kPoison});
  Crash({kPoison});
  EXPECT_EQ(blame_.Check({kPoison}, 1, now_).blocked_left, minutes(2));
  uint32_t crashes = 2;
  const Time end = now_ + std::chrono::hours(24);
  while (now_ < end) {
    now_ += seconds(10);
    blame_.Prune(now_);
    if (Check({kPoison}) == Verdict::kSend) {
      Crash({kPoison});
      ++crashes;
      EXPECT_TRUE(IsBlocked({kPoison}));
    }
  }
  EXPECT_LE(crashes, 8u);
  EXPECT_GE(crashes, 4u);
}

// Guards against a block that goes on after the cause is gone.
TEST_F(CrashBlameTest, AnswerAfterTheBlockClearsThePart) {
  Crash({kPoison});
  Crash({kPoison});
  now_ += minutes(2);
  EXPECT_EQ(Check({kPoison}), Verdict::kSend);
  Answer({kPoison});
  EXPECT_EQ(blame_.suspect_count(), 0u);
  Crash({kPoison});
  EXPECT_FALSE(IsBlocked({kPoison}));
}

// Guards against suspicions and blocks that stay in memory for ever.
TEST_F(CrashBlameTest, BlameIsForgottenAndBounded) {
  Crash({kSession});
  Crash({kPoison});
  Crash({kPoison});
  now_ += minutes(3);
  blame_.Prune(now_);
  EXPECT_EQ(blame_.suspect_count(), 1u);
  now_ += minutes(3);
  blame_.Prune(now_);
  EXPECT_EQ(blame_.suspect_count(), 0u);
  CrashBlameLimits limits;
  limits.max_suspects = 16;
  limits.max_answered_parts = 64;
  blame_ = CrashBlame(limits);
  Crash({kPoison});
  Crash({kPoison});
  for (uint64_t i = 100; i < 10'100; ++i) {
    Answer({PartKey(i)});
    Crash({PartKey(i + 100'000)});
  }
  EXPECT_LE(blame_.suspect_count(), 16u);
  EXPECT_LE(blame_.Export(now_).answered.size(), 64u);
  // What is blocked stays rather than what is suspect.
  now_ = Time(seconds(1'000)) + seconds(30);
  EXPECT_TRUE(IsBlocked({kPoison}));
}

// Guards against suspects and blocks that processes keep alive by telling each
// other of them again and again.
TEST_F(CrashBlameTest, RepeatedReportsAreForgottenByAll) {
  Crash({kSession});
  Crash({kPoison});
  Crash({kPoison});
  std::array<CrashBlame, 3> others;
  for (int i = 0; i < 10 * 60; ++i) {
    now_ += seconds(1);
    for (size_t j = 0; j < others.size(); ++j) {
      others[j].Merge(blame_.ExportShared(now_), now_ + milliseconds(5));
      blame_.Merge(others[j].ExportShared(now_ + milliseconds(5)),
                   now_ + milliseconds(10));
      others[(j + 1) % others.size()].Merge(others[j].ExportShared(now_), now_);
      others[j].Prune(now_ + milliseconds(300 * j));
    }
    blame_.Prune(now_ + milliseconds(700));
  }
  EXPECT_EQ(blame_.suspect_count(), 0u);
  for (const CrashBlame& it : others) {
    EXPECT_EQ(it.suspect_count(), 0u);
  }
}

// Guards against a process that takes over and starts without the evidence, or
// counts it twice.
TEST_F(CrashBlameTest, MergeIsIdempotentAndKeepsBlocks) {
  Answer({kFirst});
  Crash({kFirst, kPoison});
  CrashBlame other;
  for (int i = 0; i < 5; ++i) {
    other.Merge(blame_.Export(now_), now_ + milliseconds(i));
  }
  EXPECT_EQ(other.Check({kFirst, kPoison}, 1, now_).verdict, Verdict::kSend);
  EXPECT_TRUE(other.Check({kFirst, kPoison}, 1, now_).is_trial);
  Crash({kFirst, kPoison});
  other.Merge(blame_.Export(now_), now_);
  EXPECT_EQ(other.Check({kFirst, kPoison}, 1, now_).verdict, Verdict::kBlocked);
  EXPECT_EQ(other.Check({kFirst}, 1, now_).verdict, Verdict::kSend);
  // The block does not grow as it goes round.
  const Duration left = other.Check({kPoison}, 1, now_).blocked_left;
  for (int i = 0; i < 10; ++i) {
    blame_.Merge(other.Export(now_), now_ + seconds(1));
    other.Merge(blame_.Export(now_), now_ + seconds(1));
  }
  EXPECT_EQ(other.Check({kPoison}, 1, now_).blocked_left, left);
}

// Guards against a report that counts as another crash after it has been passed
// on many times, each with a delay.
TEST_F(CrashBlameTest, DelayedReportsAreTheSameCrash) {
  Crash({kPoison});
  CrashBlame other;
  for (int i = 0; i < 40; ++i) {
    other.Merge(blame_.Export(now_), now_ + milliseconds(20));
    blame_.Merge(other.Export(now_ + milliseconds(20)),
                 now_ + milliseconds(40));
  }
  EXPECT_FALSE(IsBlocked({kPoison}));
  EXPECT_EQ(blame_.counters().blocks + other.counters().blocks, 0u);
}

// Guards against a process that knows few requests and makes others block the
// first part that many healthy requests share.
TEST_F(CrashBlameTest, AnswersElsewhereRevokeABlock) {
  CrashBlame other;
  other.OnAnswer({kFirst}, now_);
  Crash({kFirst});
  Crash({kFirst});
  EXPECT_TRUE(IsBlocked({kFirst}));
  other.Merge(blame_.TakeChanges(now_), now_);
  EXPECT_EQ(other.CountBlocked(now_), 0u);
  blame_.Merge(other.TakeChanges(now_), now_);
  EXPECT_FALSE(IsBlocked({kFirst}));
  // The answer removes the part from a larger set too.
  CrashBlame third;
  third.OnCrash({kFirst, kPoison}, "a", now_, CrashEvidence::kAtStart,
                now_ + seconds(1));
  third.OnCrash({kFirst, kPoison}, "b", now_ + seconds(1),
                CrashEvidence::kAtStart, now_ + seconds(2));
  third.Merge(other.Export(now_ + seconds(2)), now_ + seconds(2));
  EXPECT_EQ(third.Check({kPoison}, 1, now_ + seconds(2)).verdict,
            Verdict::kBlocked);
}

// Guards against crashes of a hot part that different processes have seen and
// that add up although the part was answered between them.
TEST_F(CrashBlameTest, CrashesBeforeAnAnswerDoNotAddUp) {
  Answer({kFirst});
  CrashBlame judge;
  judge.Merge(blame_.Export(now_), now_);
  for (int i = 0; i < 8; ++i) {
    Crash({kFirst});
    judge.OnAnswer({kFirst}, now_ + milliseconds(10));
    judge.Merge(blame_.Export(now_), now_ + milliseconds(20));
    EXPECT_EQ(judge.CountBlocked(now_ + milliseconds(20)), 0u);
  }
  // The process without the answers has blocked the part and is corrected.
  EXPECT_TRUE(IsBlocked({kFirst}));
  now_ += milliseconds(30);
  blame_.Merge(judge.TakeChanges(now_), now_);
  EXPECT_FALSE(IsBlocked({kFirst}));
}

// Guards against a block by a process that knows too few requests to judge, and
// against one that ignores the judgement of others.
TEST_F(CrashBlameTest, ProcessThatDoesNotJudgeBlocksOnlyWhatOthersBlock) {
  blame_.SetJudging(false);
  for (int i = 0; i < 10; ++i) {
    Crash({kPoison});
  }
  EXPECT_FALSE(IsBlocked({kPoison}));
  CrashBlame judge;
  judge.Merge(blame_.Export(now_), now_);
  EXPECT_EQ(judge.CountBlocked(now_), 1u);
  blame_.Merge(judge.TakeChanges(now_), now_);
  EXPECT_TRUE(IsBlocked({kPoison}));
}

// Guards against crashes seen by different entries that never add up.
TEST_F(CrashBlameTest, EvidenceOfSeveralProcessesAddsUp) {
  CrashBlame other;
  Crash({kPoison});
  const Time sent = now_ + milliseconds(10);
  now_ += milliseconds(100);
  other.OnCrash({kPoison}, "elsewhere", sent, CrashEvidence::kAtStart, now_);
  other.Merge(blame_.Export(now_), now_);
  EXPECT_EQ(other.Check({kPoison}, 1, now_).verdict, Verdict::kBlocked);
}

// Guards against a report that goes round among processes without end.
TEST_F(CrashBlameTest, OnlyNewsAreSpread) {
  Crash({kPoison});
  const BlameReport news = blame_.TakeChanges(now_);
  EXPECT_EQ(news.records.size(), 1u);
  EXPECT_TRUE(blame_.TakeChanges(now_).empty());
  CrashBlame other;
  other.Merge(news, now_ + milliseconds(3));
  EXPECT_FALSE(other.TakeChanges(now_).empty());
  blame_.Merge(other.Export(now_ + milliseconds(3)), now_ + milliseconds(6));
  EXPECT_TRUE(blame_.TakeChanges(now_).empty());
  blame_.OnAnswer({kPoison}, now_ + seconds(1));
  const BlameReport cleared = blame_.TakeChanges(now_ + seconds(1));
  ASSERT_EQ(cleared.answered.size(), 1u);
  other.Merge(cleared, now_ + seconds(1));
  EXPECT_EQ(other.suspect_count(), 0u);
}

// Guards against an old answer, or a stale report, that decides against later
// evidence.
TEST_F(CrashBlameTest, EvidenceIsOrderedByAge) {
  Answer({kPoison});
  BlameReport old;
  old.answered.push_back({kPoison, seconds(30)});
  Crash({kPoison});
  blame_.Merge(old, now_);
  EXPECT_EQ(blame_.suspect_count(), 1u);
  const BlameReport stale = blame_.Export(now_);
  Answer({kPoison});
  now_ += seconds(5);
  BlameReport late = stale;
  late.records[0].sightings[0].age += seconds(5);
  blame_.Merge(late, now_);
  EXPECT_EQ(blame_.suspect_count(), 0u);
}

// Guards against an operator who cannot end a block.
TEST_F(CrashBlameTest, LiftEndsABlock) {
  Crash({kPoison});
  Crash({kPoison});
  CrashBlame other;
  other.Merge(blame_.TakeChanges(now_), now_);
  EXPECT_TRUE(blame_.Lift(kPoison, now_));
  EXPECT_FALSE(IsBlocked({kPoison}));
  other.Merge(blame_.TakeChanges(now_), now_);
  EXPECT_EQ(other.suspect_count(), 0u);
  EXPECT_FALSE(blame_.Lift(kPoison, now_));
}

// Guards against a switch that does not switch off.
TEST_F(CrashBlameTest, DisabledBlameBlocksNothing) {
  CrashBlameLimits limits;
  limits.enabled = false;
  blame_ = CrashBlame(limits);
  for (int i = 0; i < 10; ++i) {
    Crash({kPoison});
  }
  EXPECT_EQ(Check({kPoison}), Verdict::kSend);
  EXPECT_EQ(blame_.suspect_count(), 0u);
}

// Requests that have a mark of their own. Their first part is in every prompt.
class RequestBlameTest : public CrashBlameTest {
 protected:
  static constexpr PartKey kDeadly{70};
  static constexpr PartKey kSound{71};

  Verdict CheckRequest(PartKey mark) {
    return blame_.Check({kFirst}, next_trial_, now_, mark).verdict;
  }
  void AnswerRequest(PartKey mark) {
    now_ += milliseconds(100);
    blame_.OnSent({kFirst}, next_trial_, now_, mark);
    now_ += milliseconds(100);
    blame_.OnAnswer({kFirst}, now_, mark);
    blame_.EndTrial(next_trial_++);
  }
  void CrashRequest(PartKey mark,
                    CrashEvidence evidence = CrashEvidence::kAtStart) {
    CrashWithParts({kFirst}, mark, evidence);
  }
  void CrashWithParts(const PartKeys& parts,
                      PartKey mark,
                      CrashEvidence evidence = CrashEvidence::kAtStart) {
    now_ += milliseconds(100);
    blame_.OnSent(parts, next_trial_, now_, mark);
    const Time sent = now_;
    now_ += milliseconds(100);
    blame_.OnCrash(parts, NextTarget(), sent, evidence, now_, mark);
    blame_.EndTrial(next_trial_++);
  }
};

// Guards against a block of a part that sound requests share, while the request
// that crashes targets goes on to the next one.
TEST_F(RequestBlameTest, BlocksTheRequestAndNotItsAnsweredParts) {
  AnswerRequest(kSound);
  for (uint64_t mark = 100; mark < 130; ++mark) {
    CrashRequest(PartKey(mark));
    EXPECT_EQ(CheckRequest(PartKey(mark)), Verdict::kSend);
    EXPECT_EQ(CheckRequest(kSound), Verdict::kSend);
    CrashRequest(PartKey(mark));
    EXPECT_EQ(CheckRequest(PartKey(mark)), Verdict::kBlocked);
    EXPECT_FALSE(blame_.Check({kFirst}, 1, now_, kSound).is_trial);
    EXPECT_FALSE(blame_.Check({kFirst}, 1, now_).is_trial);
    AnswerRequest(kSound);
  }
  EXPECT_EQ(CheckRequest(PartKey(100)), Verdict::kBlocked);
}

// Guards against a new part that sound requests share and that is blocked
// because one request with it crashes targets, and against one that is never
// blocked because each request is.
TEST_F(RequestBlameTest, CrashesOfOneRequestCountOnceAgainstItsParts) {
  CrashWithParts({kPoison}, kDeadly);
  CrashWithParts({kPoison}, kDeadly);
  EXPECT_EQ(blame_.Check({kPoison}, 1, now_, kDeadly).verdict,
            Verdict::kBlocked);
  EXPECT_EQ(blame_.Check({kPoison}, 1, now_, kSound).verdict, Verdict::kSend);
  CrashWithParts({kPoison}, PartKey(72));
  EXPECT_EQ(blame_.Check({kPoison}, 1, now_, kSound).verdict,
            Verdict::kBlocked);
}

// Guards against refusals of requests that were read beside others that crashed
// their targets, or when a rack was lost.
TEST_F(RequestBlameTest, RequestBesideCrashesIsSentAgainAndCleared) {
  AnswerRequest(PartKey(72));
  CrashRequest(kSound, CrashEvidence::kUnanswered);
  CrashRequest(kSound, CrashEvidence::kUnanswered);
  EXPECT_EQ(CheckRequest(kSound), Verdict::kSend);
  AnswerRequest(kSound);
  CrashRequest(kSound);
  EXPECT_EQ(CheckRequest(kSound), Verdict::kSend);
  AnswerRequest(kSound);
  EXPECT_EQ(blame_.suspect_count(), 0u);
  const Time sent = SentNow();
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(1);
    blame_.OnCrash({kFirst}, NextTarget(), sent, CrashEvidence::kAtStart, now_,
                   kSound);
  }
  EXPECT_EQ(CheckRequest(kSound), Verdict::kSend);
  EXPECT_EQ(blame_.counters().blocks, 0u);
}

// Guards against a block of a request that was beside another one at both
// crashes of that one.
TEST_F(RequestBlameTest, RequestsWithTheSameCrashesAreToldApart) {
  AnswerRequest(PartKey(72));
  for (int i = 0; i < 2; ++i) {
    now_ += milliseconds(100);
    const Time sent = now_;
    const std::string target = NextTarget();
    now_ += milliseconds(100);
    for (const PartKey it : {kDeadly, kSound}) {
      now_ += milliseconds(1);
      blame_.OnCrash({kFirst}, target, sent, CrashEvidence::kAtStart, now_, it);
    }
  }
  for (const PartKey it : {kDeadly, kSound}) {
    EXPECT_EQ(CheckRequest(it), Verdict::kSend);
    EXPECT_TRUE(blame_.Check({kFirst}, 1, now_, it).is_trial);
  }
  CrashRequest(kDeadly);
  EXPECT_EQ(CheckRequest(kDeadly), Verdict::kBlocked);
  AnswerRequest(kSound);
  EXPECT_FALSE(blame_.Check({kFirst}, 1, now_, kSound).is_trial);
}

// Guards against a request that crashes its targets before they answer and is
// sent to more and more of them.
TEST_F(RequestBlameTest, ThreeUnansweredCrashesBlockTheRequest) {
  AnswerRequest(kSound);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(CheckRequest(kDeadly), Verdict::kSend);
    CrashRequest(kDeadly, CrashEvidence::kUnanswered);
  }
  EXPECT_EQ(CheckRequest(kDeadly), Verdict::kBlocked);
}

// Guards against a client that sends its request through several entries at
// once and takes down a target through each.
TEST_F(RequestBlameTest, SuspectRequestIsTriedOnceAtATime) {
  AnswerRequest(kSound);
  blame_.OnSent({kFirst}, 100, now_, kDeadly);
  CrashRequest(kDeadly);
  EXPECT_EQ(CheckRequest(kDeadly), Verdict::kWait);
  EXPECT_EQ(CheckRequest(kSound), Verdict::kSend);
  blame_.EndTrial(100);
  const CrashBlame::Decision trial = blame_.Check({kFirst}, 1, now_, kDeadly);
  EXPECT_EQ(trial.verdict, Verdict::kSend);
  EXPECT_TRUE(trial.is_trial);
  blame_.OnSent({kFirst}, 101, now_, kDeadly);
  EXPECT_EQ(CheckRequest(kDeadly), Verdict::kWait);
  // The end of a trial may be lost with the process that was to report it.
  now_ += seconds(6);
  EXPECT_EQ(CheckRequest(kDeadly), Verdict::kSend);
}

// Guards against an agent that takes over without the evidence against a
// request, and against a report that suspects an answered one again.
TEST_F(RequestBlameTest, EvidenceOfSeveralProcessesAddsUp) {
  AnswerRequest(kSound);
  CrashRequest(kDeadly);
  CrashBlame next;
  next.SetJudging(false);
  next.Merge(blame_.TakeChanges(now_), now_);
  now_ += milliseconds(100);
  const Time sent = now_;
  now_ += milliseconds(100);
  next.OnCrash({kFirst}, "elsewhere", sent, CrashEvidence::kAtStart, now_,
               kDeadly);
  EXPECT_EQ(next.Check({kFirst}, 1, now_, kDeadly).verdict, Verdict::kSend);
  next.SetJudging(true);
  for (int i = 0; i < 5; ++i) {
    next.Merge(blame_.Export(now_), now_ + milliseconds(i));
  }
  EXPECT_EQ(next.Check({kFirst}, 1, now_, kDeadly).verdict, Verdict::kBlocked);
  EXPECT_EQ(next.Check({kFirst}, 1, now_, kSound).verdict, Verdict::kSend);
  const BlameReport late = blame_.Export(now_);
  AnswerRequest(kDeadly);
  blame_.Merge(late, now_);
  EXPECT_EQ(blame_.suspect_count(), 0u);
  next.Merge(blame_.TakeChanges(now_), now_);
  EXPECT_EQ(next.Check({kFirst}, 1, now_, kDeadly).verdict, Verdict::kSend);
}

// Guards against marks that stay in memory, that push out suspect parts or
// answers, and against reports beyond their limits.
TEST_F(RequestBlameTest, MarksAreBounded) {
  AnswerRequest(kSound);
  CrashRequest(kDeadly);
  CrashRequest(kDeadly);
  Crash({kPoison});
  for (uint64_t mark = 1'000; mark < 6'000; ++mark) {
    blame_.OnCrash({kFirst}, NextTarget(), now_ - milliseconds(1),
                   CrashEvidence::kAtStart, now_, PartKey(mark));
    blame_.OnSent({kFirst}, mark, now_, PartKey(mark + 10'000));
    blame_.OnAnswer({kFirst}, now_, PartKey(mark + 10'000));
    blame_.EndTrial(mark);
  }
  EXPECT_LE(blame_.suspect_count(), RequestBlame::kMaxSuspects + 2);
  EXPECT_EQ(CheckRequest(kDeadly), Verdict::kBlocked);
  EXPECT_TRUE(blame_.Check({kPoison}, 1, now_).is_trial);
  const BlameReport report = blame_.Export(now_);
  EXPECT_LE(report.records.size(), kMaxBlameRecords);
  EXPECT_EQ(report.answered.size(), 1u);
  now_ += minutes(5);
  blame_.Prune(now_);
  EXPECT_EQ(blame_.suspect_count(), 0u);
}

// Guards against a leader that tells all entries of each request that was
// beside an ordinary crash.
TEST_F(RequestBlameTest, LeaderTellsOnlyOfLiftedRequests) {
  blame_.SetTellsRequests(false);
  AnswerRequest(kSound);
  blame_.TakeChanges(now_);
  for (uint64_t mark = 100; mark < 120; ++mark) {
    blame_.OnCrash({kFirst}, "t", now_ - milliseconds(1),
                   CrashEvidence::kAtStart, now_, PartKey(mark));
  }
  AnswerRequest(PartKey(100));
  for (const BlameRecord& it : blame_.TakeChanges(now_).records) {
    EXPECT_FALSE(it.is_own_mark);
  }
  CrashRequest(kDeadly);
  CrashRequest(kDeadly);
  EXPECT_EQ(CheckRequest(kDeadly), Verdict::kBlocked);
  EXPECT_NE(blame_.Dump(now_).find("\"is_own_mark\":true"), std::string::npos);
  EXPECT_TRUE(blame_.Lift(kDeadly, now_));
  EXPECT_EQ(CheckRequest(kDeadly), Verdict::kSend);
  EXPECT_FALSE(blame_.TakeChanges(now_).answered.empty());
}

// Guards against blame that crosses from one model to another.
TEST_F(CrashBlameTest, KeysDifferByModel) {
  EXPECT_NE(MakeOwnMark("a", 1), MakeOwnMark("b", 1));
  EXPECT_NE(MakeOwnMark("a", 1), MakePartKey("a", uint64_t{1}));
  EXPECT_NE(MakePartKey("a", "part"), MakePartKey("b", "part"));
  EXPECT_NE(MakePartKey("a", uint64_t{1}), MakePartKey("b", uint64_t{1}));
}

}  // namespace
}  // namespace burdockhatch
