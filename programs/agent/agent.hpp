#pragma once

#include "marigoldyard/coordination/drain.hpp"
#include "marigoldyard/coordination/loading.hpp"
#include "marigoldyard/coordination/operation_table.hpp"
#include "marigoldyard/coordination/rollout.hpp"
#include "marigoldyard/coordination/scheduler.hpp"
#include "marigoldyard/coordination/stream.hpp"
#include "marigoldyard/coordination/subset.hpp"
#include "marigoldyard/coordination/transfer.hpp"
#include "marigoldyard/coordination/weight_history.hpp"
#include "marigoldyard/protocol/settings.hpp"
#include "marigoldyard/transport/http_client.hpp"
#include "programs/node/node.hpp"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief A completion that waits or runs at an agent.
struct AgentWork {
  std::string Entry;
  Work Content;
  StreamState Stream;
  HttpCallHandle Call;
  bool Running = false;
  bool Paused = false;
  std::uint64_t Produced = 0;
  TimePoint HeardAt{}; ///< start, resumption or last line of the engine
};

/// @brief A run of an operation that waits or runs at an agent.
struct AgentRun {
  std::string Operation;
  std::string Service;
  std::string Body;
  TimePoint Deadline;
};

/// @brief Bytes of a chunk; shared with calls in progress.
using ChunkBytes = std::shared_ptr<const std::vector<std::uint8_t>>;

/// @brief The duties of marigold-agent: the only path to its endpoint.
class Agent {
public:
  /// @param Settings checked settings
  explicit Agent(AgentSettings Settings);
  ~Agent();
  Agent(const Agent &) = delete;
  Agent &operator=(const Agent &) = delete;

  /// @brief Opens the sockets and starts the duties.
  /// @return an error when a socket cannot be opened
  std::optional<Error> start();
  /// @brief Runs until the process may exit.
  /// @return exit status
  int run();
  /// @brief The common duties.
  Node &node() { return Base; }

private:
  // agent.cpp: reports, members, leaving
  void receive(const Message &Incoming);
  void receiveChunkMessage(const std::string &Peer, const Body &Content);
  void peerLost(const std::string &Peer);
  void membersChanged();
  void configurationChanged();
  void reportToEntries();
  void reportToPool();
  LoadReport currentReport() const;
  void refreshLinks();
  void beginLeaving(bool Exit);
  void drainTurn();
  bool leaving() const { return Departure.Stage != DrainStage::Serving; }
  void status(nlohmann::json &Page) const;

  // agent_work.cpp: completions
  void workArrived(const Message &Incoming, const Work &Content);
  std::optional<ErrorCode> objection(const Message &Incoming,
                                     const Work &Content) const;
  void refuse(const std::string &Key, ErrorCode Reason, Duration RetryAfter);
  void refuseAll(const std::vector<Refusal> &Refused);
  void pump();
  void begin(const StartCommand &Chosen);
  void startWork(const std::string &Key);
  void pauseWork(const std::string &Key, std::function<void()> Done);
  void resumeWork(const std::string &Key);
  void failSilentWork();
  void engineLine(const std::string &Key, const std::string &Line);
  void engineEnded(const std::string &Key, const HttpResult &Result);
  void failWork(const std::string &Key, ErrorCode Reason, Step At);
  void endWork(const std::string &Key);
  void dropWork(const std::string &Key);
  void removeWork(const std::string &Key);
  void cancelWork(const std::string &Key);
  double weightOf(const std::string &Product, const std::string &Caller) const;

  // agent_operations.cpp: calls of plain services
  void operationOpen(const Message &Incoming, const OperationOpen &Content);
  void operationRun(const Message &Incoming, const OperationRun &Content);
  void startRun(const std::string &Key);
  void runEnded(const std::string &Key, const HttpResult &Result);
  void finishRun(const std::string &Operation, const OperationAnswer &Answer);
  void answerRun(const OperationWaiter &Waiter, const std::string &Operation,
                 const OperationAnswer &Answer);

  // agent_transfer.cpp: chunks
  void wakeTransfers();
  void planTransfers();
  void perform(const TransferAction &Action);
  void fetch(const FetchFromStore &Action);
  void fetched(const FetchFromStore &Action, const HttpResult &Result,
               bool Verified);
  void chunkMapArrived(const std::string &Peer, const ChunkMap &Map);
  void chunkArrived(const std::string &Peer, ChunkData &&Chunk, bool Verified);
  void keepChunk(const Digest &Id, const ChunkBytes &Bytes);
  void describeVersion(const Digest &Id, const std::vector<std::uint8_t> &Text);
  void checkComplete();

  // agent_loading.cpp: orders to the engine
  void planOrders();
  void stageNext(const Digest &Version);
  void staged(const Digest &Version, bool Success);
  void sendOrder(const Order &Content);
  void readBack();
  std::map<Digest, bool> turns();
  std::map<Digest, std::uint32_t> inProgress() const;
  std::vector<RolloutMember> poolMembers() const;

  HttpCallRequest endpointRequest(std::string Method, std::string Target,
                                  std::string Content, Step At) const;
  void callEndpoint(HttpCallRequest Request,
                    std::function<void(const HttpResult &)> Ended);

  struct Staging {
    std::vector<Digest> Chunks;
    std::size_t Next = 0;
    bool Busy = false;
  };
  struct PoolReport {
    TimePoint At;
    std::vector<Digest> ReadyWeights;
  };

  AgentSettings Settings;
  Node Base;
  SchedulerState Scheduler;
  std::map<std::string, AgentWork> Works; ///< by request and attempt
  std::map<std::string, AgentRun> Runs;   ///< by key of the scheduler
  OperationTable Operations;
  DrainState Departure;
  bool ExitWhenDrained = false;

  TransferState Transfer;
  LoadingState Loading;
  std::map<std::string, RolloutState> Rollouts; ///< by product
  WeightHistory History;
  std::map<std::string, PoolReport> PoolReports;
  std::map<Digest, ChunkBytes> Chunks;
  std::map<Digest, Staging> Stagings; ///< by version
  std::vector<Digest> ReadyWeights;
  TimePoint PoolReportedAt{};
  std::vector<std::string> PresentEntries;
  std::vector<SubsetEndpoint> PresentEndpoints; ///< of the own pool
  std::vector<std::string> LinkedEntries;       ///< that get reports
  bool TransferDue = false; ///< planTransfers runs in the next turn
  TimePoint TransferAt{};

  boost::asio::io_context EndpointContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      EndpointWork;
  HttpClient Endpoint;
  boost::asio::io_context StoreContext;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      StoreWork;
  HttpClient Store;
  std::thread EndpointThread;
  std::thread StoreThread;
};

} // namespace marigoldyard
