#pragma once

#include "marigoldyard/coordination/admission.hpp"
#include "marigoldyard/coordination/drain.hpp"
#include "marigoldyard/coordination/request.hpp"
#include "marigoldyard/coordination/routing.hpp"
#include "marigoldyard/coordination/subset.hpp"
#include "marigoldyard/coordination/weight_history.hpp"
#include "marigoldyard/protocol/http_api.hpp"
#include "marigoldyard/protocol/settings.hpp"
#include "programs/node/node.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace marigoldyard {

/// @brief A caller's request in progress at an entry.
struct ActiveRequest {
  RequestState State;
  Responder Answer;
  std::string Product;
  std::string Caller;
  std::string Pool;
  Rank Priority = Rank::Batch;
  CompletionRequest Completion; ///< valid for Completion
  std::string Service;          ///< valid for OperationOpen
  std::string RunBody;          ///< valid for OperationRun
  std::uint32_t EstimatedTokens = 1;
  bool Started = false; ///< the head of a streamed answer was sent
  TimePoint ArrivedAt;
  TimePoint TimerAt;
  std::string SentTo; ///< endpoint that holds the current try, or empty
  std::uint32_t SentAttempt = 0;
  bool Acknowledged = false;
  std::set<std::string> Outdated; ///< peers that refused an older revision
  std::string Choice;             ///< reason of the last routing decision
};

/// @brief Identity of whoever sent a request.
struct Identity {
  const AcceptedConfiguration *Configuration = nullptr;
  std::string KeySha256;
};

/// @brief The duties of marigold-entry: caller HTTP, admission, routing,
/// retries, stream integrity and the directory of entries.
class Entry {
public:
  /// @param Settings checked settings
  explicit Entry(EntrySettings Settings);

  /// @brief Opens the sockets and starts the duties.
  /// @return an error when a socket cannot be opened
  std::optional<Error> start();
  /// @brief Runs until the process may exit.
  /// @return exit status
  int run();
  /// @brief The common duties.
  Node &node() { return Base; }

private:
  using RequestIterator = std::map<std::string, ActiveRequest>::iterator;

  // entry_http.cpp: requests of callers
  void accept(HttpRequest &&Request, const Responder &Answer);
  void dispatch(const HttpRequest &Request, const Responder &Answer);
  std::optional<Identity> authenticate(const HttpRequest &Request,
                                       const Responder &Answer);
  void listEntriesFor(const Responder &Answer);
  void listModels(const HttpRequest &Request, const Responder &Answer);
  void beginCompletion(const HttpRequest &Request, const Responder &Answer,
                       CompletionKind Kind);
  void beginOpen(const HttpRequest &Request, const Responder &Answer);
  void beginRun(const HttpRequest &Request, const Responder &Answer);
  bool admit(ActiveRequest &Active, const Product &Owner, const Caller &Sender);
  void refuse(const Responder &Answer, const Error &Reason,
              std::chrono::milliseconds RetryAfter = {});
  std::string newRequestId();

  // entry_requests.cpp: progress of requests
  void begin(ActiveRequest Active);
  void feed(const std::string &Id, RequestEvent Event);
  void perform(ActiveRequest &Active, const RequestAction &Action,
               std::vector<RequestEvent> &Next);
  void settleTry(ActiveRequest &Active);
  void sendTry(ActiveRequest &Active, const request_action::SendWork &Action,
               std::vector<RequestEvent> &Next);
  void withdrawTry(ActiveRequest &Active,
                   const request_action::WithdrawWork &Action,
                   std::vector<RequestEvent> &Next);
  void deliver(ActiveRequest &Active, const std::string &Text,
               std::vector<RequestEvent> &Next);
  void finishAnswer(ActiveRequest &Active,
                    const request_action::FinishAnswer &Action);
  void answerOutcome(ActiveRequest &Active, Outcome Result, const Error &Reason,
                     std::chrono::milliseconds RetryAfter);
  void finished(RequestIterator Found);
  void loseTry(const std::string &Id, const std::string &Peer);
  void armTimer(const std::string &Id, ActiveRequest &Active);
  void watchAcknowledgement(const std::string &Id, std::uint32_t Attempt);
  void countOutcome(const ActiveRequest &Active, Outcome Result);

  // entry_routing.cpp: choice of endpoints and messages of agents
  RequestEvent choose(ActiveRequest &Active,
                      const request_action::ChooseEndpoint &Action);
  RequestEvent chooseByOperation(const ActiveRequest &Active) const;
  std::vector<EndpointView> viewsOf(const std::string &Pool,
                                    const std::vector<Digest> &Usable) const;
  QueueEstimate queueEstimate(const ActiveRequest &Active,
                              const Product &Owner) const;
  void receive(const Message &Incoming);
  void refused(const std::string &Peer, Revision Theirs,
               const WorkRefused &Answer);
  void retryWhenAdopted(const std::string &Id, Revision Theirs,
                        const request_event::Refused &Event, int StepsLeft);
  void reportArrived(const std::string &Peer, const LoadReport &Load);
  void peerLost(const std::string &Peer);
  void membersChanged();
  void relink();
  void configurationChanged();
  void status(nlohmann::json &Page) const;

  // entry.cpp
  void drain();
  void drainTurn();

  EntrySettings Settings;
  Node Base;
  std::unique_ptr<HttpServer> Callers;
  std::map<std::string, ActiveRequest> Requests;
  std::map<std::string, RetryBudget> Budgets; ///< by product
  std::map<std::string, EndpointView> Views;  ///< by endpoint
  WeightHistory History;
  std::set<std::string> Links;
  std::vector<std::string> PresentEntries;
  std::map<std::string, std::vector<SubsetEndpoint>> PresentPools;
  BucketTable Admissions;
  FailedAuthentications Failures;
  DrainState Departure;
  std::uint64_t LastRequest = 0;
};

} // namespace marigoldyard
