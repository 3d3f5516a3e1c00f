#include "marigoldyard/transport/metrics.hpp"

#include <boost/histogram.hpp>
#include <fmt/format.h>
#include <iterator>

namespace marigoldyard {

namespace {

namespace histogram = boost::histogram;

constexpr unsigned HistogramBuckets = 36; // 6 in each factor of ten
constexpr double LowestSeconds = 1e-4;
constexpr double HighestSeconds = 1e2;

std::string escaped(std::string_view Value) {
  std::string Text;
  for (char C : Value) {
    if (C == '\n') {
      Text += "\\n";
      continue;
    }
    if (C == '\\' || C == '"')
      Text += '\\';
    Text += C;
  }
  return Text;
}

/// Labels in braces; empty without labels. Extra is an already rendered label.
std::string renderLabels(const MetricLabels &Labels,
                         std::string_view Extra = {}) {
  std::string Text;
  for (const auto &[Name, Value] : Labels)
    fmt::format_to(std::back_inserter(Text), R"({}{}="{}")",
                   Text.empty() ? "" : ",", Name, escaped(Value));
  if (!Extra.empty()) {
    if (!Text.empty())
      Text += ',';
    Text += Extra;
  }
  return Text.empty() ? Text : "{" + Text + "}";
}

void renderSeries(std::string &Text, std::string_view Name,
                  const MetricLabels &Labels, const Counter &Value) {
  fmt::format_to(std::back_inserter(Text), "{}{} {}\n", Name,
                 renderLabels(Labels), Value.value());
}

void renderSeries(std::string &Text, std::string_view Name,
                  const MetricLabels &Labels, const Gauge &Value) {
  fmt::format_to(std::back_inserter(Text), "{}{} {}\n", Name,
                 renderLabels(Labels), Value.value());
}

void renderSeries(std::string &Text, std::string_view Name,
                  const MetricLabels &Labels, const LatencyHistogram &Value) {
  Value.render(Text, Name, Labels);
}

void renderFamilies(std::string &Text, const auto &Families,
                    std::string_view Type) {
  for (const auto &[Name, Family] : Families) {
    fmt::format_to(std::back_inserter(Text), "# HELP {} {}\n# TYPE {} {}\n",
                   Name, Family.Help, Name, Type);
    for (const auto &[Labels, Value] : Family.Series)
      renderSeries(Text, Name, Labels, *Value);
  }
}

} // namespace

struct LatencyHistogram::Data {
  using Axis =
      histogram::axis::regular<double, histogram::axis::transform::log>;

  mutable std::mutex Mutex;
  decltype(histogram::make_histogram(Axis())) Buckets =
      histogram::make_histogram(
          Axis(HistogramBuckets, LowestSeconds, HighestSeconds));
  double Sum = 0;
};

LatencyHistogram::LatencyHistogram() : Content(std::make_unique<Data>()) {}
LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration Latency) {
  double Seconds = std::chrono::duration<double>(Latency).count();
  std::lock_guard Lock(Content->Mutex);
  Content->Buckets(Seconds);
  Content->Sum += Seconds;
}

void LatencyHistogram::render(std::string &Text, std::string_view Name,
                              const MetricLabels &Labels) const {
  std::lock_guard Lock(Content->Mutex);
  const auto &Axis = Content->Buckets.axis();
  auto Out = std::back_inserter(Text);
  // Index -1 is the underflow bucket, whose upper bound is the lowest edge.
  double Count = 0;
  for (int I = -1; I < Axis.size(); ++I) {
    Count += Content->Buckets.at(I);
    fmt::format_to(
        Out, "{}_bucket{} {}\n", Name,
        renderLabels(Labels, fmt::format(R"(le="{:.6g}")", Axis.value(I + 1))),
        Count);
  }
  Count += Content->Buckets.at(Axis.size());
  fmt::format_to(Out, "{0}_bucket{1} {2}\n{0}_sum{3} {4}\n{0}_count{3} {2}\n",
                 Name, renderLabels(Labels, R"(le="+Inf")"), Count,
                 renderLabels(Labels), Content->Sum);
}

Metrics::Metrics(std::size_t Limit) : MaxSeries(Limit) {}

template <typename T>
T &Metrics::series(Families<T> &Target, std::string_view Name,
                   std::string_view Help, const MetricLabels &Labels) {
  static const MetricLabels Overflow{{"overflow", "true"}};
  std::lock_guard Lock(Mutex);
  Family<T> &Group = Target[std::string(Name)];
  if (Group.Help.empty())
    Group.Help = Help;
  auto Found = Group.Series.find(Labels);
  if (Found == Group.Series.end()) {
    bool Full = SeriesCount >= MaxSeries;
    Found = Group.Series.try_emplace(Full ? Overflow : Labels).first;
    if (!Full)
      ++SeriesCount;
  }
  if (!Found->second)
    Found->second = std::make_unique<T>();
  return *Found->second;
}

Counter &Metrics::counter(std::string_view Name, std::string_view Help,
                          const MetricLabels &Labels) {
  return series(Counters, Name, Help, Labels);
}

Gauge &Metrics::gauge(std::string_view Name, std::string_view Help,
                      const MetricLabels &Labels) {
  return series(Gauges, Name, Help, Labels);
}

LatencyHistogram &Metrics::histogram(std::string_view Name,
                                     std::string_view Help,
                                     const MetricLabels &Labels) {
  return series(Histograms, Name, Help, Labels);
}

std::string Metrics::render() const {
  std::string Text;
  std::lock_guard Lock(Mutex);
  renderFamilies(Text, Counters, "counter");
  renderFamilies(Text, Gauges, "gauge");
  renderFamilies(Text, Histograms, "histogram");
  return Text;
}

} // namespace marigoldyard
