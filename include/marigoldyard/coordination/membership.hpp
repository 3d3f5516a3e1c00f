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

/// @brief What the own process knows about another one.
enum class MemberState : std::uint8_t {
  Live,
  Suspected, ///< direct evidence speaks against it
  Leaving,   ///< receives no new work
  Dead,      ///< silent, and gone from the list or silent for longer than the
             ///< list lags
};

/// @brief All member states, for tables and generated tests.
inline constexpr MemberState AllMemberStates[] = {
    MemberState::Live, MemberState::Suspected, MemberState::Leaving,
    MemberState::Dead};

/// @brief Name of a member state as in status pages.
/// @param Value the state
/// @return a lower-case name
std::string_view memberStateName(MemberState Value);

/// @brief Times and bounds of membership.
struct MembershipSettings {
  Duration ReportInterval = std::chrono::milliseconds(450);
  /// Two missing reports and 50 ms for their way and the core loop; below the
  /// 1 s within which a dead endpoint stops receiving work.
  Duration SuspectAfter = std::chrono::milliseconds(950);
  /// How long the VM list lags, in both directions.
  Duration ListLag = std::chrono::seconds(60);
  /// Unanswered work keeps a member suspected although its reports arrive: the
  /// link may be cut in one direction only. After this time it is tried again;
  /// the time doubles, up to ListLag, while tries stay unanswered.
  Duration UnansweredHold = std::chrono::seconds(5);
  /// Share of a pool's linked endpoints that suspicion never removes.
  double SuspicionFloor = 0.5;
  std::size_t MaxMembers = 4096;
  std::size_t MaxUnlisted = 256; ///< members that only reports name
};

/// @brief One member as the own process sees it.
struct MemberRecord {
  Member Listed; ///< last description; only the name when it was never listed
  bool Described = false;
  bool InList = false;
  bool Linked = false; ///< reports are expected
  Incarnation Start = 0;
  bool ReportedLeaving = false; ///< by this incarnation; never taken back
  std::optional<TimePoint> LastHeard;
  TimePoint LinkedSince;
  TimePoint UnlistedSince;
  std::optional<TimePoint> ConnectionLostAt;
  std::optional<TimePoint> UnansweredAt;
  Duration UnansweredHold{}; ///< current, set with UnansweredAt
};

/// @brief Members as the own process sees them. Bounded.
struct MembershipState {
  MembershipSettings Settings;
  std::map<std::string, MemberRecord, std::less<>> Records; ///< by name
  std::optional<TimePoint> VoidedAt; ///< end of the last own pause
  std::uint64_t Refused = 0; ///< members not recorded because of a bound
};

/// @brief What a message of a member shows.
enum class MessageEvidence : std::uint8_t {
  Known,
  Joined,    ///< first message of this member
  Restarted, ///< newer incarnation: work of the older one is lost
  Outdated,  ///< older incarnation: the message must be dropped
  Refused,   ///< the table is full
};

/// @brief Merges the platform's list. A member that the list no longer names is
/// kept while it reports. Call it only with a list that was read successfully.
/// @param State the members
/// @param List the list
/// @param Now current time
/// @complexity O(n log n) in the number of members
void updateList(MembershipState &State, const std::vector<Member> &List,
                TimePoint Now);

/// @brief Records a message of a member. It clears suspicion at once, except
/// after unanswered work.
/// @param State the members
/// @param Name sender
/// @param Start incarnation of the sender
/// @param Now current time
/// @return what the message shows
/// @complexity logarithmic in the number of members
MessageEvidence messageReceived(MembershipState &State, std::string_view Name,
                                Incarnation Start, TimePoint Now);

/// @brief Records a report: a message with the leaving flag. The flag holds
/// until the member restarts.
/// @param State the members
/// @param Name sender
/// @param Start incarnation of the sender
/// @param Leaving flag of the report
/// @param Now current time
/// @return what the report shows
/// @complexity logarithmic in the number of members
MessageEvidence reportReceived(MembershipState &State, std::string_view Name,
                               Incarnation Start, bool Leaving, TimePoint Now);

