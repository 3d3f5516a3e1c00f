#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstdint>

namespace marigoldyard {

/// @brief How a gateway learned that a version was declared.
enum class VersionNews : std::uint8_t {
  Watched,  ///< from the store, while in contact with it
  Returned, ///< from the store after an outage; other gateways are heard and
            ///< none told of it, so the store was away for all
  Relayed,  ///< from another gateway while the store is out of reach
  Unknown,  ///< just started, or alone during an outage: of any age
};

/// @brief Times of the bound of a version.
struct VersionBoundSettings {
  /// Time from a declaration until no request may begin on an older version.
  Duration Limit = std::chrono::seconds(8);
  /// Time before the limit from which on only the new version serves: the way
  /// of the news, a pause between watches and a call, and requests that wait at
  /// a server.
  Duration Margin = std::chrono::milliseconds(900);
  /// Part of a short limit that the margin takes at most.
  double MarginShare = 0.15;
  /// Longest time after which a gateway out of contact asks others.
  Duration RelayDelay = std::chrono::milliseconds(2800);
  /// A gateway that has just started or returned is not held to the bound for
  /// three seconds.
  Duration UnknownLimit = std::chrono::milliseconds(2500);
};

/// @brief Time from the news until only the new version serves.
/// @param Settings the times
/// @param News how the declaration was learned
/// @return the time, never negative
Duration requireVersionAfter(const VersionBoundSettings &Settings,
                             VersionNews News);

} // namespace marigoldyard
