#pragma once

#include "marigoldyard/coordination/concurrent_attempts.hpp"
#include "marigoldyard/coordination/return_delay.hpp"
#include "programs/gateway/gateway.hpp"
#include "programs/gateway/request_attempt.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Result of RequestRun::moveStream().
enum class MoveStatus : std::uint8_t {
  Begun,   ///< another server has got the stream
  Waiting, ///< no other server has a free slot
  Denied,  ///< the stream ends at its server
};

/// @brief Handles one request of a caller: selects its route, forwards it to
/// servers with retries and sends the response.
///
/// While a server is silent, the request may also be sent to another one. The
/// silent server keeps it until the other one has begun; the first of the two
/// that goes on answers, and the other attempt is stopped. A stream whose
/// server is about to load moves to another one in the same way.
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

  /// @return name of the pool that serves the request
  const std::string &poolName() const { return Pool->Name; }
  /// @return whether only servers of some regions may serve the request
  bool isLimitedToRegions() const { return AllowedRegions.has_value(); }
  /// @return time at which the request was read
  TimePoint arrivalTime() const { return ArrivalTime; }
  /// @brief Whether this is a stream in progress at a server that another one
  /// may continue.
  /// @param Server id of the server
  bool mayMoveFrom(const std::string &Server);
  /// @brief Sends the stream to another server if its own is about to load and
  /// another one has a free slot now. Its own one keeps it until the other one
  /// has begun.
  MoveStatus moveStream();

