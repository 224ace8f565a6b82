// Summaries of the results of a run.
#ifndef BENCH_STATISTICS_H_
#define BENCH_STATISTICS_H_

#include <vector>

#include "bench/policy_run.h"
#include "bench/workload.h"
#include "src/messages.h"

namespace burdockhatch::bench {

// The value below which a share `q` of the sorted copy of `values` lies; 0 when
// empty.
double Quantile(std::vector<double> values, double q);

// Seconds from arrival to the first token, of answered items of one length
// class.
std::vector<double> FirstTokenSeconds(const std::vector<WorkItem>& items,
                                      const RunResult& result,
                                      LengthClass length_class);
std::vector<double> FirstTokenSeconds(const std::vector<WorkItem>& items,
                                      const RunResult& result);

// Milliseconds between tokens, averaged over each answer.
std::vector<double> TokenGapMs(const std::vector<WorkItem>& items,
                               const RunResult& result);

// Per short request: time in `mixed` over time in `alone`, where `alone` ran
// only the short requests of the same workload. A request that was not answered
// in the mix counts as its deadline.
std::vector<double> ShortSlowdown(const std::vector<WorkItem>& mixed_items,
                                  const RunResult& mixed,
                                  const std::vector<WorkItem>& alone_items,
                                  const RunResult& alone);

int CountEnd(const RunResult& result, End end);

// Answers within their deadline, per second of arrivals.
double Goodput(const std::vector<WorkItem>& items, const RunResult& result);

// Items that ended after their deadline or never.
int CountOverdue(const std::vector<WorkItem>& items, const RunResult& result);

}  // namespace burdockhatch::bench

#endif  // BENCH_STATISTICS_H_
