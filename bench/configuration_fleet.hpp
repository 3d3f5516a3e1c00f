#pragma once

// Fakes of the configuration service and of the links between processes, in
// virtual time, for the benchmark and the fault tests of configuration.

#include "marigoldyard/coordination/configuration.hpp"
#include "marigoldyard/coordination/watch_plan.hpp"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <utility>
#include <vector>

namespace marigoldyard::fleet {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Estimates of message sizes: names, numbers and HMAC of the envelope, one key
// with its digest, and the value of a product.
inline constexpr std::size_t EnvelopeBytes = 160;
inline constexpr std::size_t IndexEntryBytes = 85;
inline constexpr std::size_t ValueBytes = 1024;

/// @brief One run of a fleet.
struct Options {
  std::size_t Processes = 4;
  std::size_t Regions = 3;
  std::size_t Products = 2;
  double Loss = 0; ///< share of messages that are lost
  std::uint64_t Seed = 1;
  WatchSettings Watch;
  bool OneRegionPlan = false; ///< the plan takes the fleet for one region
  Duration WithinRegion = milliseconds(1);
  Duration BetweenRegions = milliseconds(2);
  Duration ServiceTime = milliseconds(5);
  Duration ReadTimeout = seconds(1);
};

/// @brief Index of a revision in which one product changes at each step.
inline ConfigurationIndex makeIndex(Revision Number, std::size_t Products) {
  ConfigurationIndex Index{Number, {}};
  for (std::size_t P = 0; P < Products; ++P) {
    const Revision Changed = Number - (Number + P) % Products;
    Index.Values["products/p" + std::to_string(P)] =
        "p" + std::to_string(P) + "@" + std::to_string(Changed);
  }
  return Index;
}

/// @brief Value with a given digest, as the protocol layer would hand it over.
inline ParsedValue makeValue(const std::string &Key, const Digest &Id) {
  Product Content;
  Content.Name = Key.substr(ProductKeyPrefix.size());
  Content.Pool = "pool";
  Content.Version = Id;
  return {Key, Id, Id, Content};
}

/// @brief One process of the fleet.
struct Process {
  std::string Name;
  std::string Region;
  ConfigurationState State;
  WatchState Watch;
  std::uint64_t Wake = 0; ///< number of the valid wake-up
  std::uint64_t WatchId = 0;
  bool Dead = false;
  std::uint64_t BytesSent = 0;
  std::uint64_t BytesReceived = 0;
  std::map<Revision, TimePoint> InForceSince;
};

/// @brief A fleet with one configuration service.
class Fleet {
public:
  explicit Fleet(Options Chosen) : Settings(Chosen), Randomness(Chosen.Seed) {
    for (std::size_t I = 0; I < Settings.Processes; ++I) {
      Process Each;
      Each.Name = "vm-" + std::to_string(I);
      Each.Region = "region-" + std::to_string(I % Settings.Regions);
      ByName[Each.Name] = I;
      Members.push_back({Each.Name, "", MemberKind::Endpoint, planRegion(Each),
                         "", "pool", false});
      Processes.push_back(std::move(Each));
    }
    for (std::size_t I = 0; I < Processes.size(); ++I) {
      Process &Each = Processes[I];
      Each.State = makeConfigurationState(Now);
      Each.Watch = makeWatch(Each.Name, planRegion(Each), Now, Randomness,
                             Settings.Watch);
      updateWatchMembers(Each.Watch, Members, Now);
      wake(I, Now);
    }
  }

  std::vector<Process> Processes;
  TimePoint Now{};
  ConfigurationIndex Published;
  bool ServiceUp = true;
  Duration ServiceDelay{}; ///< added to each answer of the service
  /// Whether a process reaches the service, and two processes each other.
  std::function<bool(std::size_t)> ReachesService = [](std::size_t) {
    return true;
  };
  std::function<bool(std::size_t, std::size_t)> Reach =
      [](std::size_t, std::size_t) { return true; };
  /// Index that a process reads; a stale service returns an older one.
  std::function<ConfigurationIndex(std::size_t)> Served = [this](std::size_t) {
    return Published;
  };
  /// Value that the service holds under a key with the wanted digest.
  std::function<ParsedValue(const std::string &, const Digest &)> ServedValue =
      makeValue;
  std::map<std::int64_t, std::int64_t> CallsBySecond; ///< started or waiting

  /// @brief Publishes a revision; waiting watches are answered.
  void publish(Revision Number) {
    Published = makeIndex(Number, Settings.Products);
    answerWaiting(true);
  }

  /// @brief Stops or restarts the service; waiting watches fail.
  void setServiceUp(bool Up) {
    ServiceUp = Up;
    if (!Up)
      answerWaiting(false);
  }

  /// @brief Restarts a process: it keeps nothing.
  void restart(std::size_t I) {
    Process &Each = Processes[I];
    ++Each.WatchId;
    std::erase_if(Watches, [&](const Waiting &W) { return W.Process == I; });
    LastRead.erase(I);
    Each.InForceSince.clear();
    Each.State = makeConfigurationState(Now);
    Each.Watch =
        makeWatch(Each.Name, planRegion(Each), Now, Randomness, Settings.Watch);
    updateWatchMembers(Each.Watch, Members, Now);
    wake(I, Now);
  }

