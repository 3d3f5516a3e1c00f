#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace marigoldyard {

/// @brief What a server says in the head of a response about further requests.
struct ServerNotice {
  bool Leaving = false; ///< it is about to end
  /// Time for which it wants no requests from this process.
  std::optional<Duration> RefusesFor;
};

/// @brief What the notices of a server mean for new requests.
struct ServerAvailability {
  bool Leaving = false;
  TimePoint RefusesUntil{};
  /// No response since RefusesUntil yet. One request at a time is sent then,
  /// because the server may still be unable to take more.
  bool ProbeDue = false;
  bool ProbeRunning = false;
};

/// @brief New fact in a notice, for logs and metrics.
enum class NoticeChange : std::uint8_t {
  None,
  Leaving,  ///< the server had not said before that it leaves
  Refusing, ///< the server did not refuse requests before
};

/// @brief Returns the name of a change for logs and metrics.
/// @return the name in lower case
std::string_view noticeChangeName(NoticeChange Value);

/// @brief Applies the notice of a response. Of several times without requests
/// the one that ends last holds, because each response states its own.
/// @param Now time at which the head of the response was read
/// @return what the notice changed
NoticeChange applyNotice(ServerAvailability &Availability,
                         const ServerNotice &Notice, TimePoint Now);

/// @brief Applies a restart of the server: it does not leave any more. A time
/// without requests still holds, because the server may have stated it after
/// the restart, which becomes known here later.
void applyRestart(ServerAvailability &Availability);

/// @brief Whether a server may get a new request, as far as it says itself.
bool mayReceive(const ServerAvailability &Availability, TimePoint Now);

} // namespace marigoldyard
