#pragma once

#include "marigoldyard/state/fleet.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "programs/gateway/server_exchange.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace marigoldyard {

/// @brief Head of a stream that was not forwarded yet.
struct StreamHead {
  std::string Text; ///< as sent to the caller
  std::optional<std::uint64_t> Version;
  bool ClosesConnection = false; ///< tells the caller so
};

/// @brief State of one attempt of a request at one server.
struct RequestAttempt {
  /// @param AttemptNumber number within the request, from 1
  /// @param Record record of the server, on which the request counts as started
  /// @param Loaded version of the weights that the server is known to have
  /// @param Forwarded order of the events that the caller has
  /// @param ExchangeArguments arguments of ServerExchange
  template <typename... Arguments>
  RequestAttempt(std::uint32_t AttemptNumber, ServerRecord Record,
                 std::uint64_t Loaded, EventOrder Forwarded,
                 Arguments &&...ExchangeArguments)
      : Number(AttemptNumber), Server(std::move(Record)), LoadedVersion(Loaded),
        Order(Forwarded),
        Exchange(std::forward<Arguments>(ExchangeArguments)...) {}

  std::uint32_t Number;
  ServerRecord Server; ///< when the attempt began
  std::uint64_t LoadedVersion;
  const TimePoint SentAt = now();
  EventOrder Order; ///< of the events that were read
  ServerExchange Exchange;
  bool PlaceTaken = true; ///< at the server
  bool PrefillRunning = true;
  std::optional<std::uint64_t> StartTicket; ///< set until the request starts
  std::uint32_t EventReads = 0;             ///< reads with events
  std::optional<StreamHead> HeldHead;
  std::string HeldEvents; ///< read and not forwarded
};

} // namespace marigoldyard
