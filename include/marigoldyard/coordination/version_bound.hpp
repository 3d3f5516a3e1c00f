#pragma once

#include "marigoldyard/state/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace marigoldyard {

/// @brief Times that bound how long an older version may still serve requests
/// after a newer one was declared.
struct VersionBoundSettings {
  /// Time after the acknowledgement of a declaration from which no request may
  /// start on an older version.
  Duration Limit = std::chrono::seconds(8);
  /// Time before Limit from which no request is sent to an older version. It
  /// lets requests that are queued at a server start in time.
  Duration SendMargin = std::chrono::milliseconds(500);
  /// Time before Limit at which a request that has not started is withdrawn
  /// from its server. It covers delays of this process and of the network.
  Duration StartMargin = std::chrono::milliseconds(300);
  /// Largest fraction of Limit that a margin may take up if Limit is short.
  double MarginShare = 0.15;
  /// Time for which older versions are used if nothing is known about the age
  /// of the declaration. A process that has just started is exempt from the
  /// bound for three seconds.
  Duration UnknownAgeLimit = std::chrono::milliseconds(2500);
};

/// @brief Returns the time up to which the response to a watch shows all
/// acknowledged changes. The store responds without a change only when the wait
/// is over, so nothing changed until then.
/// @param SentAt when the watch was sent
/// @param AnsweredAt when the response arrived
/// @param Wait how long the store waits for a change
/// @param HasChanges whether the response contains changes
TimePoint confirmedByWatch(TimePoint SentAt, TimePoint AnsweredAt,
                           Duration Wait, bool HasChanges);

/// @brief What a gateway knows about the time at which a declaration was
/// acknowledged. The optional times are lower bounds of it.
///
/// That the store did not answer this gateway alone is no evidence: it may have
/// answered others and acknowledged the declaration meanwhile.
struct DeclarationEvidence {
  TimePoint LearnedAt; ///< when the gateway learned of the declaration
  /// The gateway had all changes up to then, but not the declaration.
  std::optional<TimePoint> ConfirmedAt;
  /// Latest lower bound in an answer of another gateway.
  std::optional<TimePoint> ReportedAt;
  /// End of an outage of the store, from ConfirmedAt on, that others saw too.
  std::optional<TimePoint> OutageEndedAt;
};

/// @brief Contact of a process with the store before it learned of a
/// declaration.
struct StoreContact {
  std::optional<TimePoint> ConfirmedAt;   ///< as in DeclarationEvidence
  std::optional<TimePoint> UnavailableAt; ///< last call that failed
};

/// @brief Whether the process had lost the contact that it once had.
bool sawOutage(const StoreContact &Contact);

/// @brief An outage of the store that a gateway has seen, and the stagers that
/// it asked. Their VMs reach the store on other ways.
struct OutageInquiry {
  std::uint64_t Number = 0; ///< of the question
  TimePoint AskedAt{};
  TimePoint SeenUntil{}; ///< last call of the gateway itself that failed
  std::size_t Asked = 0; ///< number of stagers
  /// By stager: the time up to which it may have had contact with the store at
  /// the latest, or up to which it saw the outage.
  std::map<std::string, TimePoint> Answers;
  TimePoint ClosesAt{}; ///< time for which answers are waited for
};

/// @brief Records the answer of a stager. Its age counts from when the question
/// was sent.
/// @param Stager its IP address
/// @param Age age in the answer
void recordOutageAnswer(OutageInquiry &Inquiry, const std::string &Stager,
                        Duration Age);

/// @brief Whether answers may still change what the inquiry tells. Until then
/// it must not be passed on, because others cannot take it back.
bool isOpen(const OutageInquiry &Inquiry, TimePoint Now);

/// @brief Returns up to when all that answered saw the outage.
/// @return the time; empty until half of the stagers have answered
std::optional<TimePoint> sharedOutageEnd(const OutageInquiry &Inquiry);

/// @brief Returns the latest lower bound of the acknowledgement; empty if
/// nothing is known.
std::optional<TimePoint> acknowledgedAfter(const DeclarationEvidence &Evidence);

/// @brief Questions to other gateways about the ages of declarations.
///
/// An age in an answer counts from when its question was sent. That was before
/// the answer was made, so no delay of the question, of the answer, or of a
/// process that stood still makes a declaration look younger than it is.
struct AgeQuestions {
  /// A question that was sent.
  struct Sent {
    std::uint64_t Number = 0;
    TimePoint At{};
  };
  std::deque<Sent> Recent; ///< oldest first
};

/// @brief Records a question that is being sent.
/// @param Questions the questions; the oldest are forgotten
/// @param Number number of the question; not used before, also by an earlier
/// process on this VM
/// @param Now time before the question is sent
void recordQuestion(AgeQuestions &Questions, std::uint64_t Number,
                    TimePoint Now);

/// @brief Returns the time that lies an age before an answer.
/// @param Questions the questions
/// @param Number number of the question that was answered
/// @param Age upper bound of the age when the answer was made
/// @return a lower bound; empty for an unknown question
std::optional<TimePoint> answeredBound(const AgeQuestions &Questions,
                                       std::uint64_t Number, Duration Age);

/// @brief Times at which an older version goes out of use.
struct VersionDeadlines {
  TimePoint RequiredAt; ///< from then on older versions get no requests
  TimePoint StartBy;    ///< requests that start later are withdrawn
};

/// @brief Computes the deadlines of older versions from the latest valid lower
/// bound of the acknowledgement. The bound thus includes any delay with which
/// the gateway learned of the declaration.
/// @param Settings times of the bound
/// @param Evidence what is known about the time of the acknowledgement
/// @return the deadlines; they may have passed already
VersionDeadlines versionDeadlines(const VersionBoundSettings &Settings,
                                  const DeclarationEvidence &Evidence);

} // namespace marigoldyard
