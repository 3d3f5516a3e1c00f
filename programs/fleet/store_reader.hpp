#pragma once

#include "marigoldyard/coordination/store_mirror.hpp"
#include "marigoldyard/protocol/message.hpp"
#include "marigoldyard/transport/http_client.hpp"
#include "marigoldyard/transport/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Address, keys and timing of a StoreReader.
struct StoreReaderOptions {
  std::string Address;
  std::string Prefix; ///< of the keys to read
  /// Delay between two watch calls, so that one call returns many changes. A
  /// call without changes is followed by the next at once.
  /// Together with the time of a call it must stay far below the deadlines of
  /// seconds within which changes must be active.
  std::chrono::milliseconds WatchDelay{};
  /// Maximum backoff between attempts until the first complete content.
  std::chrono::milliseconds MaxStartupBackoff{};
  /// Timeout of one watch call. Only this limit detects a connection that
  /// stalls without a reset.
  std::chrono::milliseconds WatchTimeout{};
};

/// @brief Keeps a StoreMirror up to date with listings and watch calls.
///
/// Not thread-safe; use it on the thread of its io_context.
class StoreReader {
public:
  using ChangeHandler = std::function<void(const ChangedKeys &)>;

  /// @param Options address, keys and timing
  /// @param Context runs the timer
  /// @param Client sends the calls; must outlive the reader
  /// @param Log receives events such as lost and regained contact; must outlive
  /// the reader
  /// @param Changed called with the changed keys after a listing, watch or
  /// relay
  StoreReader(StoreReaderOptions Options, boost::asio::io_context &Context,
              HttpClient &Client, Logger &Log, ChangeHandler Changed);

  /// @brief Starts reading with a listing.
  void start();

  /// @brief Applies items that another process relayed.
  void applyRelay(const StoreRelay &Relay);

  /// @brief Lets another process read the store first, or reads it after all.
  /// It has an effect until complete content is known.
  /// @param MayRead whether this process reads the store itself
  void setReading(bool MayRead);

  /// @brief Removes items that expired while the store was unreachable. Must be
  /// called regularly.
  void expireItems();

  /// @brief Changes the delay between watch calls, starting with the next one.
  void setWatchDelay(std::chrono::milliseconds Delay) {
    Options.WatchDelay = Delay;
  }
  /// @brief Changes the address of the store, starting with the next call.
  void setAddress(const std::string &Address) { Options.Address = Address; }

  /// @return whether complete content was received at least once
  bool isInitialized() const { return Initialized; }
  /// @return whether the store is unreachable: no response within the timeout
  bool isUnreachable(TimePoint Now) const;
  /// @return time up to which all acknowledged changes are in the mirror: the
  /// send time of the newest applied call, or the end of a watch that brought
  /// no change. While a change handler runs, it does
  /// not cover the response that brought the change. Empty until the store has
  /// responded to this process.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt; }
  /// @return time at which the store was last seen to be unavailable; empty if
  /// it never was. A single call that fails on a kept connection does not
  /// count.
  std::optional<TimePoint> unavailableAt() const { return UnavailableAt; }
  /// @return the current copy of the store's items
  const StoreMirror &mirror() const { return Mirror; }

private:
  void requestListing();
  /// Ends a listing in progress without a result.
  void endListing();
  void handleListing(const HttpResult &Result);
  void requestChanges();
  void handleChanges(const HttpResult &Result);
  /// Handles a response of another era than that of its call: lists the keys of
  /// a store that was restored, and drops an answer from before the restore.
  void handleOtherEra(StorePosition Position);
  void handleFailure(const HttpResult &Result);
  void recordResponse();
  /// Logs the number of items of another writer that could not be read.
  void logFaults(const StoreResponse &Response);
  void scheduleCall(std::chrono::milliseconds Delay,
                    void (StoreReader::*Next)());
  void notifyChanges(const ChangedKeys &Keys);

  StoreReaderOptions Options;
  boost::asio::steady_timer Timer;
  HttpClient &Client;
  Logger &Log;
  ChangeHandler OnChange;
  StoreMirror Mirror;
  bool Initialized = false;
  bool Deferred = false; ///< waits for the content that others read
  HttpCallHandle Listing;
  std::uint64_t ListingNumber = 0; ///< results of earlier ones are dropped
  bool ListingDue = true;          ///< the next call is a listing
  std::vector<StoreItem> ListedItems;
  StorePosition ListedAt;  ///< position of the first page
  StoreEra WatchedEra = 0; ///< of the position after which is watched
  TimePoint LastResponseAt{};
  std::size_t RelaysSinceResponse = 0; ///< only relays with changes
  TimePoint CallSentAt{};              ///< of a listing, its first page
  std::optional<TimePoint> ConfirmedAt;
  std::optional<TimePoint> UnavailableAt;
  std::size_t ConsecutiveFailures = 0;
  std::chrono::milliseconds Backoff{};
  bool ContactLost = false; ///< set once the loss of contact is logged
};

} // namespace marigoldyard
