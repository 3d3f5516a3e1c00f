#include "programs/fleet/store_reader.hpp"

#include "marigoldyard/coordination/version_bound.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"

#include <algorithm>
#include <utility>

namespace marigoldyard {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusTooManyRequests = 429;
constexpr std::chrono::milliseconds MinBackoff{100};
/// A store that recovers is detected within this time.
constexpr std::chrono::milliseconds MaxBackoff{600};
/// The store counts as unreachable after this long without a response, which is
/// well above the time of a slow response.
constexpr std::chrono::milliseconds UnreachableTimeout{700};
/// After this long without a response the next call is a listing instead of a
/// watch, since items of servers may have expired.
constexpr std::chrono::milliseconds RelistTimeout{1000};

const HttpResponse *successfulResponse(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  return Response != nullptr && Response->Status == StatusOk ? Response
                                                             : nullptr;
}

} // namespace

StoreReader::StoreReader(StoreReaderOptions Settings,
                         boost::asio::io_context &Context, HttpClient &Sender,
                         Logger &Target, ChangeHandler Callback)
    : Options(std::move(Settings)), Timer(Context), Client(Sender), Log(Target),
      OnChange(std::move(Callback)) {
  Mirror.Rules = {platform::isWrittenLater, platform::mayExpire};
}

void StoreReader::start() {
  LastResponseAt = now();
  requestListing();
}

bool StoreReader::isUnreachable(TimePoint Now) const {
  return ContactLost || Now - LastResponseAt > Options.WatchTimeout +
                                                   Options.WatchDelay +
                                                   UnreachableTimeout;
}

void StoreReader::setReading(bool MayRead) {
  if (Initialized || Deferred != MayRead)
    return;
  Deferred = !MayRead;
  Log.write({.Event = Deferred ? "store_read_deferred" : "store_read_resumed",
             .At = Step::ConfigurationRead,
             .Peer = "store"});
  if (!Deferred) {
    LastResponseAt = now();
    return requestListing();
  }
  endListing();
}

void StoreReader::endListing() {
  ++ListingNumber;
  Listing.cancel();
  Timer.cancel();
  ListedItems.clear();
}

void StoreReader::applyRelay(const StoreRelay &Relay) {
  if (Relay.Upto > Mirror.Position)
    ++RelaysSinceResponse;
  const ChangedKeys Keys = applyRelayedItems(Mirror, Relay.Items, Relay.Upto,
                                             Relay.CopiedUpTo, now());
  if (!Initialized) {
    Log.write({.Event = "store_known_by_relay",
               .At = Step::ConfigurationRelay,
               .Number = Relay.Upto.Revision,
               .Fields = {{"era", std::to_string(Relay.Upto.Era)}}});
  }
  if (!std::exchange(Initialized, true)) {
    // The relay is complete, so that only what follows it is read.
    Deferred = false;
    endListing();
    LastResponseAt = now();
    scheduleCall(std::chrono::milliseconds::zero(),
                 &StoreReader::requestChanges);
  }
  notifyChanges(Keys);
}

void StoreReader::expireItems() {
  if (!Mirror.PendingRemovals.empty() && !ContactLost)
    notifyChanges(removeExpiredItems(Mirror, now()));
}

void StoreReader::notifyChanges(const ChangedKeys &Keys) {
  if (!Keys.empty())
    OnChange(Keys);
}

void StoreReader::scheduleCall(std::chrono::milliseconds Delay,
                               void (StoreReader::*Next)()) {
  Timer.expires_after(Delay);
  Timer.async_wait([this, Next](const boost::system::error_code &Failure) {
    // A timer that has expired already is not cancelled any more.
    if (!Failure && !Deferred)
      (this->*Next)();
  });
}

void StoreReader::requestListing() {
  if (ListedItems.empty())
    CallSentAt = now();
  Listing = Client.call(
      platform::makeListCall(
          Options.Address, Options.Prefix,
          ListedItems.empty() ? std::string() : ListedItems.back().Key, false),
      [this, Number = ++ListingNumber](const HttpResult &Result) {
        if (Number == ListingNumber)
          handleListing(Result);
      });
}

void StoreReader::handleListing(const HttpResult &Result) {
  const HttpResponse *Response = successfulResponse(Result);
  if (Response == nullptr) {
    ListedItems.clear();
    return handleFailure(Result);
  }
  auto Page = platform::readStoreResponse(*Response);
  if (!Page) {
    Log.write("store_answer_invalid", Page.error());
    ListedItems.clear();
    return scheduleCall(MaxBackoff, &StoreReader::requestListing);
  }
  const bool IsFirstPage = ListedItems.empty();
  if (Page->Position.Era < Mirror.Position.Era ||
      (!IsFirstPage && Page->Position.Era != ListedAt.Era)) {
    ListedItems.clear();
    return handleOtherEra(Page->Position);
  }
  logFaults(*Page);
  if (IsFirstPage)
    ListedAt = Page->Position;
  std::move(Page->Items.begin(), Page->Items.end(),
            std::back_inserter(ListedItems));
  if (Page->Truncated && !Page->Items.empty())
    return requestListing();
  const bool AfterOutage = Initialized && mayHaveExpired(now() - LastResponseAt,
                                                         RelaysSinceResponse);
  recordResponse();
  const bool Restored = Initialized && ListedAt.Era > Mirror.Position.Era;
  const ChangedKeys Keys =
      applyListing(Mirror, ListedItems, ListedAt, AfterOutage, now());
  Log.write(
      {.Event = "store_listed",
       .At = Step::ConfigurationRead,
       .Number = ListedAt.Revision,
       .Fields = {{"era", std::to_string(ListedAt.Era)},
                  {"restored", Restored ? "yes" : "no"},
                  {"items", std::to_string(ListedItems.size())},
                  {"changed", std::to_string(Keys.size())},
                  {"held", std::to_string(Mirror.PendingRemovals.size())}}});
  ListedItems.clear();
  Initialized = true;
  ListingDue = false;
  notifyChanges(Keys);
  ConfirmedAt = CallSentAt;
  scheduleCall(Options.WatchDelay, &StoreReader::requestChanges);
}

