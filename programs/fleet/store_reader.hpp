#pragma once

#include "marigoldyard/coordination/store_mirror.hpp"
#include "marigoldyard/transport/http_client.hpp"
#include "marigoldyard/transport/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief How a StoreReader reads.
struct StoreReaderOptions {
  std::string Address;
  std::string Prefix; ///< of the keys
  /// Pause between two watches, so that one call carries many changes. With the
  /// time of a call it stays far below the bounds of seconds in which changes
  /// must be in force.
  std::chrono::milliseconds Pace{};
  /// Longest pause between tries while nothing is known yet.
  std::chrono::milliseconds FirstReadPause{};
  /// Longest wait of one watch. A connection may fall silent without a reset,
  /// which only this limit shows.
  std::chrono::milliseconds Wait{};
};

/// @brief Keeps a StoreMirror up to date by listings and watches.
///
/// Runs on one io_context thread.
class StoreReader {
public:
  using ChangeHandler = std::function<void(const ChangedKeys &)>;

  /// @param Options what to read
  /// @param Context runs the timer
  /// @param Client sends the calls
  /// @param Log receives lost and regained contact
  /// @param Changed called after changes, also of relays
  StoreReader(StoreReaderOptions Options, boost::asio::io_context &Context,
              HttpClient &Client, Logger &Log, ChangeHandler Changed);

  /// @brief Begins with a listing.
  void start();

  /// @brief Applies items that another process sent.
  /// @param Items the items
  /// @param Upto revision up to which they are complete
  void relayed(const std::vector<StoreItem> &Items, StoreRevision Upto);

  /// @brief Removes items that lapsed while the store was away; call it often.
  void dropLapsedItems();

  /// @brief Changes the pause between watches from the next one on.
  void usePace(std::chrono::milliseconds Pace) { Options.Pace = Pace; }
  /// @brief Changes the address from the next call on.
  void useAddress(const std::string &Address) { Options.Address = Address; }

  /// @return whether the content was known completely at least once
  bool known() const { return Known; }
  /// @return whether the store has not answered for a while
  bool cutOff(TimePoint Now) const;
  /// @return whether the content became known a moment ago
  bool justKnown(TimePoint Now) const {
    return !Known || Now - KnownSince < CatchUp;
  }
  /// @return whether contact was regained a moment ago
  bool catchingUp(TimePoint Now) const { return Now - ContactSince < CatchUp; }
  /// @return the copy
  const StoreMirror &mirror() const { return Mirror; }

private:
  /// Time in which a listing after an outage is applied.
  static constexpr Duration CatchUp = std::chrono::seconds(1);

  void list();
  void listed(const HttpResult &Result);
  void watch();
  void watched(const HttpResult &Result);
  void failed(const HttpResult &Result);
  void answered();
  void again(std::chrono::milliseconds Delay, void (StoreReader::*Next)());
  void tell(const ChangedKeys &Keys);

  StoreReaderOptions Options;
  boost::asio::steady_timer Timer;
  HttpClient &Client;
  Logger &Log;
  ChangeHandler Changed;
  StoreMirror Mirror;
  bool Known = false;
  bool Listing = true; ///< the next call is a listing
  std::vector<StoreItem> Pages;
  StoreRevision PagesRevision = 0;
  TimePoint AnsweredAt{};
  std::size_t RelaysSinceAnswer = 0; ///< with changes
  TimePoint ContactSince{};          ///< end of the last outage
  TimePoint KnownSince{};            ///< first complete content
  std::chrono::milliseconds Backoff{};
  bool Lost = false; ///< the loss of contact was logged
};

} // namespace marigoldyard
