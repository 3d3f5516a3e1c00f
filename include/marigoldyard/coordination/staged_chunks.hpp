#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace marigoldyard {

/// @brief Consecutive chunks of a version, from First up to but not including
/// End.
struct ChunkRange {
  std::size_t First = 0;
  std::size_t End = 0;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const ChunkRange &, const ChunkRange &) = default;
};

/// @brief Limits of reads of staged chunks.
struct StagedChunksSettings {
  /// Longest time from a read of a chunk until the load order is sent. A server
  /// must not load a chunk that has been corrupt for three seconds; the rest is
  /// left for the order to arrive.
  Duration MaxReadAge = std::chrono::seconds(2);
  /// Longest time from a read until the order is known to be accepted without a
  /// further read.
  Duration MaxAgeWhenAccepted = std::chrono::seconds(3);
  /// A read older than this is repeated before the order. It leaves time for
  /// running requests to end.
  Duration RefreshAge = std::chrono::seconds(1);
  /// Calls at once; more than one only while the newest is slow.
  std::size_t MaxCalls = 8;
  Duration SlowCall = std::chrono::milliseconds(15);
  /// Pause after a call without effect, for instance to a server that is down.
  Duration RetryPause = std::chrono::milliseconds(50);
};

/// @brief Kind of call about one staged chunk.
enum class StagingCallKind : std::uint8_t { Write, Read };

/// @brief A call to make.
struct StagingCall {
  StagingCallKind Kind = StagingCallKind::Write;
  std::size_t Index = 0; ///< of the chunk in the manifest
};

/// @brief What a read of a staged chunk returned.
enum class ReadResult : std::uint8_t {
  Sound,
  Corrupt,
  None ///< no response
};

/// @brief Chunks of one version that are written to a server and read back. A
/// chunk may become corrupted at any time, so each read counts for a limited
/// time only.
struct StagedChunks {
  StagedChunksSettings Settings;
  std::size_t Count = 0;
  std::set<std::size_t> ToWrite;
  std::set<std::size_t> ToRead;  ///< written and not read back
  std::set<std::size_t> Pending; ///< a call is in progress
  TimePoint LastCallAt{};
  TimePoint RetryAt{}; ///< no call before this
  /// When the newest read of each sound chunk was sent.
  std::map<std::size_t, TimePoint> SoundAt;
  std::set<std::pair<TimePoint, std::size_t>> ByReadTime; ///< same as SoundAt
};

/// @brief Starts to stage a version.
/// @param Count number of chunks, all of which are to be written
StagedChunks makeStagedChunks(std::size_t Count,
                              StagedChunksSettings Settings = {});

/// @brief Starts to stage some chunks of a version.
/// @param Range chunks to write
StagedChunks makeStagedRange(const ChunkRange &Range,
                             StagedChunksSettings Settings = {});

/// @brief Chooses the next call: writes first, then first reads, then the
/// oldest read to repeat. The chunk is pending until the result is recorded.
/// @param RereadBefore reads that were sent before this are repeated;
/// TimePoint::min() repeats none
/// @return empty while no call is due or those in progress are fast
/// @complexity logarithmic in the number of chunks
std::optional<StagingCall>
nextStagingCall(StagedChunks &State, TimePoint RereadBefore, TimePoint Now);

/// @brief Records the result of a write.
/// @param Accepted false causes another write
void recordWrite(StagedChunks &State, std::size_t Index, bool Accepted,
                 TimePoint Now);

/// @brief Records the result of a read. A corrupt chunk is written again.
/// @param SentAt time at which the call was sent
void recordRead(StagedChunks &State, std::size_t Index, TimePoint SentAt,
                ReadResult Result, TimePoint Now);

/// @brief Whether all chunks were read back and none was corrupt since.
bool isStaged(const StagedChunks &State);

/// @brief When the oldest of the newest reads was sent.
/// @return TimePoint::max() if no chunk was read
TimePoint oldestRead(const StagedChunks &State);

/// @brief Time until which a load order may be sent.
/// @return TimePoint::min() while a chunk is not known to be sound
TimePoint orderDeadline(const StagedChunks &State);

} // namespace marigoldyard
