/// Load on a fleet of which a third of the endpoints fails, with the retry
/// budget and with naive retry. Virtual time, fixed seed, no arguments.

#include "marigoldyard/coordination/request.hpp"

#include <algorithm>
#include <cstdio>
#include <map>
#include <queue>
#include <string>
#include <vector>

using namespace marigoldyard;

namespace {

constexpr std::uint64_t Seed = 20240817;
constexpr std::size_t EntryCount = 4;
constexpr std::size_t EndpointCount = 15;
constexpr std::size_t FailingCount = EndpointCount / 3;
constexpr Duration OneWay = std::chrono::milliseconds(1);
constexpr Duration RequestTime = std::chrono::seconds(5); ///< until deadline
constexpr Duration QueueBound = std::chrono::seconds(2);  ///< of an endpoint
constexpr Duration Detection = std::chrono::seconds(1);
constexpr TimePoint FailureStart{std::chrono::seconds(10)};
constexpr TimePoint End{std::chrono::seconds(40)};

/// Stated target: load on the fleet when a third of the endpoints fails.
constexpr double LoadFactorBound = 1.2;
constexpr double DefaultShare = 0.1; ///< of Product::RetryBudget

/// How the failing third behaves. It leaves the routing view only when
/// detected; otherwise its endpoints keep reporting themselves ready.
enum class Failure { FailsAtOnce, Silent, Refuses, Detected };

struct Scenario {
  const char *Name;
  Failure Kind;
  double RequestsPerSecond; ///< over all entries
  double Load;              ///< offered load relative to the capacity
  double Share;             ///< retry budget; negative means naive retry
};

enum class EventKind { Arrive, Reach, Settle, Lost, Timer };

struct Event {
  TimePoint At;
  std::uint64_t Order = 0;
  EventKind Kind = EventKind::Arrive;
  std::size_t Request = 0;
  std::uint32_t Attempt = 0;
  std::size_t Endpoint = 0;
  bool operator<(const Event &Other) const {
    return std::tie(Other.At, Other.Order) < std::tie(At, Order);
  }
};

struct Counts {
  std::uint64_t First = 0;
  std::uint64_t Sent = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Complete = 0;
  std::uint64_t FirstBySecond[40] = {};
  std::uint64_t SentBySecond[40] = {};
};

class Simulation {
public:
  explicit Simulation(const Scenario &Wanted) : Setting(Wanted), Source(Seed) {
    for (RetryBudget &Budget : Budgets)
      Budget.RetryRatio = std::max(Setting.Share, 0.0);
    for (std::size_t I = 0; I < EndpointCount; ++I)
      Names.push_back("agent-" + std::to_string(I));
  }

  Counts run() {
    push(TimePoint{}, {.Kind = EventKind::Arrive});
    while (!Events.empty()) {
      Event Next = Events.top();
      Events.pop();
      handle(Next);
    }
    return Total;
  }

private:
  void push(TimePoint At, Event Next) {
    Next.At = At;
    Next.Order = ++Order;
    Events.push(Next);
  }

  bool fails(std::size_t Endpoint, TimePoint Now) const {
    return Endpoint < FailingCount && Now >= FailureStart;
  }

