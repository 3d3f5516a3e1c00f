#include "programs/gateway/server_connections.hpp"

#include <algorithm>
#include <cerrno>
#include <sys/socket.h>

namespace marigoldyard {

namespace {

/// Servers tell whole seconds, so the last second may already be over.
constexpr Duration KeepMargin = std::chrono::seconds(1);

Duration usableFor(const ServerConnection &Connection) {
  return std::max<Duration>(Connection.KeepFor - KeepMargin,
                            Connection.KeepFor / 2);
}

/// An idle connection must have nothing to read: a close or stray bytes make
/// it unusable.
bool quiet(ServerConnection &Connection) {
  char Byte = 0;
  const auto Count = ::recv(Connection.Socket.native_handle(), &Byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::shared_ptr<ServerConnection>
ServerConnections::take(const std::string &Address, TimePoint Now,
                        Duration MaxAge) {
  const auto Found = Idle.find(Address);
  if (Found == Idle.end())
    return nullptr;
  auto &Known = Found->second;
  while (!Known.empty()) {
    auto Connection = std::move(Known.back());
    Known.pop_back();
    const Duration Age = Now - Connection->IdleSince;
    if (Age < std::min(MaxAge, usableFor(*Connection)) && quiet(*Connection)) {
      Connection->Reused = true;
      return Connection;
    }
  }
  return nullptr;
}

void ServerConnections::keep(const std::string &Address,
                             std::shared_ptr<ServerConnection> Connection,
                             TimePoint Now) {
  auto &Known = Idle[Address];
  Connection->IdleSince = Now;
  Known.push_back(std::move(Connection));
  if (Known.size() > MaxIdle)
    Known.pop_front();
}

void ServerConnections::closeExpired(TimePoint Now) {
  for (auto Each = Idle.begin(); Each != Idle.end();) {
    auto &Known = Each->second;
    while (!Known.empty() &&
           Now - Known.front()->IdleSince >= usableFor(*Known.front()))
      Known.pop_front();
    Each = Known.empty() ? Idle.erase(Each) : std::next(Each);
  }
}

} // namespace marigoldyard
