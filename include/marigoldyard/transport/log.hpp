#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marigoldyard {

/// @brief Severity of a log line.
enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// @brief Name of a level in log lines.
/// @param Value the level
/// @return "debug", "info", "warning" or "error"
std::string_view logLevelName(LogLevel Value);

/// @brief Formats a time span for a log field.
/// @return seconds with three decimals
std::string formatSeconds(Duration Value);

/// @brief One event for the log. Empty members are left out of the line.
struct LogEvent {
  LogLevel Level = LogLevel::Info;
  std::string_view Event; ///< kind of event, lower case with underscores
  std::optional<Step> At;
  std::string_view Peer;
  std::string_view Request;
  std::optional<Revision> Number;
  std::vector<std::pair<std::string_view, std::string>> Fields;
};

/// @brief Options of a Logger.
struct LogOptions {
  std::string Process;
  Incarnation Number = 0;
  LogLevel Lowest = LogLevel::Info;
  std::size_t Burst = 5; ///< lines of one (event, peer) in one Window
  Duration Window = std::chrono::seconds(10);
  std::size_t MaxKinds = 1024; ///< (event, peer) pairs that are counted
};

/// @brief Writes JSON lines to standard error. Thread-safe.
///
/// Repeats of one event and peer beyond a burst are suppressed; the next line
/// of that kind carries the number of suppressed ones.
class Logger {
public:
  /// @brief Receives complete lines without the line end.
  using Sink = std::function<void(std::string_view)>;

  /// @param Options names and limits
  /// @param Target receives the lines; standard error when empty
  explicit Logger(LogOptions Options, Sink Target = {});

  /// @brief Writes an event, unless it is suppressed or below the lowest level.
  /// @param Event the event
  /// @complexity linear in the size of the line
  void write(const LogEvent &Event);

  /// @brief Writes an error with its step and peer.
  /// @param Kind kind of event
  /// @param Failure the error
  /// @param Request request id, or empty
  void write(std::string_view Kind, const Error &Failure,
             std::string_view Request = {});

private:
  struct Repeats {
    TimePoint WindowStart;
    std::size_t Written = 0;
    std::uint64_t Suppressed = 0;
  };

  std::optional<std::uint64_t> admit(const LogEvent &Event);

  LogOptions Options;
  Sink Target;
  std::mutex Mutex;
  std::unordered_map<std::string, Repeats> Kinds;
};

} // namespace marigoldyard
