#pragma once

#include "marigoldyard/state/time.hpp"

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
  /// Time that a report of another gateway may have taken to arrive.
  Duration ReportDelay = std::chrono::milliseconds(300);
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
/// acknowledged. Each time is a lower bound of it.
struct DeclarationEvidence {
  TimePoint LearnedAt; ///< when the gateway learned of the declaration
  /// The gateway had all changes up to then, but not the declaration.
  std::optional<TimePoint> ConfirmedAt;
  /// The store was last seen unavailable by this gateway.
  std::optional<TimePoint> UnavailableAt;
  /// Latest lower bound of another gateway that was in contact with the store.
  std::optional<TimePoint> ReportedAt;
};

/// @brief Reports of other gateways on the acknowledgement of a declaration.
struct DeclarationReports {
  /// Lower bounds by sender, too late by the delay of the report.
  std::map<std::string, TimePoint> BySender;
};

/// @brief Adds a report. The least delayed report of each sender counts.
/// @param Sender gateway that was in contact with the store
/// @param At arrival of the report less the reported age
void addReport(DeclarationReports &Reports, const std::string &Sender,
               TimePoint At);

/// @brief Returns the closest lower bound of all senders.
/// @param Reports at least one report
TimePoint latestReport(const DeclarationReports &Reports);

/// @brief Whether the gateway was in contact with the store when the version
/// was declared, so that ConfirmedAt is close to the acknowledgement and may be
/// reported to other gateways.
bool wasInContact(const DeclarationEvidence &Evidence);

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