  /// @brief Runs an action at a time.
  void at(TimePoint When, std::function<void()> Action) {
    Events.push({When, NextEvent++, std::move(Action)});
  }

  /// @brief Runs all events up to a time.
  void runUntil(TimePoint End) {
    while (!Events.empty() && Events.top().When <= End) {
      Event Next = Events.top();
      Events.pop();
      Now = std::max(Now, Next.When);
      Next.Action();
    }
    Now = End;
  }

  /// @brief Longest time from a moment until the chosen processes had a
  /// revision or a higher one, or nothing when one has not.
  std::optional<Duration>
  timeToAll(Revision Number, TimePoint From,
            const std::function<bool(std::size_t)> &Chosen = {}) const {
    Duration Longest{};
    for (std::size_t I = 0; I < Processes.size(); ++I) {
      if (Processes[I].Dead || (Chosen && !Chosen(I)))
        continue;
      const auto It = Processes[I].InForceSince.lower_bound(Number);
      if (It == Processes[I].InForceSince.end())
        return std::nullopt;
      Longest = std::max(Longest, It->second - From);
    }
    return Longest;
  }

  /// @brief Most calls in one second of a span; a waiting watch counts in every
  /// second it waits.
  std::int64_t peakCalls(TimePoint From, TimePoint To) const {
    std::int64_t Peak = 0;
    for (auto It = CallsBySecond.lower_bound(second(From));
         It != CallsBySecond.end() && It->first < second(To); ++It)
      Peak = std::max(Peak, It->second);
    return Peak;
  }

private:
  struct Event {
    TimePoint When;
    std::uint64_t Order;
    std::function<void()> Action;
    bool operator<(const Event &Other) const {
      return std::pair(When, Order) > std::pair(Other.When, Other.Order);
    }
  };
  struct Waiting {
    std::size_t Process;
    std::uint64_t Id;
    TimePoint Since;
  };

  static std::int64_t second(TimePoint When) {
    return std::chrono::duration_cast<seconds>(When.time_since_epoch()).count();
  }

  std::string planRegion(const Process &Each) const {
    return Settings.OneRegionPlan ? "fleet" : Each.Region;
  }

  void wake(std::size_t I, TimePoint When) {
    const std::uint64_t Id = ++Processes[I].Wake;
    at(When, [this, I, Id] {
      if (Processes[I].Wake == Id && !Processes[I].Dead)
        step(I);
    });
  }

  void step(std::size_t I) {
    const WatchStep Step = nextWatchStep(Processes[I].Watch, Now, Randomness);
    for (const WatchAction &Each : Step.Actions)
      perform(I, Each);
    wake(I, std::max(Step.NextCall, Now + Duration(1)));
  }

  void perform(std::size_t I, const WatchAction &Action) {
    const Process &Self = Processes[I];
    switch (Action.Kind) {
    case WatchActionKind::WatchIndex:
    case WatchActionKind::ReadIndex:
      return readIndex(I, Action.Wait);
    case WatchActionKind::ReadValues:
      return readValues(I, Action.Keys);
    case WatchActionKind::Offer:
    case WatchActionKind::Confirm: {
      if (!Self.State.ActiveConfiguration)
        return;
      ConfigurationIndex Index = Self.State.ActiveConfiguration->Index;
      if (Action.Kind == WatchActionKind::Confirm)
        Index.Values.clear();
      for (const std::string &Peer : Action.Peers)
        send(I, Peer, Index.Values.size() * IndexEntryBytes,
             [this, I, Index, Age = Action.Age](std::size_t To) {
               recordOffer(Processes[To].Watch, Age, Now);
               accept(
                   To,
                   receiveIndex(Processes[To].State, Index, Processes[I].Name),
                   Processes[I].Name);
             });
      return;
    }
    case WatchActionKind::RequestValues:
      for (const std::string &Peer : Action.Peers)
        send(I, Peer, Action.Keys.size() * IndexEntryBytes,
             [this, I, Keys = Action.Keys](std::size_t To) {
               sendValues(To, I, Keys);
             });
      return;
    case WatchActionKind::QueryNewer:
      for (const std::string &Peer : Action.Peers)
        send(I, Peer, 0, [](std::size_t) {});
      return;
    }
  }

  void sendValues(std::size_t From, std::size_t To,
                  const std::vector<std::string> &Keys) {
    const auto Texts = valuesForPeer(Processes[From].State, 0, Keys);
    if (!Texts)
      return;
    send(From, Processes[To].Name, Texts->size() * ValueBytes,
         [this, From, Texts = *Texts](std::size_t Receiver) {
           std::vector<ParsedValue> Values;
           Values.reserve(Texts.size());
           for (const auto &[Key, Text] : Texts)
             Values.push_back(makeValue(Key, Text));
           accept(Receiver,
                  receiveValues(Processes[Receiver].State, std::move(Values),
                                Processes[From].Name),
                  Processes[From].Name);
         });
  }

