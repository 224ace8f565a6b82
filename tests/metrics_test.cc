#include "src/metrics.h"

#include <thread>

#include <gtest/gtest.h>

#include "src/log.h"

namespace burdockhatch {
namespace {

TEST(MetricsTest, WritesExpositionFormat) {
  Metrics metrics;
  metrics.IncrementCounter("requests_total", "code=\"none\"");
  metrics.IncrementCounter("requests_total", "code=\"none\"", 2);
  metrics.SetGauge("open", "", -3);
  const std::string text = metrics.ExpositionText();
  EXPECT_NE(text.find("# TYPE requests_total counter\n"
                      "requests_total{code=\"none\"} 3\n"),
            std::string::npos)
      << text;
  EXPECT_NE(text.find("# TYPE open gauge\nopen -3\n"), std::string::npos);
}

// Guards against losing observations beyond the last bound, and against buckets
// that are not cumulative.
TEST(MetricsTest, HistogramBucketsAreCumulative) {
  Metrics metrics;
  metrics.ObserveDuration("seconds", "", Duration(0));
  metrics.ObserveDuration("seconds", "", std::chrono::milliseconds(50));
  metrics.ObserveDuration("seconds", "", std::chrono::hours(2));
  const std::string text = metrics.ExpositionText();
  EXPECT_NE(text.find("seconds_bucket{le=\"0.001\"} 1\n"), std::string::npos)
      << text;
  EXPECT_NE(text.find("seconds_bucket{le=\"0.1\"} 2\n"), std::string::npos);
  EXPECT_NE(text.find("seconds_bucket{le=\"300\"} 2\n"), std::string::npos);
  EXPECT_NE(text.find("seconds_bucket{le=\"+Inf\"} 3\n"), std::string::npos);
  EXPECT_NE(text.find("seconds_count 3\n"), std::string::npos);
}

// Lets the limiter report the lines that earlier tests have lost, which would
// be the first line of a captured output.
void ReportDroppedLines() {
  std::this_thread::sleep_for(std::chrono::milliseconds(50));
  Log(LogLevel::kInfo, "test_started");
}

// Guards against untrusted values that forge a log line or field.
TEST(LogTest, ValuesAreQuoted) {
  ReportDroppedLines();
  testing::internal::CaptureStdout();
  SetLogIdentity(InstanceId("i-1"), DataCentreId("dc"));
  LogRequest(LogLevel::kWarning, {1, 2}, "event",
             {{"key", "a\nlevel=error b=\"c\""}});
  const std::string line = testing::internal::GetCapturedStdout();
  EXPECT_EQ(std::count(line.begin(), line.end(), '\n'), 1);
  EXPECT_NE(line.find("level=warning instance=i-1 data_centre=dc event=event "
                      "request=00000000000000010000000000000002 "
                      "key=\"a\\x0alevel=error b=\\\"c\\\"\""),
            std::string::npos)
      << line;
}

// Guards against a log that fills the disk of its reader or blocks the process.
TEST(LogTest, LineRateIsLimited) {
  testing::internal::CaptureStdout();
  for (int i = 0; i < 20'000; ++i) {
    Log(LogLevel::kInfo, "flood");
  }
  const std::string text = testing::internal::GetCapturedStdout();
  EXPECT_LE(std::count(text.begin(), text.end(), '\n'), 5'000);
}

}  // namespace
}  // namespace burdockhatch
