#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstdint>

namespace marigoldyard {

/// @brief How a gateway learned that a version was declared.
enum class DeclarationSource : std::uint8_t {
  Watched,          ///< from the store, while connected to it
  AfterStoreOutage, ///< from the store after an outage; other gateways were
                    ///< reachable and none reported it, so the store was
                    ///< unavailable to all
  Relayed,          ///< from another gateway while the store is unreachable
  Unknown,          ///< age unknown: just started, or isolated during an outage
};

/// @brief Times that bound how long an older version may still serve requests
/// after a newer one was declared.
struct VersionBoundSettings {
  /// Time after a declaration from which no request may start on an older
  /// version.
  Duration Limit = std::chrono::seconds(8);
  /// Time before Limit from which only the new version serves. It covers the
  /// propagation of the declaration, a gap between watches plus a call, and
  /// requests that are queued at a server.
  Duration Margin = std::chrono::milliseconds(900);
  /// Largest fraction of Limit that Margin may take up if Limit is short.
  double MarginShare = 0.15;
  /// Longest time until a gateway that lost contact with the store asks other
  /// gateways.
  Duration MaxRelayDelay = std::chrono::milliseconds(2800);
  /// Delay if the age of the declaration is unknown. A gateway that has just
  /// started or reconnected is exempt from the bound for three seconds.
  Duration UnknownLimit = std::chrono::milliseconds(2500);
};

/// @brief Computes how long a gateway may still use older versions after it has
/// learned of a declaration.
/// @param Settings times of the bound
/// @param Source how the gateway learned of the declaration
/// @return time from learning of the declaration, never negative
Duration oldVersionGracePeriod(const VersionBoundSettings &Settings,
                               DeclarationSource Source);

} // namespace marigoldyard