/// @brief Records how a member describes itself. The VM list goes first; the
/// description serves while the list does not name the member yet.
/// @param State the members
/// @param Description the member; ignored when it was never heard
/// @complexity logarithmic in the number of members
void describeMember(MembershipState &State, const Member &Description);

/// @brief Records that a connection to a member closed or could not be opened.
/// @param State the members
/// @param Name the member
/// @param Start incarnation that the connection belonged to, or 0 when it is
/// not known; an older one than the current is ignored
/// @param Now current time
/// @complexity logarithmic in the number of members
void connectionLost(MembershipState &State, std::string_view Name,
                    Incarnation Start, TimePoint Now);

/// @brief Records that a connection to a member was opened.
/// @param State the members
/// @param Name the member
/// @complexity logarithmic in the number of members
void connectionOpened(MembershipState &State, std::string_view Name);

/// @brief Records that a member did not answer work in time.
/// @param State the members
/// @param Name the member
/// @param Now current time
/// @complexity logarithmic in the number of members
void workUnanswered(MembershipState &State, std::string_view Name,
                    TimePoint Now);

/// @brief Records that a member answered work.
/// @param State the members
/// @param Name the member
/// @param Now current time
/// @complexity logarithmic in the number of members
void workAnswered(MembershipState &State, std::string_view Name, TimePoint Now);

/// @brief Sets whether reports of a member are expected.
/// @param State the members
/// @param Name the member
/// @param Linked whether the own process is linked to it
/// @param Now current time; the first report is awaited from here
/// @complexity logarithmic in the number of members
void setLinked(MembershipState &State, std::string_view Name, bool Linked,
               TimePoint Now);

/// @brief Voids all views after a pause of the own process. Until two reports
/// could arrive, only members heard since are routable.
/// @param State the members
/// @param Now end of the pause
/// @complexity constant
void voidViews(MembershipState &State, TimePoint Now);

/// @brief Removes members that are dead for longer than the list lags.
/// @param State the members
/// @param Now current time
/// @return names of the removed members
/// @complexity linear in the number of members
std::vector<std::string> removeDeadMembers(MembershipState &State,
                                           TimePoint Now);

/// @brief State of one member.
/// @param State the members, for the settings and the own pause
/// @param Record the member
/// @param Now current time
/// @return the state
/// @complexity constant
MemberState memberState(const MembershipState &State,
                        const MemberRecord &Record, TimePoint Now);

/// @brief A member that may receive work.
struct RoutableMember {
  std::string Name;
  bool Suspected = false; ///< kept only by the floor; use it last

  friend bool operator==(const RoutableMember &,
                         const RoutableMember &) = default;
};

/// @brief Linked endpoints of a pool that may receive new work.
///
/// Suspicion for missing reports or unanswered work removes at most half of
/// them; those heard most recently stay. A closed connection is proof that the
/// peer's process or link ended and is not limited. The result holds until the
/// next event or nextMembershipChange(); a router keeps it until then.
/// @param State the members
/// @param Pool the pool
/// @param Now current time
/// @return the endpoints: live ones by name, then suspected ones
/// @complexity O(n log n) in the number of members
std::vector<RoutableMember> routableMembers(const MembershipState &State,
                                            std::string_view Pool,
                                            TimePoint Now);

/// @brief Members that are live or suspected, for watch plans, subsets and the
/// directory of entries.
/// @param State the members
/// @param Now current time
/// @return the described members that are neither leaving nor dead, by name
/// @complexity linear in the number of members
std::vector<Member> presentMembers(const MembershipState &State, TimePoint Now);

/// @brief Entries that serve callers, for the choice of links between entries
/// and endpoints. Leaving ones are included: they serve the callers that were
/// told of them, and need reports for it until they end.
/// @param State the view
/// @param Now current time
/// @return their names, ascending
/// @complexity linear in the number of records
std::vector<std::string> servingEntries(const MembershipState &State,
                                        TimePoint Now);

/// @brief Earliest time at which silence changes the state of a member.
/// @param State the members
/// @param Now current time
/// @return the time, or nothing when only events can change a state
/// @complexity linear in the number of members
std::optional<TimePoint> nextMembershipChange(const MembershipState &State,
                                              TimePoint Now);

} // namespace marigoldyard
