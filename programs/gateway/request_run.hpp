#pragma once

#include "marigoldyard/coordination/return_delay.hpp"
#include "programs/gateway/gateway.hpp"
#include "programs/gateway/server_exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Handles one request of a caller: selects its route, forwards it to
/// servers with retries and sends the response.
class RequestRun {
public:
  /// @param Owner the gateway; must outlive the run
  /// @param Session the caller's connection; must outlive the run
  /// @param Request the complete request; must outlive the run
  RequestRun(Gateway &Owner, CallerSession &Session,
             const platform::RequestMessage &Request);
  ~RequestRun();
  RequestRun(const RequestRun &) = delete;
  RequestRun &operator=(const RequestRun &) = delete;

  /// @brief Handles the request until its response is sent or the caller
  /// disconnects.
  /// @return whether the caller's connection may be kept open
  boost::asio::awaitable<bool> run();

  /// @brief Ends all waits as at the deadline, so that the request gets a final
  /// response now. Has no effect once its response has begun.
  void expire();
  /// @brief Logs that the process ends before the request does.
  void recordCut();

private:
  /// A response that the gateway generates instead of forwarding one.
  struct LocalResponse {
    unsigned Status;
    std::string_view Outcome; ///< "not_run" or "unknown", as callers see it
    Step FailedStep;
    std::string Peer;
    std::string Detail;
    std::optional<Duration> RetryAfter;
  };

  std::optional<LocalResponse> admit();
  boost::asio::awaitable<bool> serve();
  platform::RequestMessage buildServerRequest(const std::string &Id) const;
  void beginAttempt(const std::string &Id);
  boost::asio::awaitable<ExchangeResult> sendTo(const std::string &Id);
  void recordAttempt(const std::string &Id, const ExchangeResult &Result);
  boost::asio::awaitable<void> recordPartOutcome(const ExchangeResult &Result,
                                                 const ServerRecord &Record);
  ServerRequirements serverRequirements() const;
  boost::asio::awaitable<ServerChoice> acquire();
  void endPrefill();
  void endStartWatch();
  void recordProgress();
  boost::asio::awaitable<bool> rejectBlocked(BlockedPart Blocked);
  bool mayRetry(const ExchangeResult &Last);
  RetryInputs retryInputs(AttemptStatus LastAttempt, ErrorCode Reason) const;
  /// Reserves another server for the request, whose server is silent, and
  /// charges the retry. Streams that were sent to one server fall silent
  /// together, and none may be given up for a place that another one gets.
  /// @return whether ReservedServer is set
  bool reserveAlternative();
  void recordSilence();
  boost::asio::awaitable<bool> finish(ExchangeResult Last);
  boost::asio::awaitable<bool> finishStream(const ExchangeResult &Last);
  LocalResponse failureResponse(const ExchangeResult &Last) const;
  LocalResponse shortageResponse(ServerShortage Shortage) const;
  /// Response when no server gets the request any more.
  LocalResponse unservedResponse(ServerShortage Shortage) const;

  StreamReceiver streamReceiver();
  /// See StreamReceiver::TakeInOrder.
  std::string takeInOrder(std::vector<StreamEvent> &Events);
  /// Learns the id of a first event, and sets the one expected here.
  void checkFirstEvent(const std::vector<StreamEvent> &Events);
  boost::asio::awaitable<PartStatus>
  forwardHead(const platform::Fields &Headers, unsigned Status,
              const platform::ServerResponse &Head);
  boost::asio::awaitable<PartStatus>
  forwardEvents(std::vector<StreamEvent> Events);
  boost::asio::awaitable<bool> forwardResponse(BufferedResponse Response);
  boost::asio::awaitable<bool> sendLocalResponse(LocalResponse Content);
  std::string formatHead(unsigned Status,
                         const platform::Fields &Headers) const;

  /// Retry-After of a refusal: until the pool takes requests again, when each
  /// of its servers refuses them for a time.
  Duration retryAfter(RefusalCause Cause) const;
  ServerChoice takeReservation();
  void releaseUnsent(const std::string &Id);
  Duration timeLeft() const;
  ExchangeLimits exchangeLimits(const std::string &Id);
  /// Time after which the caller abandons the request.
  Duration callerTimeout() const;
  WaitingRequest waitingRequest() const;
  bool resumable() const;
  void log(std::string_view Outcome, std::string_view Detail);
  void logSend(const std::string &Id, const ExchangeResult &Result);

  Gateway &Owner;
  CallerSession &Session;
  const platform::RequestMessage &Request;
  const platform::CallerRequest RequestInfo;
  const std::shared_ptr<const RouteTable> Table;
  const TimePoint ArrivalTime;
  const Route *MatchedRoute = nullptr;
  const Customer *RequestCustomer = nullptr;
  const ServerPool *Pool = nullptr;
  TimePoint Deadline{};
  std::function<void()> EndQueueWait; ///< set while the request is queued
  bool Admitted = false;

  std::uint32_t Attempts = 0;
  std::set<std::string> TriedServers;
  std::vector<AttemptStatus> AttemptOutcomes;
  ServerExchange *ActiveExchange = nullptr;
  bool PrefillRunning = false;              ///< at LastServer
  std::optional<std::uint64_t> StartTicket; ///< set until the request starts
  bool HeadForwarded = false;
  std::uint32_t EventReads = 0; ///< reads with events in the last attempt
  bool ServerCrashed = false;   ///< in the last attempt, before it began
  EventOrder Order;
  std::optional<std::uint64_t> Version;
  std::optional<TimePoint> FirstEventAt;
  std::string LastServer;
  /// Server of the next attempt, on which the request counts as started.
  std::optional<std::string> ReservedServer;
  bool ServerSilent = false; ///< in the last attempt, and not given up
};

} // namespace marigoldyard
