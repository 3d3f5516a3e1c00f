#pragma once

#include "programs/gateway/gateway.hpp"
#include "programs/gateway/server_exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Serves one request of a caller: finds its route, sends it to servers
/// and answers.
class RequestRun {
public:
  /// @param Owner the gateway
  /// @param Session the caller's connection
  /// @param Request the whole request; must outlive the run
  RequestRun(Gateway &Owner, CallerSession &Session,
             const platform::RequestMessage &Request);
  ~RequestRun();
  RequestRun(const RequestRun &) = delete;
  RequestRun &operator=(const RequestRun &) = delete;

  /// @brief Serves the request.
  /// @return whether the caller's connection may be kept
  boost::asio::awaitable<bool> run();

private:
  /// An answer that the gateway gives itself.
  struct OwnAnswer {
    unsigned Status;
    std::string_view Outcome; ///< of the product's interface
    Step At;
    std::string Peer;
    std::string Detail;
    std::optional<Duration> RetryAfter;
  };

  std::optional<OwnAnswer> admit();
  boost::asio::awaitable<bool> serve();
  boost::asio::awaitable<ExchangeResult> sendTo(const std::string &Id);
  boost::asio::awaitable<ServerChoice> acquire();
  void endReading();
  bool mayRepeat(const ExchangeResult &Last);
  boost::asio::awaitable<bool> conclude(ExchangeResult Last);
  boost::asio::awaitable<bool> concludeStream(const ExchangeResult &Last);
  OwnAnswer failureAnswer(const ExchangeResult &Last) const;
  OwnAnswer shortageAnswer(ServerShortage Shortage) const;

  StreamReceiver streamReceiver();
  boost::asio::awaitable<bool> passHead(const platform::Fields &Headers,
                                        unsigned Status,
                                        const platform::ServerAnswer &Head);
  boost::asio::awaitable<bool> passEvents(std::vector<StreamEvent> Events);
  boost::asio::awaitable<bool> passWhole(WholeAnswer Answer);
  boost::asio::awaitable<bool> answer(OwnAnswer Content);
  std::string headText(unsigned Status, const platform::Fields &Headers) const;

  Duration timeLeft() const;
  ExchangeLimits exchangeLimits() const;
  WaitingRequest waitingRequest() const;
  bool resumable() const;
  void log(std::string_view Outcome, std::string_view Detail);
  void logSend(const std::string &Id, const ExchangeResult &Result);

  Gateway &Owner;
  CallerSession &Session;
  const platform::RequestMessage &Request;
  const platform::CallerRequest Facts;
  const std::shared_ptr<const RouteTable> Table;
  const TimePoint Arrived;
  const Route *Matched = nullptr;
  const Customer *Sender = nullptr;
  const ServerPool *Pool = nullptr;
  TimePoint Deadline{};
  bool Admitted = false;

  std::uint32_t Sends = 0;
  std::set<std::string> Tried;
  std::vector<TryFate> Fates;
  ServerExchange *Current = nullptr;
  bool Reading = false; ///< the prompt is being read at LastServer
  bool HeadPassed = false;
  EventOrder Order;
  std::optional<std::uint64_t> Version;
  std::optional<TimePoint> FirstEventAt;
  std::string LastServer;
};

} // namespace marigoldyard
