#pragma once

#include "marigoldyard/state/time.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Labels of a metric, ordered by name.
using MetricLabels = std::map<std::string, std::string>;

/// @brief A number that only grows. Thread-safe.
class Counter {
public:
  /// @brief Adds to the counter.
  /// @param Amount what to add
  void add(std::uint64_t Amount = 1) {
    Total.fetch_add(Amount, std::memory_order_relaxed);
  }
  /// @return the current total
  std::uint64_t value() const { return Total.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Total{0};
};

/// @brief A number that grows and shrinks. Thread-safe.
class Gauge {
public:
  /// @brief Replaces the value.
  /// @param Value the new value
  void set(double Value) { Current.store(Value, std::memory_order_relaxed); }
  /// @return the current value
  double value() const { return Current.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Current{0};
};

/// @brief Distribution of latencies on a logarithmic axis from 100 us to 100 s.
/// Thread-safe.
class LatencyHistogram {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  /// @brief Counts one latency.
  /// @param Latency the latency
  /// @complexity constant
  void record(Duration Latency);

  /// @brief Appends the lines of the Prometheus text format.
  /// @param Text target
  /// @param Name name of the metric, in seconds
  /// @param Labels labels of the series
  void render(std::string &Text, std::string_view Name,
              const MetricLabels &Labels) const;

private:
  struct Data;
  std::unique_ptr<Data> Content;
};

/// @brief All metrics of a process. Thread-safe; returned references stay
/// valid for the lifetime of the registry.
class Metrics {
public:
  /// @param MaxSeries series of all metrics together. Further ones share one
  /// series of the metric with the label "overflow", so that labels from
  /// outside cannot use unbounded memory.
  explicit Metrics(std::size_t MaxSeries = 10'000);

  /// @brief Finds or creates a series.
  /// @param Name name of the metric, in Prometheus form
  /// @param Help one line for people
  /// @param Labels labels of the series
  /// @return the series
  /// @complexity logarithmic in the number of series; keep the reference on
  /// hot paths
  Counter &counter(std::string_view Name, std::string_view Help,
                   const MetricLabels &Labels = {});
  /// @copydoc counter
  Gauge &gauge(std::string_view Name, std::string_view Help,
               const MetricLabels &Labels = {});
  /// @copydoc counter
  LatencyHistogram &histogram(std::string_view Name, std::string_view Help,
                              const MetricLabels &Labels = {});

  /// @return all metrics in the Prometheus text format
  /// @complexity linear in the number of series
  std::string render() const;

private:
  template <typename T> struct Family {
    std::string Help;
    std::map<MetricLabels, std::unique_ptr<T>> Series;
  };
  template <typename T> using Families = std::map<std::string, Family<T>>;

  template <typename T>
  T &series(Families<T> &Target, std::string_view Name, std::string_view Help,
            const MetricLabels &Labels);

  std::size_t MaxSeries;
  std::size_t SeriesCount = 0;
  mutable std::mutex Mutex;
  Families<Counter> Counters;
  Families<Gauge> Gauges;
  Families<LatencyHistogram> Histograms;
};

} // namespace marigoldyard
