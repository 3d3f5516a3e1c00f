#include "programs/fleet/store_reader.hpp"

#include "marigoldyard/transport/clock.hpp"
#include "platform/store_format.hpp"

#include <algorithm>

namespace marigoldyard {

namespace {

constexpr unsigned StatusOk = 200;
constexpr std::chrono::milliseconds FirstBackoff{100};
/// A store that returns is noticed within this time.
constexpr std::chrono::milliseconds LongestBackoff{600};
/// Silence after which the store counts as out of reach: well above a slow
/// answer.
constexpr std::chrono::milliseconds CutOffAfter{700};
/// Silence after which a listing is read instead of a watch, since servers may
/// have lapsed.
constexpr std::chrono::milliseconds ListAfter{1000};

const HttpResponse *goodAnswer(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  return Response != nullptr && Response->Status == StatusOk ? Response
                                                             : nullptr;
}

} // namespace

StoreReader::StoreReader(StoreReaderOptions Settings,
                         boost::asio::io_context &Context, HttpClient &Sender,
                         Logger &Target, ChangeHandler Callback)
    : Options(std::move(Settings)), Timer(Context), Client(Sender), Log(Target),
      Changed(std::move(Callback)) {}

void StoreReader::start() {
  AnsweredAt = now();
  list();
}

bool StoreReader::cutOff(TimePoint Now) const {
  return Lost || Now - AnsweredAt > Options.Wait + Options.Pace + CutOffAfter;
}

void StoreReader::relayed(const std::vector<StoreItem> &Items,
                          StoreRevision Upto) {
  if (Upto > Mirror.Revision)
    ++RelaysSinceAnswer;
  const ChangedKeys Keys = applyEvents(Mirror, Items, Upto);
  if (!Known) {
    KnownSince = now();
    Log.write({.Event = "store_known_by_relay",
               .At = Step::ConfigurationRelay,
               .Number = Upto});
  }
  Known = true;
  tell(Keys);
}

void StoreReader::dropLapsedItems() {
  if (!Mirror.Lapsed.empty() && !Lost)
    tell(dropLapsed(Mirror, now()));
}

void StoreReader::tell(const ChangedKeys &Keys) {
  if (!Keys.empty())
    Changed(Keys);
}

void StoreReader::again(std::chrono::milliseconds Delay,
                        void (StoreReader::*Next)()) {
  Timer.expires_after(Delay);
  Timer.async_wait([this, Next](const boost::system::error_code &Failure) {
    if (!Failure)
      (this->*Next)();
  });
}

void StoreReader::list() {
  Client.call(platform::listCall(
                  Options.Address, Options.Prefix,
                  Pages.empty() ? std::string() : Pages.back().Key, false),
              [this](const HttpResult &Result) { listed(Result); });
}

void StoreReader::listed(const HttpResult &Result) {
  const HttpResponse *Response = goodAnswer(Result);
  if (Response == nullptr) {
    Pages.clear();
    return failed(Result);
  }
  auto Page = platform::parseStoreAnswer(Response->Body);
  if (!Page) {
    Log.write("store_answer_invalid", Page.error());
    Pages.clear();
    return again(LongestBackoff, &StoreReader::list);
  }
  if (Pages.empty())
    PagesRevision = Page->Revision;
  std::move(Page->Items.begin(), Page->Items.end(), std::back_inserter(Pages));
  if (Page->Truncated && !Page->Items.empty())
    return list();
  const bool AfterOutage =
      Known && mayHaveLapsed(now() - AnsweredAt, RelaysSinceAnswer);
  answered();
  const ChangedKeys Keys =
      applyListing(Mirror, Pages, PagesRevision, AfterOutage, now());
  Log.write({.Event = "store_listed",
             .At = Step::ConfigurationRead,
             .Number = PagesRevision,
             .Fields = {{"items", std::to_string(Pages.size())},
                        {"changed", std::to_string(Keys.size())},
                        {"held", std::to_string(Mirror.Lapsed.size())}}});
  Pages.clear();
  Known = true;
  Listing = false;
  tell(Keys);
  again(Options.Pace, &StoreReader::watch);
}

void StoreReader::watch() {
  Client.call(platform::watchCall(Options.Address, Options.Prefix,
                                  Mirror.Revision, Options.Wait),
              [this](const HttpResult &Result) { watched(Result); });
}

void StoreReader::watched(const HttpResult &Result) {
  const HttpResponse *Response = goodAnswer(Result);
  if (Response == nullptr)
    return failed(Result);
  auto Events = platform::parseStoreAnswer(Response->Body);
  if (!Events) {
    Log.write("store_answer_invalid", Events.error());
    return again(LongestBackoff, &StoreReader::list);
  }
  answered();
  tell(applyEvents(Mirror, Events->Items, Events->Revision));
  again(Options.Pace, &StoreReader::watch);
}

void StoreReader::answered() {
  if (Lost)
    Log.write({.Event = "store_regained",
               .At = Step::ConfigurationRead,
               .Peer = "store",
               .Number = Mirror.Revision});
  if (Lost)
    ContactSince = now();
  if (!Known)
    KnownSince = now();
  Lost = false;
  Backoff = {};
  AnsweredAt = now();
  RelaysSinceAnswer = 0;
}

void StoreReader::failed(const HttpResult &Result) {
  const auto *Response = std::get_if<HttpResponse>(&Result);
  const bool Gone =
      Response != nullptr && platform::historyLost(Response->Status);
  if (Gone) {
    Log.write({.Event = "store_history_lost",
               .At = Step::ConfigurationRead,
               .Number = Mirror.Revision});
    return again({}, &StoreReader::list);
  }
  const std::string Cause = Response != nullptr
                                ? "status " + std::to_string(Response->Status)
                                : std::get<HttpFailure>(Result).Cause.message();
  if (!Lost && now() - AnsweredAt > CutOffAfter) {
    Lost = true;
    Log.write({.Level = LogLevel::Warning,
               .Event = "store_lost",
               .At = Step::ConfigurationRead,
               .Peer = "store",
               .Number = Mirror.Revision,
               .Fields = {{"cause", Cause}}});
  }
  Backoff = std::clamp(Backoff * 2, FirstBackoff,
                       Known ? LongestBackoff : Options.FirstReadPause);
  // After an outage a listing shows which servers lapsed.
  const bool Outage = now() - AnsweredAt > ListAfter;
  again(Backoff, !Known || Outage ? &StoreReader::list : &StoreReader::watch);
}

} // namespace marigoldyard
