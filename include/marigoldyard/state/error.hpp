#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace marigoldyard {

/// @brief Step of a request, operation, transfer, order, configuration change
/// or drain at which an error occurred.
enum class Step {
  Settings,
  Admission,
  Routing,
  Send,
  Queue,
  Generate,
  Stream,
  Deliver,
  OperationOpen,
  OperationRun,
  OperationResult,
  ChunkRequest,
  ChunkReceive,
  ChunkVerify,
  DescriptorFetch,
  Order,
  ReadBack,
  Announce,
  ConfigurationRead,
  ConfigurationAccept,
  ConfigurationRelay,
  MemberList,
  Drain,
  Authenticate,
};

/// @brief All steps, in declaration order, for property-based tests and
/// tables.
inline constexpr Step AllSteps[] = {
    Step::Settings,
    Step::Admission,
    Step::Routing,
    Step::Send,
    Step::Queue,
    Step::Generate,
    Step::Stream,
    Step::Deliver,
    Step::OperationOpen,
    Step::OperationRun,
    Step::OperationResult,
    Step::ChunkRequest,
    Step::ChunkReceive,
    Step::ChunkVerify,
    Step::DescriptorFetch,
    Step::Order,
    Step::ReadBack,
    Step::Announce,
    Step::ConfigurationRead,
    Step::ConfigurationAccept,
    Step::ConfigurationRelay,
    Step::MemberList,
    Step::Drain,
    Step::Authenticate,
};

/// @brief Name of a step as it appears in logs and in problem+json responses.
/// @return a lower-case name with underscores, valid for the lifetime of the
/// program
/// @complexity constant
std::string_view stepName(Step Value);

/// @brief Error ids. The numeric value is stable; logs show it as `error_id`.
enum class ErrorCode {
  InvalidSettings = 101,
  InvalidManifest = 102,
  InvalidMessage = 103,
  Unauthenticated = 104,
  StaleRevision = 201,
  ConflictingRevision = 202,
  IncompleteConfiguration = 203,
  NoEndpoint = 301,
  DeadlineExceeded = 302,
  QueueFull = 303,
  RateLimited = 304,
  RetryBudgetExhausted = 305,
  EndpointLeaving = 306,
  WrongWeights = 307,
  NotReady = 308,
  Cancelled = 309,
  PeerUnreachable = 401,
  PeerTimeout = 402,
  EndpointFailed = 403,
  StreamIncomplete = 404,
  StreamCorrupt = 405,
  OperationUnknown = 501,
  OperationNotFound = 502,
  OperationWrongCaller = 503,
  ChunkCorrupt = 601,
  ChunkUnavailable = 602,
  StoreRefused = 603,
  OrderRefused = 604,
  ReadBackMismatch = 605,
  PlatformUnavailable = 701,
};

/// @brief Error category of ErrorCode; its name is "marigoldyard".
/// @return the category, valid for the lifetime of the program
const std::error_category &errorCategory() noexcept;

/// @brief Customization point of std::error_code for ErrorCode.
/// @return an error code of errorCategory
std::error_code make_error_code(ErrorCode Code) noexcept;

/// @brief An error with the step at which it occurred and the peer involved.
struct Error {
  std::error_code Code;
  Step At = Step::Settings;
  std::string
      Peer; ///< name or address of the other party; empty when there is none
  std::string Detail; ///< human-readable text; never parsed

  /// @brief Formats id, step, peer and detail on one line.
  /// @complexity linear in the length of the text
  std::string message() const;
};

/// @brief A value or an Error.
template <typename T> class [[nodiscard]] Expected {
public:
  Expected(T Value) : Content(std::in_place_index<0>, std::move(Value)) {}
  Expected(Error Failure)
      : Content(std::in_place_index<1>, std::move(Failure)) {}

  /// @return true when a value is held
  explicit operator bool() const { return Content.index() == 0; }
  /// @return the value; std::bad_variant_access is thrown when an error is held
  T &operator*() { return std::get<0>(Content); }
  const T &operator*() const { return std::get<0>(Content); }
  T *operator->() { return &std::get<0>(Content); }
  const T *operator->() const { return &std::get<0>(Content); }
  /// @return the error; std::bad_variant_access is thrown when a value is held
  const Error &error() const { return std::get<1>(Content); }

private:
  std::variant<T, Error> Content;
};

} // namespace marigoldyard

template <>
struct std::is_error_code_enum<marigoldyard::ErrorCode> : std::true_type {};