  void send(std::size_t From, const std::string &Peer, std::size_t Bytes,
            std::function<void(std::size_t)> Deliver) {
    const std::size_t To = ByName.at(Peer);
    Processes[From].BytesSent += EnvelopeBytes + Bytes;
    const bool Lost = std::uniform_real_distribution<double>(0, 1)(Randomness) <
                      Settings.Loss;
    if (Lost || !Reach(From, To) || Processes[To].Dead)
      return;
    const Revision Number = advertisedRevision(Processes[From].State, Now);
    at(Now + (Processes[From].Region == Processes[To].Region
                  ? Settings.WithinRegion
                  : Settings.BetweenRegions),
       [this, From, To, Bytes, Number, Deliver = std::move(Deliver)] {
         if (Processes[To].Dead)
           return;
         Processes[To].BytesReceived += EnvelopeBytes + Bytes;
         recordPeerRevision(Processes[To].State, Processes[From].Name, Number);
         Deliver(To);
         if (const auto Action = comparePeerRevision(
                 Processes[To].Watch, Processes[From].Name, Number,
                 activeRevision(Processes[To].State), Now))
           perform(To, *Action);
         step(To);
       });
  }

  void accept(std::size_t I, const AcceptanceResult &Result,
              std::string_view Source) {
    Process &Self = Processes[I];
    if (Result.Action == AcceptanceAction::Accepted) {
      Self.InForceSince[activeRevision(Self.State)] = Now;
      recordAcceptedConfiguration(Self.Watch, Result.Number);
    } else if (Result.Action == AcceptanceAction::NeedValues) {
      updateMissingValues(Self.Watch, Source, Result.Needed, Now);
    } else if (Result.Action == AcceptanceAction::Refused) {
      recordRefusedConfiguration(Self.Watch, Result.Number,
                                 Self.State.Pending.has_value());
    }
  }

  Duration serviceTime() const { return Settings.ServiceTime + ServiceDelay; }

  bool serviceAnswers(std::size_t I) const {
    return ServiceUp && ReachesService(I);
  }

  void readIndex(std::size_t I, Duration Wait) {
    ++CallsBySecond[second(Now)];
    const std::uint64_t Id = ++Processes[I].WatchId;
    if (!serviceAnswers(I))
      return finishRead(
          I, Id, false,
          Now + (ServiceUp ? Settings.ReadTimeout : serviceTime()), Now);
    const bool Known =
        Published.ConfigRevision == 0 || Served(I) == LastRead[I];
    if (Wait == Duration(0) || !Known)
      return finishRead(I, Id, true, Now + serviceTime(), Now);
    Watches.push_back({I, Id, Now});
    finishRead(I, Id, true, Now + Wait, Now);
  }

  void finishRead(std::size_t I, std::uint64_t Id, bool Success, TimePoint When,
                  TimePoint Since) {
    at(When, [this, I, Id, Success, Since] {
      Process &Self = Processes[I];
      if (Self.WatchId != Id || Self.Dead)
        return;
      ++Self.WatchId;
      std::erase_if(Watches, [&](const Waiting &W) {
        return W.Id == Id && W.Process == I;
      });
      for (std::int64_t S = second(Since) + 1; S <= second(Now); ++S)
        ++CallsBySecond[S];
      const bool Answered = Success && serviceAnswers(I);
      recordIndexRead(Self.Watch, Answered, Now, Randomness);
      if (Answered && Published.ConfigRevision != 0) {
        LastRead[I] = Served(I);
        accept(I, receiveIndex(Self.State, LastRead[I], ServiceSource),
               ServiceSource);
      } else if (Answered) {
        Self.State.ServiceContacted = true;
      }
      step(I);
    });
  }

  void answerWaiting(bool Success) {
    for (const Waiting &Each : std::exchange(Watches, {}))
      if (Success ? serviceAnswers(Each.Process) : true)
        finishRead(Each.Process, Each.Id, Success, Now + serviceTime(),
                   Each.Since);
  }

  void readValues(std::size_t I, const std::vector<std::string> &Keys) {
    CallsBySecond[second(Now)] += std::int64_t(Keys.size());
    if (!serviceAnswers(I))
      return;
    at(Now + serviceTime(), [this, I, Keys] {
      if (!serviceAnswers(I) || Processes[I].Dead)
        return;
      std::vector<ParsedValue> Values;
      const ConfigurationIndex Index = Served(I);
      for (const std::string &Key : Keys)
        if (const auto It = Index.Values.find(Key); It != Index.Values.end())
          Values.push_back(ServedValue(Key, It->second));
      accept(
          I,
          receiveValues(Processes[I].State, std::move(Values), ServiceSource),
          ServiceSource);
      step(I);
    });
  }

  Options Settings;
  Random Randomness;
  std::map<std::string, std::size_t> ByName;
  std::vector<Member> Members;
  std::priority_queue<Event> Events;
  std::uint64_t NextEvent = 0;
  std::vector<Waiting> Watches;
  std::map<std::size_t, ConfigurationIndex> LastRead;
};

} // namespace marigoldyard::fleet
