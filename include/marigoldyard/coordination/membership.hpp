#pragma once

#include "marigoldyard/state/time.hpp"
#include "marigoldyard/state/types.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief State of another process as derived by this process.
enum class MemberState : std::uint8_t {
  Live,
  Suspected, ///< reports or responses are missing, or its connection was lost
  Draining,  ///< receives no new work
  Dead,      ///< no recent report and not listed, or no report for MaxListDelay
};

/// @brief All member states, for tables and property-based tests.
inline constexpr MemberState AllMemberStates[] = {
    MemberState::Live, MemberState::Suspected, MemberState::Draining,
    MemberState::Dead};

/// @brief Name of a member state for status pages, in lower case.
std::string_view memberStateName(MemberState StateToName);

/// @brief Timeouts and limits of failure detection and of the member table.
struct MembershipSettings {
  Duration ReportInterval = std::chrono::milliseconds(450);
  /// Two missing reports plus 50 ms for their transfer and the core loop; below
  /// the 1 s within which a dead endpoint stops receiving work.
  Duration SuspicionTimeout = std::chrono::milliseconds(950);
  /// Region of this process, and the same timeout for members of other regions,
  /// which may report less often; zero means SuspicionTimeout.
  std::string Region;
  Duration RemoteSuspicionTimeout{};
  /// Longest delay until the VM list shows that a VM was added or removed.
  Duration MaxListDelay = std::chrono::seconds(60);
  /// Time for which unanswered work keeps a member suspected although its
  /// reports arrive, because the link may have failed in one direction only.
  /// Afterwards the member receives work again. The time doubles, up to
  /// MaxListDelay, while work stays unanswered.
  Duration UnansweredBackoff = std::chrono::seconds(5);
  /// Share of a pool's linked endpoints, 0 to 1, that stay routable even when
  /// all are suspected.
  double MinRoutableShare = 0.5;
  std::size_t MaxMembers = 4096;
  std::size_t MaxUnlistedMembers =
      256; ///< limit for members that are not in the list
};

/// @brief Observations of one member.
struct MemberRecord {
  Member Description; ///< newest description; only the name until there is one
  bool HasDescription = false;
  bool IsListed = false;
  bool ExpectsReports =
      false; ///< this process is linked to the member and expects reports
  Incarnation CurrentIncarnation = 0;
  bool ReportedDraining = false; ///< by this incarnation; never reset within it
  std::optional<TimePoint> LastReceived;
  TimePoint ReportsExpectedSince;
  TimePoint UnlistedSince;
  std::optional<TimePoint> ConnectionLostAt;
  std::optional<TimePoint> UnansweredAt;
  Duration CurrentBackoff{}; ///< current value, set with UnansweredAt
};

/// @brief Member table of this process. Its size is bounded.
struct MembershipState {
  MembershipSettings Settings;
  std::map<std::string, MemberRecord, std::less<>> Records; ///< by name
  std::optional<TimePoint>
      LastPauseEndedAt; ///< end of this process's last pause
  std::uint64_t RejectedCount =
      0; ///< members rejected because the table was full
};

/// @brief Result of recording a message of a member.
enum class MessageOutcome : std::uint8_t {
  Known,            ///< known incarnation
  Joined,           ///< first message of this member
  Restarted,        ///< newer incarnation; work of the older one is lost
  StaleIncarnation, ///< older incarnation; the caller must drop the message
  TableFull,        ///< not recorded because the table is full
};

/// @brief Interval of the reports that members send to those of other regions.
/// It grows with their number, since each of them reports to all others, and
/// the links between regions are narrow.
/// @param Interval interval within a region
/// @param Members number of members
/// @return at most three times Interval
Duration remoteReportInterval(Duration Interval, std::size_t Members);

/// @brief Merges the platform's VM list. A member that is no longer listed is
/// kept while it sends reports.
/// @param List complete list; never the result of a failed read
/// @complexity O(n log n) in the number of members
void mergeMemberList(MembershipState &State, const std::vector<Member> &List,
                     TimePoint Now);

/// @brief Records a message of a member. It ends a suspicion at once, except
/// after unanswered work.
/// @param Name sender of the message
/// @param Start incarnation of the sender
/// @complexity logarithmic in the number of members
MessageOutcome recordMessage(MembershipState &State, std::string_view Name,
                             Incarnation Start, TimePoint Now);

