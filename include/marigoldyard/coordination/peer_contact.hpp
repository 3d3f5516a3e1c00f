#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Limits of silence between processes that report to each other.
struct PeerContactSettings {
  /// Added to two intervals between reports: one report may be lost, and the
  /// next one may be late.
  Duration Tolerance = std::chrono::milliseconds(200);
  /// Longest silence, as a multiple of the first limit, until the connection to
  /// a peer that stays silent is replaced again. New connections may hang as
  /// well, so the limit doubles only once.
  int MaxBackoff = 2;
  /// A pause of this process after which it waits anew: reports that arrived in
  /// the meantime have not been read.
  Duration OwnPause = std::chrono::milliseconds(500);
};

/// @brief What is known of the contact with one peer.
struct PeerContact {
  TimePoint OpenedAt{}; ///< when the connection to it was last opened anew
  std::optional<TimePoint> ReportedAt; ///< last report from it
  bool HearsThisProcess = false;       ///< according to the last report
  int Replacements = 0; ///< of the connection since contact was last complete
};

/// @brief Contact with the peers to which this process reports.
///
/// Connections may go silent for good without a reset, and each carries
/// messages in one direction only. So a process learns from the peer's reports
/// whether its own arrive, and has no such sign from a peer that is silent.
struct PeerContacts {
  PeerContactSettings Settings;
  std::map<std::string, PeerContact> Peers; ///< by address
  TimePoint CheckedAt{};
};

/// @brief Why the connection to a peer is replaced.
enum class ContactLoss : std::uint8_t {
  Silent,  ///< no report came from the peer
  Unheard, ///< the peer reports that it does not hear this process
};

/// @brief Name of a reason for the log, in lower case.
std::string contactLossName(ContactLoss Loss);

/// @brief A connection that is to be replaced.
struct LostContact {
  std::string Peer;
  ContactLoss Loss = ContactLoss::Silent;
  /// Whether the peer has reported before and this is the first replacement
  /// since.
  bool IsNew = false;
};

/// @brief Records a report of a peer.
/// @param Peer address of the peer
/// @param HearsThisProcess whether the peer hears this process, as it reports
/// @param Now when the report arrived
void recordPeerReport(PeerContacts &State, const std::string &Peer,
                      bool HearsThisProcess, TimePoint Now);

/// @brief Returns the connections that are to be replaced now, and records that
/// they are. Called at least a few times per second.
/// @param Expected peers to which this process reports, and the intervals of
/// their reports; others are forgotten
/// @param Leaving whether this process has said that it leaves; peers then do
/// not report that they hear it
/// @return at most one per peer and limit of silence
/// @complexity linear in the number of peers
std::vector<LostContact>
takeLostContacts(PeerContacts &State,
                 const std::map<std::string, Duration> &Expected, bool Leaving,
                 TimePoint Now);

} // namespace marigoldyard
