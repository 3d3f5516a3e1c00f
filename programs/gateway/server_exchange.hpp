#pragma once

#include "marigoldyard/coordination/response_memory.hpp"
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
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace marigoldyard {

/// @brief A response of a server, read in full.
struct BufferedResponse {
  unsigned Status = 0;
  platform::Fields Headers;
  /// In blocks, because a string that grows is copied and needs more memory.
  std::deque<std::string> Body;
  std::size_t BodySize = 0;   ///< in bytes
  ResponseReservation Memory; ///< of Body
};

/// @brief Result of one attempt to send a request to a server.
struct ExchangeResult {
  AttemptStatus Fate = AttemptStatus::Lost;
  ErrorCode Reason = ErrorCode::EndpointFailed;
  ServerOutcome Health = ServerOutcome::InvalidAnswer;
  std::optional<BufferedResponse>
      Response; ///< empty when a stream was forwarded
  std::string Detail;
  /// What ended the wait for the server; empty unless it timed out.
  std::string_view EndedBy;
};

/// @brief What the receiver of a stream did with a part of it.
enum class PartStatus : std::uint8_t {
  Forwarded,
  CallerLeft,
  Invalid, ///< does not continue what the caller got; another server may
};

/// @brief Callbacks for the parts of an event stream. The exchange ends when
/// one returns anything but Forwarded.
struct StreamReceiver {
  /// Removes the first event that does not continue the stream, and all after
  /// it, before anything of them is forwarded.
  /// @return a description of the removed event; empty if there is none
  std::function<std::string(std::vector<StreamEvent> &)> TakeInOrder;
  /// Head of a successful stream.
  std::function<boost::asio::awaitable<PartStatus>(
      const platform::Fields &, unsigned, const platform::ServerResponse &)>
      OnHead;
  /// Complete events.
  std::function<boost::asio::awaitable<PartStatus>(std::vector<StreamEvent>)>
      OnEvents;
};

/// @brief Time limits of one attempt.
struct ExchangeLimits {
  TimePoint Deadline;          ///< of the whole exchange
  Duration FirstByteTimeout{}; ///< until the response starts
  Duration GapTimeout{};       ///< between two chunks of a stream
  Duration MaxIdleAge{};       ///< longest idle time of a reused connection
  /// Whether the request waits at a server that runs; then the wait for the
  /// first byte goes on up to MaxWaitUntil. Empty when that is never known.
  std::function<bool()> IsWaiting;
  TimePoint MaxWaitUntil{};
  /// Called at each timeout of a silent server, which may go on; reserves
  /// another server for the request. The wait goes on while there is none, up
  /// to MaxSilence. Empty when a timeout always ends the wait.
  std::function<bool()> ReserveAlternative;
  /// Longest silence of a server, since the request was sent or since its last
  /// event.
  Duration MaxSilence = Duration::max();
  /// Called at the first timeout that does not end the wait.
  std::function<void()> OnSilence;
};

/// @brief Sends one request to one server and reads the response.
class ServerExchange {
public:
  /// @param Context runs the sockets; must outlive the exchange
  /// @param Timeouts must outlive the exchange
  /// @param Connections idle connections to reuse; must outlive the exchange
  /// @param Memory bounds the responses that are read at once; must outlive the
  /// exchange and its result
  /// @param OnResponseHead called with the head of each response that is read,
  /// also of a late response to an earlier request
  ServerExchange(
      boost::asio::io_context &Context, TimeoutList &Timeouts,
      ServerConnections &Connections, ResponseMemory &Memory,
      std::function<void(const platform::ServerResponse &)> OnResponseHead);

  /// @brief Sends the request and reads the response.
  /// @param Request the request as the server expects it
  /// @param Address IP address and port of the server
  /// @param RequestId id that the response must carry
  /// @param Limits time limits
  /// @param Receiver callbacks for an event stream; with null, every response
  /// is read in full
  boost::asio::awaitable<ExchangeResult>
  run(const platform::RequestMessage &Request, const std::string &Address,
      const std::string &RequestId, const ExchangeLimits &Limits,
      StreamReceiver *Receiver);

  /// @brief Closes the connection, so that the server stops its work.
  void cancel();
  /// @brief Ends the exchange as at its deadline.
  void expire();
  /// @brief Closes the connection because the request must not start at the
  /// server any more; another server may run it.
  void withdraw();

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  /// Closes the connection and discards bytes that were not delivered yet.
  void abortConnection();
  /// Prolongs the wait for the first byte or event of a request that waits at
  /// its server, and the wait for a silent server while no other one can take
  /// the request.
  /// @return whether the wait goes on
  bool prolongWait();
  bool isWaitingAtServer() const;
  boost::asio::awaitable<bool> connect(const std::string &Address);
  boost::asio::awaitable<bool> send(const platform::RequestMessage &Request);
  boost::asio::awaitable<ExchangeResult> receive(const std::string &RequestId,
                                                 StreamReceiver *Receiver);
  boost::asio::awaitable<boost::system::error_code>
  readHead(Parser &ResponseParser, std::size_t &BytesRead);
  boost::asio::awaitable<boost::system::error_code>
  readChunk(Parser &ResponseParser, std::string &Chunk);
  boost::asio::awaitable<boost::system::error_code>
  skipBody(Parser &ResponseParser, std::size_t &BytesRead);
  boost::asio::awaitable<ExchangeResult>
  readRefusal(Parser &ResponseParser, const platform::ServerResponse &Head);
  boost::asio::awaitable<ExchangeResult> readBuffered(Parser &ResponseParser);
  boost::asio::awaitable<ExchangeResult>
  readStream(Parser &ResponseParser, const platform::ServerResponse &Head,
             StreamReceiver &Receiver);
  /// Whether the exchange was ended from outside.
  bool wasStopped() const { return Cancelled || Withdrawn || Expired; }
  bool mayReuse(const Parser &ResponseParser) const;
  ExchangeResult failureResult(const boost::system::error_code &Cause) const;
  ExchangeResult stoppedResult(PartStatus Status) const;
  /// Result of a response that breaks the rules of the protocol.
  ExchangeResult corruptResult(std::string Detail) const;

  boost::asio::io_context &Context;
  ServerConnections &Connections;
  ResponseMemory &Memory;
  std::function<void(const platform::ServerResponse &)> OnResponseHead;
  Timeout Timer;
  ExchangeLimits Limits;
  std::shared_ptr<ServerConnection> Connection;
  bool Cancelled = false;
  bool Withdrawn = false;
  bool Expired = false;
  bool AwaitsFirstEvent = false; ///< the request was sent and has not started
  /// The request was sent, and no refusal of it was read.
  bool AwaitsResponse = false;
  bool SilenceReported = false;
  std::string_view EndedBy;
  TimePoint LastProgressAt{}; ///< when the request was sent, or its last event
  /// Whether the request was written in full; shared with the coroutine that
  /// writes a long body, which may outlive the exchange.
  std::shared_ptr<bool> RequestWritten = std::make_shared<bool>(false);
  bool Reusable = false;
};

} // namespace marigoldyard
