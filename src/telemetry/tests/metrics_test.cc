#include "egretrack/telemetry/metrics.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "telemetry/summary.h"

namespace egretrack::telemetry {
namespace {

// Guards against text output that a Prometheus server rejects.
TEST(Metrics, WritesPrometheusTextFormat) {
  const auto all = metrics::Create();
  all->SetCounter("jobs_total", "kind=\"b\"", 2);
  all->SetCounter("jobs_total", "kind=\"a\"", 1);
  all->SetCounter("jobs_total", "kind=\"a\"", 3);
  all->SetGauge("queue", "", 1.5);
  all->Observe("run_ms", "", 10);
  all->Observe("run_ms", "", 20);
  EXPECT_EQ(all->ToText(),
            "# TYPE jobs_total counter\n"
            "jobs_total{kind=\"a\"} 3\n"
            "jobs_total{kind=\"b\"} 2\n"
            "# TYPE queue gauge\n"
            "queue 1.5\n"
            "# TYPE run_ms summary\n"
            "run_ms{quantile=\"0.5\"} 10\n"
            "run_ms{quantile=\"0.99\"} 20\n"
            "run_ms_sum 30\n"
            "run_ms_count 2\n"
            "# TYPE run_ms_mean gauge\n"
            "run_ms_mean 15\n"
            "# TYPE run_ms_max gauge\n"
            "run_ms_max 20\n");
}

// Guards against wrong quantiles of few or skewed observations. Each estimate
// may differ from the exact quantile by at most 5 %.
TEST(Summary, EstimatesQuantilesWithinFivePercent) {
  std::mt19937_64 random(20261204);
  std::lognormal_distribution<double> run_time(4, 1);
  summary estimated;
  std::vector<double> exact;
  for (const std::size_t size : {1U, 5U, 100U, 2000U, 20000U}) {
    while (exact.size() < size) {
      exact.push_back(run_time(random));
      estimated.Add(exact.back());
    }
    std::sort(exact.begin(), exact.end());
    const auto rank = [&](double p) {
      return exact[static_cast<std::size_t>(
                       std::ceil(p * static_cast<double>(size))) -
                   1];
    };
    EXPECT_NEAR(estimated.Quantile(quantile::kMedian), rank(0.5),
                0.05 * rank(0.5));
    EXPECT_NEAR(estimated.Quantile(quantile::kP99), rank(0.99),
                0.05 * rank(0.99));
    EXPECT_EQ(estimated.maximum(), exact.back());
  }
}

// Guards against one non-finite observation that makes the mean non-finite.
TEST(Summary, IgnoresNonFiniteValues) {
  summary values;
  values.Add(std::numeric_limits<double>::quiet_NaN());
  values.Add(std::numeric_limits<double>::infinity());
  EXPECT_EQ(values.mean(), 0);
  values.Add(4);
  EXPECT_EQ(values.mean(), 4);
  EXPECT_EQ(values.count(), 1U);
}

// Guards against buckets that are not cumulative, which Prometheus requires,
// and against losing durations above the last bound.
TEST(Metrics, WritesCumulativeHistogram) {
  const auto values = metrics::Create();
  values->ObserveDuration("response_seconds", "kind=\"quote\"",
                          milliseconds(1));
  values->ObserveDuration("response_seconds", "kind=\"quote\"",
                          milliseconds(15));
  values->ObserveDuration("response_seconds", "kind=\"quote\"", seconds(20));
  const std::string text = values->ToText();
  for (const char* line :
       {"# TYPE response_seconds histogram\n",
        "response_seconds_bucket{kind=\"quote\",le=\"0.001\"} 1\n",
        "response_seconds_bucket{kind=\"quote\",le=\"0.01\"} 1\n",
        "response_seconds_bucket{kind=\"quote\",le=\"0.02\"} 2\n",
        "response_seconds_bucket{kind=\"quote\",le=\"10\"} 2\n",
        "response_seconds_bucket{kind=\"quote\",le=\"+Inf\"} 3\n",
        "response_seconds_count{kind=\"quote\"} 3\n"}) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
}

}  // namespace
}  // namespace egretrack::telemetry
