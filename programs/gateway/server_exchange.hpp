#pragma once

#include "marigoldyard/coordination/retry.hpp"
#include "marigoldyard/coordination/server_table.hpp"
#include "marigoldyard/protocol/event_stream.hpp"
#include "marigoldyard/transport/timeout_list.hpp"
#include "platform/request_format.hpp"
#include "programs/gateway/server_connections.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace marigoldyard {

/// @brief A whole answer of a server.
struct WholeAnswer {
  unsigned Status = 0;
  platform::Fields Headers;
  std::string Body;
};

/// @brief How one send to a server ended.
struct ExchangeResult {
  TryFate Fate = TryFate::Lost;
  ErrorCode Reason = ErrorCode::EndpointFailed;
  ServerOutcome Health = ServerOutcome::Broken;
  std::optional<WholeAnswer> Answer; ///< unless a stream was passed on
  std::string Detail;
};

/// @brief Receives the parts of an event stream.
struct StreamReceiver {
  /// Head of a stream that succeeds; false ends the exchange.
  std::function<boost::asio::awaitable<bool>(const platform::Fields &, unsigned,
                                             const platform::ServerAnswer &)>
      Head;
  /// Whole events; false ends the exchange.
  std::function<boost::asio::awaitable<bool>(std::vector<StreamEvent>)> Events;
};

/// @brief Times of one send.
struct ExchangeLimits {
  TimePoint Deadline;    ///< of the whole exchange
  Duration FirstByte{};  ///< until the answer begins
  Duration Gap{};        ///< between two parts of a stream
  Duration MaxIdleAge{}; ///< of a kept connection that may be used
};

/// @brief Sends one request to one server and reads its answer.
class ServerExchange {
public:
  /// @param Context runs the sockets
  /// @param Timeouts must outlive the exchange
  /// @param Connections idle connections
  /// @param LoadTold called with the load that the answer tells
  ServerExchange(boost::asio::io_context &Context, TimeoutList &Timeouts,
                 ServerConnections &Connections,
                 std::function<void(const platform::AnswerLoad &)> LoadTold);

  /// @brief Runs the exchange.
  /// @param Request the request to the server
  /// @param Address address of the server
  /// @param RequestId id that the answer must carry
  /// @param Limits times
  /// @param Receiver receives a stream; null reads the answer as a whole
  boost::asio::awaitable<ExchangeResult>
  run(const platform::RequestMessage &Request, const std::string &Address,
      const std::string &RequestId, const ExchangeLimits &Limits,
      StreamReceiver *Receiver);

  /// @brief Closes the connection, so that the server ends its work.
  void cancel();

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  boost::asio::awaitable<bool> connect(const std::string &Address);
  boost::asio::awaitable<bool> send(const platform::RequestMessage &Request);
  boost::asio::awaitable<ExchangeResult> receive(const std::string &RequestId,
                                                 StreamReceiver *Receiver);
  boost::asio::awaitable<boost::system::error_code> readHead(Parser &Source);
  boost::asio::awaitable<boost::system::error_code> readPart(Parser &Source,
                                                             std::string &Part);
  boost::asio::awaitable<ExchangeResult>
  readWhole(Parser &Source, const platform::ServerAnswer &Head);
  boost::asio::awaitable<ExchangeResult>
  readStream(Parser &Source, const platform::ServerAnswer &Head,
             StreamReceiver &Receiver);
  ExchangeResult failure(const boost::system::error_code &Cause) const;

  boost::asio::io_context &Context;
  ServerConnections &Connections;
  std::function<void(const platform::AnswerLoad &)> LoadTold;
  Timeout Timer;
  ExchangeLimits Limits;
  std::shared_ptr<ServerConnection> Connection;
  bool Cancelled = false;
  /// Whether the whole request was written; shared with the writer of a long
  /// body, which may outlive the exchange.
  std::shared_ptr<bool> Sent = std::make_shared<bool>(false);
  bool Reusable = false;
};

} // namespace marigoldyard
