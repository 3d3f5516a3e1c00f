// Embeds the scheduler and the transfer planner of marigoldyard in a program of
// one's own. Decisions are functions over plain structs: the program passes the
// time and carries out what they return.
#include <marigoldyard/coordination/scheduler.hpp>
#include <marigoldyard/coordination/transfer.hpp>

#include <cstdio>
#include <string>
#include <vector>

using namespace marigoldyard;

namespace {

/// Queues batch work before urgent work and prints the order of starts.
bool scheduleWork(TimePoint Now) {
  SchedulerSettings Settings;
  Settings.Slots = 1;
  SchedulerState Scheduler = makeScheduler(Settings);
  const auto Add = [&](const char *Id, Rank Priority) {
    QueuedWork Work;
    Work.Id = Id;
    Work.Caller = "deposits/bar-riva";
    Work.Priority = Priority;
    Work.AnswerTokens = 16;
    Work.Deadline = Now + std::chrono::seconds(30);
    return enqueue(Scheduler, Work, Now).Accepted;
  };
  if (!Add("ledger", Rank::Batch) || !Add("balance", Rank::Urgent))
    return false;
  std::vector<std::string> Order;
  while (const auto Begin = scheduleNext(Scheduler, Now).Command) {
    std::printf("start %s (%s)\n", Begin->Id.c_str(),
                std::string(rankName(Begin->Priority)).c_str());
    Order.push_back(Begin->Id);
    Now += std::chrono::seconds(1);
    finish(Scheduler, Begin->Id, 16, Now);
  }
  return Order == std::vector<std::string>{"balance", "ledger"};
}

/// Transfers a version of two chunks from the store to one agent.
bool transferVersion(TimePoint Now) {
  const VersionDescriptor Version{
      "version", "cup-helper", "v1", {{"chunk-1", 100}, {"chunk-2", 100}}};
  TransferSettings Settings;
  Settings.Self = "engine-1";
  Settings.Region = Settings.StoreRegion = "split-1";
  TransferState Transfer = makeTransfer(Settings);
  Random Source(1);
  setTransferPeers(Transfer, {{"engine-1", "split-1"}}, Now);
  setWantedVersions(Transfer, {Version.Id}, Now);
  constexpr int MaxRounds = 1000;
  for (int Round = 0; Round < MaxRounds; ++Round) {
    if (versionComplete(Transfer, Version.Id))
      return true;
    for (const TransferAction &Action : planTransfer(Transfer, Now, Source)) {
      const auto *Fetch = std::get_if<FetchFromStore>(&Action);
      if (!Fetch)
        continue;
      std::printf("fetch %s\n", Fetch->Chunk.c_str());
      chunkReceived(Transfer, Fetch->Chunk, "", true, Now);
      if (Fetch->IsDescriptor && descriptorReceived(Transfer, Version, Now))
        return false;
    }
    Now += std::chrono::milliseconds(10);
  }
  return false;
}

} // namespace

int main() {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  const bool Passed = scheduleWork(Start) && transferVersion(Start);
  std::printf("%s\n", Passed ? "done" : "unexpected result");
  return Passed ? 0 : 1;
}
