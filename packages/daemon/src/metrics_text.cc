#include "metrics_text.h"

#include <cctype>
#include <sstream>

namespace coltsfoottide::daemon {

namespace {

constexpr char kPrefix[] = "coltsfoottide_";
constexpr char kHistogram[] = "coltsfoottide_response_seconds";
constexpr double kMsPerSecond = 1000;

std::string EscapeLabel(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '\\' || c == '"') out += '\\';
    out += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return out;
}

std::string MetricName(const std::string& name) {
  std::string out = kPrefix;
  for (const char c : name) out += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_';
  return out;
}

void FormatSeries(const api::LatencySeries& series, std::ostringstream& out) {
  const std::string labels = "team=\"" + EscapeLabel(series.team()) + "\",class=\"" +
                             api::JobClass_Name(series.job_class()) + "\"";
  std::uint64_t cumulative = 0;
  for (int i = 0; i < series.bucket_count_size(); ++i) {
    cumulative += series.bucket_count(i);
    out << kHistogram << "_bucket{" << labels << ",le=\""
        << series.bucket_upper_ms(i) / kMsPerSecond << "\"} " << cumulative << "\n";
  }
  out << kHistogram << "_bucket{" << labels << ",le=\"+Inf\"} " << series.count() << "\n";
  out << kHistogram << "_sum{" << labels << "} "
      << series.mean_ms() * static_cast<double>(series.count()) / kMsPerSecond << "\n";
  out << kHistogram << "_count{" << labels << "} " << series.count() << "\n";
}

}  // namespace

std::string FormatMetrics(const api::GetMetricsResponse& report) {
  std::ostringstream out;
  if (report.series_size() > 0) out << "# TYPE " << kHistogram << " histogram\n";
  for (const api::LatencySeries& it : report.series()) FormatSeries(it, out);
  for (const api::Counter& it : report.counters()) {
    out << MetricName(it.name()) << " " << it.value() << "\n";
  }
  return out.str();
}

}  // namespace coltsfoottide::daemon
