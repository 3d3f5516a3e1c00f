#pragma once

#include "marigoldyard/transport/ring.hpp"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <thread>

namespace marigoldyard {

/// @brief Writes log lines to standard output on a thread of its own.
///
/// A caller never waits: lines that find the ring full, because the reader of
/// standard output does not read, are dropped and counted. Lines are written in
/// batches, since each wake-up of the thread costs processor time.
class LineWriter {
public:
  /// @brief Lines that wait at most.
  static constexpr std::size_t Capacity = 8192;
  /// @brief Time between two batches.
  static constexpr std::chrono::milliseconds BatchInterval{100};

  /// @param Descriptor file descriptor to write to
  explicit LineWriter(int Descriptor);
  /// @brief Calls finish().
  ~LineWriter();
  LineWriter(const LineWriter &) = delete;
  LineWriter &operator=(const LineWriter &) = delete;

  /// @brief Appends a line.
  /// @param Line text without the line end
  void write(std::string_view Line);

  /// @brief Writes what waits, unless the reader does not read, and ends the
  /// thread. Later lines are dropped.
  void finish();

  /// @return lines that were dropped
  std::uint64_t dropped() const { return Dropped.load(); }

private:
  void run();
  void writeBatch();

  int Descriptor;
  BoundedRing<std::string> Lines;
  std::atomic<std::uint64_t> Dropped{0};
  std::uint64_t DroppedTold = 0;
  std::atomic<bool> Ending{false};
  bool Finished = false;
  std::thread Writer;
};

} // namespace marigoldyard
