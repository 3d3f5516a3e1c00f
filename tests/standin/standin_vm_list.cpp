// List of live and leaving VMs; can lag behind what was published.

#include "marigoldyard/protocol/platform_api.hpp"
#include "marigoldyard/transport/clock.hpp"
#include "tests/standin/standin_common.hpp"

#include <deque>

namespace marigoldyard {

namespace {

/// Published lists that lag_ms can go back to.
constexpr std::size_t MaxHistory = 1000;

struct Published {
  TimePoint At;
  std::string List;
};

/// The list as it was `Lag` ago; the oldest kept one when none is that old, so
/// that a fleet which starts under the fault does not see an empty list.
std::string listAt(const std::deque<Published> &History, Duration Lag) {
  if (History.empty())
    return vmListJson({});
  const TimePoint Limit = now() - Lag;
  auto Found = History.rbegin();
  while (std::next(Found) != History.rend() && Found->At > Limit)
    ++Found;
  return Found->List;
}

} // namespace

} // namespace marigoldyard

int main(int Count, char **Arguments) {
  using namespace marigoldyard;
  StandinProgram Program("standin_vm_list", "Stand-in of the VM list",
                         {"lag_ms"});
  std::deque<Published> History;
  Program.platform("GET", "/vms", [&](const Call &C) {
    C.Answer.send({200,
                   {{"Content-Type", "application/json"}},
                   listAt(History, Program.faultTime("lag_ms"))});
  });
  Program.control("PUT", "/vms", [&](const Call &C) {
    valueOf(parseVmList(C.Request.Body));
    History.push_back({now(), C.Request.Body});
    if (History.size() > MaxHistory)
      History.pop_front();
    reply(C.Answer, 200, nlohmann::json::object());
  });
  return Program.run(Count, Arguments);
}