  Duration exponential(double PerSecond) {
    std::exponential_distribution<double> Gap(PerSecond);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Gap(Source)));
  }

  void handle(const Event &Next) {
    switch (Next.Kind) {
    case EventKind::Arrive:
      arrive(Next.At);
      return;
    case EventKind::Reach:
      reach(Next);
      return;
    case EventKind::Settle:
      feed(Next, request_event::EndArrived{Names[Next.Endpoint],
                                           {"request", Next.Attempt, "w"}});
      return;
    case EventKind::Lost:
      feed(Next, request_event::PeerLost{Names[Next.Endpoint]});
      return;
    case EventKind::Timer:
      feed(Next, request_event::TimerFired{});
      return;
    }
  }

  void arrive(TimePoint Now) {
    if (Now >= End)
      return;
    push(Now + exponential(Setting.RequestsPerSecond), {});
    std::size_t Index = NextRequest++;
    RequestState State;
    State.Id = "request";
    State.Deadline = Now + RequestTime;
    Requests.emplace(Index, std::move(State));
    if (Now < FailureStart)
      FirstCounted = NextRequest;
    else
      ++Total.First;
    ++Total.FirstBySecond[second(Now)];
    feed({.At = Now, .Request = Index}, request_event::RequestAdmitted{});
    push(Now + RequestTime, {.Kind = EventKind::Timer, .Request = Index});
  }

  static std::size_t second(TimePoint Now) {
    auto Seconds = std::chrono::floor<std::chrono::seconds>(Now);
    return std::min<std::size_t>(Seconds.time_since_epoch().count(), 39);
  }

  /// Work reaches an endpoint, which fails, refuses or queues it.
  void reach(const Event &Next) {
    bool Failing = fails(Next.Endpoint, Next.At);
    const std::string &Name = Names[Next.Endpoint];
    TimePoint Start = std::max(FreeAt[Next.Endpoint], Next.At);
    if (Failing && (Setting.Kind == Failure::FailsAtOnce ||
                    Setting.Kind == Failure::Detected)) {
      feed(Next, request_event::Failed{Name, Next.Attempt});
    } else if (Failing && Setting.Kind == Failure::Silent) {
      push(Next.At + Detection, {.Kind = EventKind::Lost,
                                 .Request = Next.Request,
                                 .Attempt = Next.Attempt,
                                 .Endpoint = Next.Endpoint});
    } else if (Failing || Start - Next.At > QueueBound) {
      Total.Refused += Next.At >= FailureStart ? 1 : 0;
      feed(Next, request_event::Refused{Name, Next.Attempt,
                                        Failing ? ErrorCode::NotReady
                                                : ErrorCode::QueueFull,
                                        std::chrono::milliseconds(0)});
    } else {
      double Rate = Setting.RequestsPerSecond / Setting.Load / EndpointCount;
      FreeAt[Next.Endpoint] = Start + exponential(Rate);
      push(FreeAt[Next.Endpoint] + OneWay, {.Kind = EventKind::Settle,
                                            .Request = Next.Request,
                                            .Attempt = Next.Attempt,
                                            .Endpoint = Next.Endpoint});
    }
  }

  void feed(const Event &At, const RequestEvent &Input) {
    auto Found = Requests.find(At.Request);
    if (Found == Requests.end())
      return;
    RetryBudget &Budget = Budgets[At.Request % EntryCount];
    if (Setting.Share < 0.0)
      Budget.Tokens = 1e9;
    for (RequestAction &Action : step(Found->second, Input, Budget, At.At))
      perform(At, Action);
    Found = Requests.find(At.Request);
    if (Found == Requests.end())
      return;
    if (Found->second.Phase == RequestPhase::Done)
      Requests.erase(Found);
    else if (Found->second.Phase == RequestPhase::Closing)
      push(Found->second.ClosingDeadline,
           {.Kind = EventKind::Timer, .Request = At.Request});
  }

  void perform(const Event &At, const RequestAction &Action) {
    if (const auto *Choice =
            std::get_if<request_action::ChooseEndpoint>(&Action)) {
      feed(At, choose(*Choice, At.At));
    } else if (const auto *Send =
                   std::get_if<request_action::SendWork>(&Action)) {
      if (At.At >= FailureStart && At.At < End)
        ++Total.Sent;
      ++Total.SentBySecond[second(At.At)];
      std::size_t Endpoint = std::stoul(Send->Peer.substr(6));
      feed(At, request_event::WorkSent{Send->Attempt});
      push(At.At + OneWay, {.Kind = EventKind::Reach,
                            .Request = At.Request,
                            .Attempt = Send->Attempt,
                            .Endpoint = Endpoint});
    } else if (std::holds_alternative<request_action::FinishAnswer>(Action)) {
      Total.Complete += At.Request >= FirstCounted ? 1 : 0;
    }
  }

  RequestEvent choose(const request_action::ChooseEndpoint &Choice,
                      TimePoint Now) {
    std::vector<std::string> Left;
    bool Known =
        Setting.Kind == Failure::Detected && Now >= FailureStart + Detection;
    for (std::size_t I = Known ? FailingCount : 0; I < EndpointCount; ++I)
      if (std::find(Choice.Avoid.begin(), Choice.Avoid.end(), Names[I]) ==
          Choice.Avoid.end())
        Left.push_back(Names[I]);
    return request_event::EndpointChosen{Left[Source() % Left.size()], "w"};
  }

  Scenario Setting;
  Random Source;
  std::vector<std::string> Names;
  RetryBudget Budgets[EntryCount];
  TimePoint FreeAt[EndpointCount] = {};
  std::priority_queue<Event> Events;
  std::map<std::size_t, RequestState> Requests;
  std::size_t NextRequest = 0;
  std::size_t FirstCounted = 0; ///< first request after the failure began
  std::uint64_t Order = 0;
  Counts Total;
};

double ratio(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0 ? 0.0
                    : static_cast<double>(Part) / static_cast<double>(Whole);
}

/// Prints one line.
/// @return the larger of the load factors of the whole and of the worst 5 s
double report(const Scenario &Setting) {
  Counts Total = Simulation(Setting).run();
  double Worst = 0.0;
  for (std::size_t I = 10; I < 40; I += 5) {
    std::uint64_t First = 0;
    std::uint64_t Sent = 0;
    for (std::size_t J = I; J < I + 5; ++J) {
      First += Total.FirstBySecond[J];
      Sent += Total.SentBySecond[J];
    }
    Worst = std::max(Worst, ratio(Sent, First));
  }
  std::printf(
      "%-13s %6.0f/s load %.1f %-12s factor %.3f worst 5 s %.3f "
      "run %.3f complete %.3f\n",
      Setting.Name, Setting.RequestsPerSecond, Setting.Load,
      Setting.Share < 0.0
          ? "naive"
          : ("budget " + std::to_string(Setting.Share).substr(0, 4)).c_str(),
      ratio(Total.Sent, Total.First), Worst,
      ratio(Total.Sent - Total.Refused, Total.First),
      ratio(Total.Complete, Total.First));
  return std::max(Worst, ratio(Total.Sent, Total.First));
}

} // namespace

int main() {
  const std::pair<const char *, Failure> Kinds[] = {
      {"fails at once", Failure::FailsAtOnce},
      {"silent", Failure::Silent},
      {"refuses", Failure::Refuses},
      {"detected", Failure::Detected}};
  double Highest = 0.0;
  for (const auto &[Name, Kind] : Kinds)
    for (double Rate : {40.0, 1000.0})
      for (double Load : {0.4, 0.7, 0.9})
        for (double Share : {-1.0, 0.1, 0.2}) {
          double Factor = report({Name, Kind, Rate, Load, Share});
          if (Share == DefaultShare)
            Highest = std::max(Highest, Factor);
        }
  std::printf("highest load factor with budget %.2f: %.3f, bound %.1f\n",
              DefaultShare, Highest, LoadFactorBound);
  return Highest <= LoadFactorBound ? 0 : 1;
}
