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
  /// What the attempt shows of the server; empty if it was ended before that.
  std::optional<ServerOutcome> Health = ServerOutcome::InvalidAnswer;
  std::optional<BufferedResponse>
      Response; ///< empty when a stream was forwarded
  std::string Detail;
  /// What ended the wait for the server; empty unless it timed out.
  std::string_view EndedBy;
  /// Time in which the connection opened; empty if it was reused.
  std::optional<Duration> ConnectTime;
};

/// @brief What the receiver of a stream did with a part of it.
enum class PartStatus : std::uint8_t {
  Forwarded,
  Held, ///< kept until the next events, StreamReceiver::OnRelease or the end
  CallerLeft,
  Invalid,    ///< does not continue what the caller got; another server may
  Superseded, ///< another attempt answers the request
};

/// @brief Why an exchange is ended from outside.
enum class StopCause : std::uint8_t {
  None,
  CallerLeft,
  EndOfProcess,
  VersionOutOfUse,    ///< the request must not start at this server any more
  OtherServerAnswers, ///< another attempt of the request was chosen
};

/// @brief Callbacks for the parts of an event stream. The exchange ends when
/// one returns anything but Forwarded or Held.
struct StreamReceiver {
  /// Removes the first event that does not continue the stream, and all after
  /// it, before anything of them is forwarded.
  /// @return a description of the removed event; empty if there is none
  std::function<std::string(std::vector<StreamEvent> &)> TakeInOrder;
  /// Head of a successful stream.
  std::function<PartStatus(const platform::Fields &, unsigned,
                           const platform::ServerResponse &)>
      OnHead;
  /// Complete events; they must stay valid until the call ends.
  std::function<boost::asio::awaitable<PartStatus>(
      const std::vector<StreamEvent> &)>
      OnEvents;
  /// Forwards the events that are held.
  std::function<boost::asio::awaitable<PartStatus>()> OnRelease;
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
  /// Called at each timeout of a silent server, which may go on, with whether
  /// this silence is new. The wait goes on up to SilentUntil. Empty when a
  /// timeout ends the wait.
  std::function<void(bool)> OnSilence;
  /// Returns when the wait for a silent server ends.
  std::function<TimePoint()> SilentUntil;
};

/// @brief Progress of writing a request.
struct RequestWrite {
  bool Complete = false;
  /// A pending error of a socket is reported once. If the write gets the reset
  /// of the connection, a read that follows sees an orderly end.
  boost::system::error_code Failure;
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

  /// @brief Closes the connection, so that the server stops its work. The first
  /// cause counts.
  /// @param Cause why the exchange ends
  void stop(StopCause Cause);
  /// @brief Ends the time for which events are held. Has no effect while none
  /// are.
  void release();
  /// @return whether the server is silent for longer than a timeout
  bool silent() const { return Silent; }

private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::buffer_body>;

  void handleTimeout();
  /// Closes the connection and discards bytes that were not delivered yet.
  void abortConnection();
  /// Prolongs the wait for the first byte or event of a request that waits at
  /// its server, and the wait for a silent server.
  /// @return whether the wait goes on
  bool prolongWait();
  bool isWaitingAtServer() const;
  /// Time of the first timeout, from now on.
  TimePoint firstByteTimeout() const;
  /// Time of the next timeout after events were read.
  TimePoint nextTimeout() const;
  boost::asio::awaitable<bool> connect(const std::string &Address);
  boost::asio::awaitable<bool> send(const platform::RequestMessage &Request);
  boost::asio::awaitable<ExchangeResult> receive(const std::string &RequestId,
                                                 StreamReceiver *Receiver);
  boost::asio::awaitable<boost::system::error_code>
  readHead(Parser &ResponseParser, std::size_t &BytesRead);
  /// Reads a part of a body. The end of a connection ends a body without length
  /// only if it was orderly.
  boost::asio::awaitable<boost::system::error_code>
  readChunk(Parser &ResponseParser, std::string &Chunk);
  boost::asio::awaitable<boost::system::error_code>
  skipBody(Parser &ResponseParser, std::size_t &BytesRead,
           std::size_t MaxBytes);
  boost::asio::awaitable<ExchangeResult>
  readRefusal(Parser &ResponseParser, const platform::ServerResponse &Head);
  boost::asio::awaitable<ExchangeResult> readBuffered(Parser &ResponseParser);
  boost::asio::awaitable<ExchangeResult>
  readStream(Parser &ResponseParser, const platform::ServerResponse &Head,
             StreamReceiver &Receiver);
  /// Whether the exchange was ended from outside.
  bool wasStopped() const { return Stopped != StopCause::None; }
  bool mayReuse(const Parser &ResponseParser) const;
  ExchangeResult failureResult(const boost::system::error_code &Cause) const;
  ExchangeResult stoppedResult(PartStatus Status) const;
  /// Result of a response that breaks the rules of the protocol.
  ExchangeResult corruptResult(std::string Detail) const;
  /// Result of bytes that go on beyond what a sound server sends.
  ExchangeResult endlessResult() const;

  boost::asio::io_context &Context;
  ServerConnections &Connections;
  ResponseMemory &Memory;
  std::function<void(const platform::ServerResponse &)> OnResponseHead;
  Timeout Timer;
  ExchangeLimits Limits;
  std::shared_ptr<ServerConnection> Connection;
  StopCause Stopped = StopCause::None;
  bool Silent = false;     ///< a timeout is over since the last events
  bool Holding = false;    ///< the receiver holds events, until the timeout
  bool ReleaseDue = false; ///< the read was cancelled to release them
  bool AwaitsFirstEvent = false; ///< the request was sent and has not started
  /// The request was sent, and no refusal of it was read.
  bool AwaitsResponse = false;
  std::string_view EndedBy;
  std::optional<Duration> ConnectTime;
  /// Shared with the coroutine that writes a long body, which may outlive the
  /// exchange.
  std::shared_ptr<RequestWrite> Written = std::make_shared<RequestWrite>();
  bool Reusable = false;
};

} // namespace marigoldyard
