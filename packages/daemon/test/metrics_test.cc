#include "coltsfoottide/daemon/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

#include <numeric>

#include "json_text.h"

namespace coltsfoottide::daemon {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(ReportsEachTeamAndClass);
  CPPUNIT_TEST(LimitsTheNumberOfSeries);
  CPPUNIT_TEST(FormatsPrometheusText);
  CPPUNIT_TEST(QuotesAnyBytesAsJson);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReportsEachTeamAndClass() {
    const auto metrics = MakeMetrics();
    for (int i = 1; i <= 10'000; ++i) {
      // 1 to 1000 ms, each value equally often, not in order.
      metrics->Observe("a", api::URGENT, std::chrono::milliseconds(1 + (i * 7919) % 1000));
    }
    metrics->Observe("a", api::BULK, std::chrono::milliseconds(10));
    // Beyond the last bucket.
    metrics->Observe("a", api::BULK, std::chrono::hours(1));
    const api::GetMetricsResponse report = metrics->Report();
    CPPUNIT_ASSERT_EQUAL(2, report.series_size());
    const api::LatencySeries& urgent = report.series(0);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000}, urgent.count());
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500.5, urgent.mean_ms(), 0.01);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(500, urgent.p50_ms(), 25);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(990, urgent.p99_ms(), 10);
    CPPUNIT_ASSERT_EQUAL(urgent.bucket_upper_ms_size(), urgent.bucket_count_size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{10'000},
                         std::accumulate(urgent.bucket_count().begin(), urgent.bucket_count().end(),
                                         std::uint64_t{0}));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, report.series(1).count());
  }

  // Guards against unbounded memory: team names come from callers, and each new
  // one makes a series.
  void LimitsTheNumberOfSeries() {
    const auto metrics = MakeMetrics();
    for (int i = 0; i < 3000; ++i) {
      metrics->Observe("team-" + std::to_string(i), api::BULK, std::chrono::milliseconds(1));
    }
    const api::GetMetricsResponse report = metrics->Report();
    CPPUNIT_ASSERT(report.series_size() <= 1024);
    std::uint64_t total = 0;
    for (const api::LatencySeries& it : report.series()) total += it.count();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3000}, total);
  }

  void FormatsPrometheusText() {
    const auto metrics = MakeMetrics();
    metrics->Observe("a\"b", api::URGENT, std::chrono::milliseconds(3));
    metrics->Add("starts", 2);
    metrics->Add("starts", 1);
    metrics->Set("queue length", 7);
    const std::string text = metrics->ReportText();
    for (
        const char* line :
        {"# TYPE coltsfoottide_response_seconds histogram\n",
         "coltsfoottide_response_seconds_bucket{team=\"a\\\"b\",class=\"URGENT\",le=\"0.002\"} 0\n",
         "coltsfoottide_response_seconds_bucket{team=\"a\\\"b\",class=\"URGENT\",le=\"0.004\"} 1\n",
         "coltsfoottide_response_seconds_count{team=\"a\\\"b\",class=\"URGENT\"} 1\n",
         "coltsfoottide_starts 3\n", "coltsfoottide_queue_length 7\n"}) {
      CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
  }

  // Guards against log lines that are not valid JSON because of bytes that a
  // caller sent.
  void QuotesAnyBytesAsJson() {
    CPPUNIT_ASSERT_EQUAL(std::string(R"("a\"\\\n\u0001\u007f")"), QuoteJson("a\"\\\n\x01\x7f"));
    CPPUNIT_ASSERT_EQUAL(std::string("\"\u00e9\u20ac\U0001F600\""),
                         QuoteJson("\u00e9\u20ac\U0001F600"));
    const std::string bad = "\xEF\xBF\xBD";
    // A lone lead byte, an overlong form, a surrogate and a truncated end.
    CPPUNIT_ASSERT_EQUAL('"' + bad + "a" + bad + bad + bad + bad + bad + bad + '"',
                         QuoteJson("\xE9"
                                   "a\xC0\xAF\xED\xA0\x80\xC3"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace coltsfoottide::daemon
