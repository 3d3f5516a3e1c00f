#include "programs/gateway/server_connections.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace marigoldyard {

namespace {

/// Subtracted from the server's idle timeout: it is sent in whole seconds, so
/// its last second may already be over.
constexpr Duration IdleTimeoutMargin = std::chrono::seconds(1);

Duration usableIdleTime(const ServerConnection &Connection) {
  return std::max<Duration>(Connection.IdleTimeout - IdleTimeoutMargin,
                            Connection.IdleTimeout / 2);
}

/// Whether nothing is readable: a close by the server or unexpected bytes make
/// a connection unusable.
bool isOpenAndIdle(ServerConnection &Connection) {
  char Byte = 0;
  const auto Count = ::recv(Connection.Socket.native_handle(), &Byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::shared_ptr<ServerConnection>
ServerConnections::take(const std::string &Address, TimePoint Now,
                        Duration MaxIdleAge) {
  const auto Found = IdleByAddress.find(Address);
  if (Found == IdleByAddress.end())
    return nullptr;
  auto &ServerIdle = Found->second;
  while (!ServerIdle.empty()) {
    auto Connection = std::move(ServerIdle.back());
    ServerIdle.pop_back();
    const Duration Age = Now - Connection->IdleSince;
    if (Age < std::min(MaxIdleAge, usableIdleTime(*Connection)) &&
        isOpenAndIdle(*Connection)) {
      Connection->Reused = true;
      return Connection;
    }
  }
  return nullptr;
}

void ServerConnections::putBack(const std::string &Address,
                                std::shared_ptr<ServerConnection> Connection,
                                TimePoint Now) {
  auto &ServerIdle = IdleByAddress[Address];
  Connection->IdleSince = Now;
  ServerIdle.push_back(std::move(Connection));
  if (ServerIdle.size() > MaxIdlePerServer)
    ServerIdle.pop_front();
}

void ServerConnections::closeExpired(TimePoint Now) {
  for (auto Entry = IdleByAddress.begin(); Entry != IdleByAddress.end();) {
    auto &ServerIdle = Entry->second;
    while (!ServerIdle.empty() && Now - ServerIdle.front()->IdleSince >=
                                      usableIdleTime(*ServerIdle.front()))
      ServerIdle.pop_front();
    Entry = ServerIdle.empty() ? IdleByAddress.erase(Entry) : std::next(Entry);
  }
}

} // namespace marigoldyard