private:
  /// Time reserved before a route's timeout to send the response.
  static constexpr std::chrono::milliseconds ResponseMargin{40};

  /// A response that the gateway generates instead of forwarding one.
  struct LocalResponse {
    unsigned Status;
    std::string_view Outcome; ///< "not_run" or "unknown", as callers see it
    Step FailedStep;
    std::string Peer;
    std::string Detail;
    std::optional<Duration> RetryAfter;
  };

  /// Handles the request; returns whether its response was written.
  boost::asio::awaitable<bool> handle();
  std::optional<LocalResponse> admit();
  boost::asio::awaitable<bool> serve();
  ServerRequirements serverRequirements() const;
  boost::asio::awaitable<ServerChoice> acquire();
  /// What is blocked of the request because servers crash on it.
  struct Block {
    std::string Cause;
    Duration RetryAfter{};
  };
  std::optional<Block> findBlock();
  /// Whether the whole request is blocked and this is not a trial of it.
  bool isContentBlocked();
  boost::asio::awaitable<bool> rejectBlocked(const Block &Blocked);
  /// Digest of what stays the same when the request comes again: its method,
  /// host, target, customer and body.
  const Digest &contentDigest();

  platform::RequestMessage
  buildServerRequest(const RequestAttempt &Attempt) const;
  ExchangeLimits exchangeLimits(RequestAttempt &Attempt);
  /// Adds an attempt at a server on which the request counts as started.
  RequestAttempt &beginAttempt(const std::string &Id);
  /// Sends the request and forwards the events of its response, until the
  /// attempt has ended.
  boost::asio::awaitable<void> runAttempt(RequestAttempt &Attempt);
  boost::asio::awaitable<void> completeAttempt(RequestAttempt &Attempt);
  boost::asio::awaitable<ExchangeResult> sendTo(RequestAttempt &Attempt);
  /// Whether an attempt that ended answers the request, also while another one
  /// runs.
  bool decidesRequest(const ExchangeResult &Result) const;
  /// Forwards what is held of the only attempt that is left.
  void releaseLastCandidate();
  void endAttempt(RequestAttempt &Attempt);
  /// Runs an attempt, and those that its silence starts, until all have ended.
  /// LastResult is set then.
  boost::asio::awaitable<void> runAttempts(const std::string &Id);
  /// Stops the attempts that do not answer the request any more.
  void stopSuperseded();
  /// Waits until no attempt runs any more.
  boost::asio::awaitable<void> awaitAttempts();
  void stopAttempts(StopCause Cause);
  void recordAttempt(RequestAttempt &Attempt, const ExchangeResult &Result);
  /// Records whether the server completed the request or crashed.
  boost::asio::awaitable<void> recordCrashOutcome(RequestAttempt &Attempt,
                                                  const ExchangeResult &Result);
  /// Keeps the result that decides on the request when all attempts ended.
  void keepResult(ExchangeResult Result);
  void releasePlace(RequestAttempt &Attempt);
  void endPrefill(RequestAttempt &Attempt);
  void endStartWatch(RequestAttempt &Attempt);

  /// Sends the request to another server too, if one can take it now.
  void handleSilence(RequestAttempt &Attempt, bool New);
  /// Whether the route and earlier attempts allow another one beside those that
  /// run.
  bool mayAddAlternative();
  /// Reserves another server and charges the retry.
  /// @param IsMove whether the stream leaves a server that goes on
  ServerChoice reserveAlternative(bool IsMove);
  void beginAlternative(const std::string &Server);
  /// The only attempt that may answer the request; null if there are several.
  const RequestAttempt *onlyCandidate() const;
  void recordSilence(const RequestAttempt &Attempt);

  StreamReceiver streamReceiver(RequestAttempt &Attempt);
  /// See StreamReceiver::TakeInOrder.
  std::string takeInOrder(RequestAttempt &Attempt,
                          std::vector<StreamEvent> &Events);
  /// Learns the id of a first event, and sets the one expected here.
  void checkFirstEvent(RequestAttempt &Attempt,
                       const std::vector<StreamEvent> &Events);
  PartStatus acceptHead(RequestAttempt &Attempt,
                        const platform::Fields &Headers, unsigned Status,
                        const platform::ServerResponse &Head);
  boost::asio::awaitable<PartStatus>
  handleEvents(RequestAttempt &Attempt, const std::vector<StreamEvent> &Events);
  /// Chooses an attempt and forwards what is held of it.
  boost::asio::awaitable<PartStatus> releaseHeld(RequestAttempt &Attempt);
  /// Writes what is held of an attempt that was chosen.
  boost::asio::awaitable<bool> forwardHeld(RequestAttempt &Attempt);

  /// Whether servers may crash on the request, or that is being found out.
  bool crashForbidsAttempt();
  bool mayRetry(const ExchangeResult &Last);
  RetryInputs retryInputs(AttemptStatus LastAttempt, ErrorCode Reason) const;
  boost::asio::awaitable<bool> finish(ExchangeResult Last);
  boost::asio::awaitable<bool> finishStream(const ExchangeResult &Last);
  LocalResponse failureResponse(const ExchangeResult &Last) const;
  LocalResponse shortageResponse(ServerShortage Shortage) const;
  /// Response when no server gets the request any more.
  LocalResponse unservedResponse(ServerShortage Shortage) const;

  boost::asio::awaitable<bool> forwardResponse(BufferedResponse Response);
  boost::asio::awaitable<bool> sendLocalResponse(LocalResponse Content);
  std::string formatHead(unsigned Status,
                         const platform::Fields &Headers) const;
  /// Writes a whole response.
  boost::asio::awaitable<bool> writeResponse(std::string Text);
  /// Whether responses tell the caller that the connection closes.
  bool closesConnections() const;

  /// Retry-After of a refusal: until the pool takes requests again, when each
  /// of its servers refuses them for a time.
  Duration retryAfter(RefusalCause Cause) const;
  void releaseUnsent(const std::string &Id);
  Duration timeLeft() const;
  /// Time after which no server can serve the caller: the deadline, or shortly
  /// before the caller abandons a stream.
  TimePoint answerBy() const;
  /// Time after which the caller abandons the request.
  Duration callerTimeout() const;
  WaitingRequest waitingRequest() const;
  bool resumable() const;
  void log(std::string_view Outcome, std::string_view Detail);
  void logSend(const RequestAttempt &Attempt, const ExchangeResult &Result);

  Gateway &Owner;
  CallerSession &Session;
  const platform::RequestMessage &Request;
  const platform::CallerRequest RequestInfo;
  const std::shared_ptr<const RouteTable> Table;
  const TimePoint ArrivalTime;
  const Route *MatchedRoute = nullptr;
  const Customer *RequestCustomer = nullptr;
  const ServerPool *Pool = nullptr;
  RegionLimit AllowedRegions; ///< of servers
  TimePoint Deadline{};
  bool IsTrial = false;               ///< of a blocked request
  std::optional<Digest> KnownDigest;  ///< set by contentDigest()
  std::function<void()> EndQueueWait; ///< set while the request is queued
  bool Admitted = false;

  std::uint32_t Attempts = 0;
  std::set<std::string> TriedServers;
  std::vector<AttemptStatus> AttemptOutcomes;
  std::list<RequestAttempt> Running; ///< also stopped ones that have not ended
  ConcurrentAttempts Concurrent;
  boost::asio::steady_timer *AttemptsEnded = nullptr; ///< set while waited for
  ExchangeResult LastResult;     ///< of the attempts that ended
  bool ServerCrashed = false;    ///< in an attempt, before the request began
  std::uint32_t CrashChecks = 0; ///< in progress
  bool HeadForwarded = false;
  bool ResponseBegun = false;  ///< or HeadForwarded
  bool CloseAnnounced = false; ///< in the response
  EventOrder Order;            ///< of the events that were forwarded
  std::optional<std::uint64_t> Version;
  std::optional<TimePoint> FirstEventAt;
  TimePoint LastForwardedAt; ///< or the arrival of the request
  std::string LastServer;
};

} // namespace marigoldyard
