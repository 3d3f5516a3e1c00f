#pragma once

#include "marigoldyard/state/error.hpp"
#include "marigoldyard/state/time.hpp"
#include "marigoldyard/transport/http_server.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace marigoldyard {

/// @brief One request to a stand-in.
struct Call {
  HttpRequest Request;
  std::string Key; ///< rest of the path after the prefix of the route
  Responder Answer;

  /// @return the body; nlohmann::json::exception is thrown when it is no JSON
  nlohmann::json json() const { return nlohmann::json::parse(Request.Body); }
};

/// @brief Answers one request on the main thread. A std::exception that it
/// throws, such as a JSON error, is answered with status 400.
using StandinHandler = std::function<void(const Call &)>;

/// @brief Sends a JSON answer.
/// @param Answer responder of the request
/// @param Status HTTP status
/// @param Body the answer
/// @param Headers further header fields
void reply(const Responder &Answer, unsigned Status, const nlohmann::json &Body,
           HttpHeaders Headers = {});

/// @brief Sends an error as {"error": Text}.
/// @param Answer responder of the request
/// @param Status HTTP status
/// @param Text what was wrong
/// @param Headers further header fields
void replyError(const Responder &Answer, unsigned Status, std::string_view Text,
                HttpHeaders Headers = {});

/// @brief Value of a parsed body.
/// @param Parsed result of a parser
/// @return the value; std::invalid_argument is thrown when there is none
template <typename T> T valueOf(Expected<T> Parsed) {
  if (!Parsed)
    throw std::invalid_argument(Parsed.error().message());
  return std::move(*Parsed);
}

/// @brief Frame of a stand-in: command line, HTTP server, timers, faults and
/// the end on SIGTERM or SIGINT.
///
/// All handlers and timers run on the main thread, so that a stand-in needs no
/// lock. Every stand-in answers `GET /healthz`, `GET /faults` and
/// `PUT /faults`, and has the faults `down` (503) and `delay_ms`.
class StandinProgram {
public:
  /// @param Name name of the program
  /// @param Purpose one line for --help
  /// @param FaultNames names that PUT /faults accepts besides down and delay_ms
  StandinProgram(const std::string &Name, const std::string &Purpose,
                 std::set<std::string> FaultNames);

  /// @return the command line, to add options before run()
  CLI::App &arguments() { return Application; }

  /// @brief Adds a path that the system uses; down and delay_ms apply to it.
  /// @param Method upper-case HTTP method
  /// @param Path whole path, or a prefix when it ends with "/"
  /// @param Handle answers the requests
  void platform(std::string Method, std::string Path, StandinHandler Handle);

  /// @brief Adds a path that tests use; no fault applies to it.
  /// @param Method upper-case HTTP method
  /// @param Path whole path, or a prefix when it ends with "/"
  /// @param Handle answers the requests
  void control(std::string Method, std::string Path, StandinHandler Handle);

  /// @brief Runs an action later; at once when the delay is not positive.
  /// @param Delay time to wait
  /// @param Action what to do
  void after(Duration Delay, std::function<void()> Action);

  /// @brief Keeps a connection open without sending until the client leaves.
  /// @param Answer responder of the request
  void hold(const Responder &Answer);

  /// @brief Runs an action on the main thread when the client leaves.
  /// @param Answer responder of the request
  /// @param Action must not own the responder, which would keep itself alive
  void onDisconnect(const Responder &Answer, std::function<void()> Action);

  /// @brief Sets a callback for changes of the faults.
  /// @param Action what to do after each change
  void onFaults(std::function<void()> Action);

  /// @param Name name of the fault
  /// @return whether the fault is set
  bool fault(std::string_view Name) const { return faultNumber(Name) > 0; }

  /// @brief Number of a fault.
  /// @param Name name of the fault
  /// @return the number, 1 for true, 0 when the fault is not set
  double faultNumber(std::string_view Name) const;

  /// @brief Time of a fault that is given in milliseconds.
  /// @param Name name of the fault
  /// @return the time, zero when the fault is not set
  Duration faultTime(std::string_view Name) const;

  /// @brief Parses the command line and serves until SIGTERM or SIGINT.
  /// @param Count number of arguments
  /// @param Arguments arguments of main
  /// @return exit status
  int run(int Count, const char *const *Arguments);

private:
  struct Route {
    std::string Method;
    std::string Path;
    bool Platform = false;
    StandinHandler Handle;
  };

  void dispatch(Call Received);
  void changeFaults(const Call &Received);

  CLI::App Application;
  std::string Listen;
  std::set<std::string> FaultNames;
  std::map<std::string, double, std::less<>> Faults;
  std::function<void()> FaultsChanged;
  std::vector<Route> Routes;
  std::uint64_t LastHeld = 0;
  std::map<std::uint64_t, Responder> Held;
  boost::asio::io_context Context{1};
};

} // namespace marigoldyard