void StoreReader::requestChanges() {
  CallSentAt = now();
  const StorePosition After = watchPosition(Mirror);
  WatchedEra = After.Era;
  Client.call(platform::makeWatchCall(Options.Address, Options.Prefix,
                                      After.Revision, Options.WatchTimeout),
              [this](const HttpResult &Result) { handleChanges(Result); });
}

void StoreReader::handleChanges(const HttpResult &Result) {
  const HttpResponse *Response = successfulResponse(Result);
  if (Response == nullptr)
    return handleFailure(Result);
  auto Events = platform::readStoreResponse(*Response);
  if (!Events) {
    Log.write("store_answer_invalid", Events.error());
    return scheduleCall(MaxBackoff, &StoreReader::requestListing);
  }
  if (Events->Position.Era != WatchedEra)
    return handleOtherEra(Events->Position);
  logFaults(*Events);
  recordResponse();
  notifyChanges(applyEvents(Mirror, Events->Items, Events->Position));
  ConfirmedAt = confirmedByWatch(CallSentAt, LastResponseAt,
                                 Options.WatchTimeout, !Events->Items.empty());
  // The delay collects changes; a watch that waited in full needs none.
  const bool WaitedInFull = *ConfirmedAt > CallSentAt;
  scheduleCall(WaitedInFull ? std::chrono::milliseconds::zero()
                            : Options.WatchDelay,
               &StoreReader::requestChanges);
}

void StoreReader::handleOtherEra(StorePosition Position) {
  const StorePosition Known = watchPosition(Mirror);
  const bool IsNew = Position.Era > Known.Era;
  Log.write({.Level = LogLevel::Warning,
             .Event = IsNew ? "store_restored" : "store_answer_outdated",
             .At = Step::ConfigurationRead,
             .Peer = "store",
             .Number = Position.Revision,
             .Fields = {{"era", std::to_string(Position.Era)},
                        {"known_era", std::to_string(Known.Era)},
                        {"known_revision", std::to_string(Known.Revision)}}});
  scheduleCall(IsNew ? std::chrono::milliseconds::zero() : MinBackoff,
               &StoreReader::requestListing);
}

void StoreReader::logFaults(const StoreResponse &Response) {
  if (Response.Faults.empty())
    return;
  Log.write({.Level = LogLevel::Warning,
             .Event = "store_items_invalid",
             .At = Step::ConfigurationRead,
             .Number = Response.Position.Revision,
             .Fields = {{"items", std::to_string(Response.Faults.size())},
                        {"first", Response.Faults.front()}}});
}

void StoreReader::recordResponse() {
  if (ContactLost)
    Log.write({.Event = "store_regained",
               .At = Step::ConfigurationRead,
               .Peer = "store",
               .Number = Mirror.Position.Revision});
  ContactLost = false;
  ConsecutiveFailures = 0;
  Backoff = {};
  LastResponseAt = now();
  RelaysSinceResponse = 0;
}

void StoreReader::handleFailure(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  const bool HistoryUnavailable =
      Response != nullptr && platform::isHistoryLost(Response->Status);
  if (HistoryUnavailable) {
    Log.write({.Event = "store_history_lost",
               .At = Step::ConfigurationRead,
               .Number = Mirror.Position.Revision});
    return scheduleCall({}, &StoreReader::requestListing);
  }
  // The first failure may be that of a kept connection. The call after it opens
  // a new one. Calls over the rate limit say nothing about the store.
  const bool OverRateLimit =
      Response != nullptr && Response->Status == StatusTooManyRequests;
  if (!OverRateLimit && ++ConsecutiveFailures > 1)
    UnavailableAt = CallSentAt;
  const std::string Cause = Response != nullptr
                                ? "status " + std::to_string(Response->Status)
                                : std::get<HttpFailure>(Result).Cause.message();
  if (!ContactLost && now() - LastResponseAt > UnreachableTimeout) {
    ContactLost = true;
    Log.write({.Level = LogLevel::Warning,
               .Event = "store_lost",
               .At = Step::ConfigurationRead,
               .Peer = "store",
               .Number = Mirror.Position.Revision,
               .Fields = {{"cause", Cause}}});
  }
  Backoff = std::clamp(Backoff * 2, MinBackoff,
                       Initialized ? MaxBackoff : Options.MaxStartupBackoff);
  // After an outage, a listing shows which servers' items have expired.
  const bool Outage = now() - LastResponseAt > RelistTimeout;
  scheduleCall(Backoff, !Initialized || Outage ? &StoreReader::requestListing
                                               : &StoreReader::requestChanges);
}

} // namespace marigoldyard
