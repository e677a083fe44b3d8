#include "egretrack/telemetry/metrics.h"

#include <array>
#include <charconv>
#include <functional>
#include <map>

#include "telemetry/histogram.h"
#include "telemetry/summary.h"

namespace egretrack::telemetry {
namespace {

template <typename Value>
using series_by_labels = std::map<std::string, Value, std::less<>>;
template <typename Value>
using families_by_name =
    std::map<std::string, series_by_labels<Value>, std::less<>>;

template <typename Value>
Value& FindOrAddSeries(families_by_name<Value>& families,
                       std::string_view name,
                       std::string_view labels) {
  auto family = families.find(name);
  if (family == families.end())
    family = families.emplace(name, series_by_labels<Value>()).first;
  auto series = family->second.find(labels);
  if (series == family->second.end())
    series = family->second.emplace(labels, Value()).first;
  return series->second;
}

std::string Format(double value) {
  std::array<char, 32> digits{};
  const auto [end, code] =
      std::to_chars(digits.data(), digits.data() + digits.size(), value);
  return {digits.data(), end};
}

std::string Format(std::uint64_t value) {
  return std::to_string(value);
}

void AppendType(std::string& text,
                std::string_view name,
                std::string_view type) {
  text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

void AppendSample(std::string& text,
                  std::string_view name,
                  std::string_view labels,
                  std::string_view value) {
  text.append(name);
  if (!labels.empty())
    text.append("{").append(labels).append("}");
  text.append(" ").append(value).append("\n");
}

template <typename Value>
void AppendFamilies(std::string& text,
                    const families_by_name<Value>& families,
                    std::string_view type) {
  for (const auto& [name, family] : families) {
    AppendType(text, name, type);
    for (const auto& [labels, value] : family)
      AppendSample(text, name, labels, Format(value));
  }
}

void AppendQuantile(std::string& text,
                    std::string_view name,
                    std::string_view labels,
                    std::string_view probability,
                    double value) {
  std::string sample_labels(labels);
  if (!sample_labels.empty())
    sample_labels += ",";
  sample_labels.append("quantile=\"").append(probability).append("\"");
  AppendSample(text, name, sample_labels, Format(value));
}

// A Prometheus summary has no mean and maximum, so they are exported as gauges.
struct extra_gauge {
  std::string_view suffix;
  double (summary::*value)() const;
};
constexpr std::array<extra_gauge, 2> kExtraGauges{{
    {"_mean", &summary::mean},
    {"_max", &summary::maximum},
}};

void AppendSummary(std::string& text,
                   std::string_view name,
                   std::string_view labels,
                   const summary& values) {
  const std::string base(name);
  AppendQuantile(text, name, labels, "0.5", values.Quantile(quantile::kMedian));
  AppendQuantile(text, name, labels, "0.99", values.Quantile(quantile::kP99));
  AppendSample(text, base + "_sum", labels,
               Format(values.mean() * static_cast<double>(values.count())));
  AppendSample(text, base + "_count", labels,
               Format(std::uint64_t{values.count()}));
}

void AppendSummaries(std::string& text,
                     const families_by_name<summary>& families) {
  for (const auto& [name, family] : families) {
    AppendType(text, name, "summary");
    for (const auto& [labels, values] : family)
      AppendSummary(text, name, labels, values);
    for (const extra_gauge& gauge : kExtraGauges) {
      const std::string gauge_name = name + std::string(gauge.suffix);
      AppendType(text, gauge_name, "gauge");
      for (const auto& [labels, values] : family)
        AppendSample(text, gauge_name, labels, Format((values.*gauge.value)()));
    }
  }
}

constexpr double kMicrosecondsPerSecond = 1e6;

double ToSeconds(microseconds value) {
  return static_cast<double>(value.count()) / kMicrosecondsPerSecond;
}

void AppendHistogram(std::string& text,
                     std::string_view name,
                     std::string_view labels,
                     const histogram& values) {
  const std::string base(name);
  const auto append = [&](std::string_view bound, std::uint64_t count) {
    std::string sample_labels(labels);
    if (!sample_labels.empty())
      sample_labels += ",";
    sample_labels.append("le=\"").append(bound).append("\"");
    AppendSample(text, base + "_bucket", sample_labels, Format(count));
  };
  for (std::size_t index = 0; index < histogram::kUpperBounds.size(); ++index) {
    append(Format(ToSeconds(histogram::kUpperBounds[index])),
           values.CountUpTo(index));
  }
  append("+Inf", values.count());
  AppendSample(text, base + "_sum", labels, Format(ToSeconds(values.sum())));
  AppendSample(text, base + "_count", labels, Format(values.count()));
}

void AppendHistograms(std::string& text,
                      const families_by_name<histogram>& families) {
  for (const auto& [name, family] : families) {
    AppendType(text, name, "histogram");
    for (const auto& [labels, values] : family)
      AppendHistogram(text, name, labels, values);
  }
}

class process_metrics final : public metrics {
 public:
  void SetCounter(std::string_view name,
                  std::string_view labels,
                  std::uint64_t value) override {
    FindOrAddSeries(counters_, name, labels) = value;
  }

  void SetGauge(std::string_view name,
                std::string_view labels,
                double value) override {
    FindOrAddSeries(gauges_, name, labels) = value;
  }

  void Observe(std::string_view name,
               std::string_view labels,
               double value) override {
    FindOrAddSeries(summaries_, name, labels).Add(value);
  }

  void ObserveDuration(std::string_view name,
                       std::string_view labels,
                       microseconds value) override {
    FindOrAddSeries(histograms_, name, labels).Add(value);
  }

  std::string ToText() const override {
    std::string text;
    AppendFamilies(text, counters_, "counter");
    AppendFamilies(text, gauges_, "gauge");
    AppendSummaries(text, summaries_);
    AppendHistograms(text, histograms_);
    return text;
  }

 private:
  families_by_name<std::uint64_t> counters_;
  families_by_name<double> gauges_;
  families_by_name<summary> summaries_;
  families_by_name<histogram> histograms_;
};

}  // namespace

std::unique_ptr<metrics> metrics::Create() {
  return std::make_unique<process_metrics>();
}

}  // namespace egretrack::telemetry