/// @brief Records a report, a message with the flag for draining. A set flag
/// stays set until the member restarts.
/// @param Name sender of the report
/// @param Start incarnation of the sender
/// @param Leaving whether the sender is draining
/// @complexity logarithmic in the number of members
MessageOutcome recordMemberReport(MembershipState &State, std::string_view Name,
                                  Incarnation Start, bool Leaving,
                                  TimePoint Now);

/// @brief Records the description that a member sends of itself. It is used
/// only while the VM list, which takes precedence, does not contain the member.
/// @param NewDescription ignored for members that are listed or unknown
/// @complexity logarithmic in the number of members
void describeMember(MembershipState &State, const Member &NewDescription);

/// @brief Records that a connection to a member closed or could not be opened.
/// @param Start incarnation to which the connection belonged, or 0 when
/// unknown; connections of older incarnations are ignored
/// @complexity logarithmic in the number of members
void recordConnectionLoss(MembershipState &State, std::string_view Name,
                          Incarnation Start, TimePoint Now);

/// @brief Records that a connection to a member was opened.
/// @complexity logarithmic in the number of members
void recordConnection(MembershipState &State, std::string_view Name);

/// @brief Records that a member did not respond to work before its timeout.
/// @complexity logarithmic in the number of members
void recordUnansweredWork(MembershipState &State, std::string_view Name,
                          TimePoint Now);

/// @brief Records that a member responded to work.
/// @complexity logarithmic in the number of members
void recordAnsweredWork(MembershipState &State, std::string_view Name,
                        TimePoint Now);

/// @brief Sets whether reports of a member are expected.
/// @param Linked whether this process is linked to the member
/// @param Now start of SuspicionTimeout for the first report
/// @complexity logarithmic in the number of members
void setReportsExpected(MembershipState &State, std::string_view Name,
                        bool Linked, TimePoint Now);

/// @brief Invalidates the member states after a pause of this process. During
/// the next SuspicionTimeout only members that sent a message since the pause
/// are routable.
/// @param Now end of the pause
/// @complexity constant
void invalidateMemberStates(MembershipState &State, TimePoint Now);

/// @brief Removes dead members that have not been listed for MaxListDelay.
/// @return names of the removed members
/// @complexity linear in the number of members
std::vector<std::string> removeDeadMembers(MembershipState &State,
                                           TimePoint Now);

/// @brief Derives the state of one member.
/// @param State provides the settings and the last pause of this process
/// @complexity constant
MemberState memberState(const MembershipState &State,
                        const MemberRecord &Record, TimePoint Now);

/// @brief A member that may receive work.
struct RoutableMember {
  std::string Name;
  bool Suspected =
      false; ///< kept only because of MinRoutableShare; use it last

  friend bool operator==(const RoutableMember &,
                         const RoutableMember &) = default;
};

/// @brief Linked endpoints of a pool that may receive new work.
///
/// Suspicion because of missing reports or unanswered work removes at most half
/// of them; the most recently received members stay. A closed connection proves
/// that the peer's process or link failed, so removals for it are not limited.
/// The result is valid until the next event or nextMembershipChange(); a router
/// caches it until then.
/// @return live endpoints by name, then suspected ones, the most recently
/// received first
/// @complexity O(n log n) in the number of members
std::vector<RoutableMember> routableMembers(const MembershipState &State,
                                            std::string_view Pool,
                                            TimePoint Now);

/// @brief Members that are live or suspected, for watch plans, subsets and the
/// directory of entries.
/// @return descriptions of the members, by name; members without a description
/// are left out
/// @complexity linear in the number of members
std::vector<Member> presentMembers(const MembershipState &State, TimePoint Now);

/// @brief Entries that serve callers, for the choice of links between entries
/// and endpoints. Draining entries are included, because they still serve the
/// callers that know them and need reports for it until they stop.
/// @return names of the entries, ascending
/// @complexity linear in the number of members
std::vector<std::string> servingEntries(const MembershipState &State,
                                        TimePoint Now);

/// @brief Earliest time after Now at which a timeout may change the state of a
/// member.
/// @return the time, or empty when only events can change a state
/// @complexity linear in the number of members
std::optional<TimePoint> nextMembershipChange(const MembershipState &State,
                                              TimePoint Now);

} // namespace marigoldyard
