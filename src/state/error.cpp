#include "marigoldyard/state/error.hpp"

namespace marigoldyard {

namespace {

class ErrorCodeCategory final : public std::error_category {
public:
  const char *name() const noexcept override { return "marigoldyard"; }
  std::string message(int Value) const override {
    switch (static_cast<ErrorCode>(Value)) {
    case ErrorCode::InvalidSettings:
      return "invalid settings";
    case ErrorCode::InvalidManifest:
      return "invalid manifest";
    case ErrorCode::InvalidMessage:
      return "invalid message";
    case ErrorCode::Unauthenticated:
      return "sender is not authenticated";
    case ErrorCode::StaleRevision:
      return "configuration revision is older than the one in force";
    case ErrorCode::ConflictingRevision:
      return "same configuration revision with different content";
    case ErrorCode::IncompleteConfiguration:
      return "configuration index is ahead of its values";
    case ErrorCode::NoEndpoint:
      return "no endpoint available";
    case ErrorCode::DeadlineExceeded:
      return "deadline cannot be met";
    case ErrorCode::QueueFull:
      return "queue is full";
    case ErrorCode::RateLimited:
      return "caller exceeds its rate limit";
    case ErrorCode::RetryBudgetExhausted:
      return "retry budget is exhausted";
    case ErrorCode::EndpointLeaving:
      return "endpoint is leaving";
    case ErrorCode::WrongWeights:
      return "endpoint does not serve the requested weights";
    case ErrorCode::NotReady:
      return "not ready";
    case ErrorCode::Cancelled:
      return "cancelled";
    default:
      return describePeerError(static_cast<ErrorCode>(Value));
    }
  }

private:
  static std::string describePeerError(ErrorCode Code) {
    switch (Code) {
    case ErrorCode::PeerUnreachable:
      return "peer is unreachable";
    case ErrorCode::PeerTimeout:
      return "peer did not answer in time";
    case ErrorCode::EndpointFailed:
      return "endpoint failed";
    case ErrorCode::StreamIncomplete:
      return "stream ended before it was complete";
    case ErrorCode::StreamCorrupt:
      return "stream pieces do not belong together";
    case ErrorCode::OperationUnknown:
      return "outcome of the operation is unknown";
    case ErrorCode::OperationNotFound:
      return "operation was never opened";
    case ErrorCode::OperationWrongCaller:
      return "operation belongs to another caller";
    case ErrorCode::ChunkCorrupt:
      return "chunk does not match its digest";
    case ErrorCode::ChunkUnavailable:
      return "chunk is not available";
    case ErrorCode::StoreRefused:
      return "weight store refused the request";
    case ErrorCode::OrderRefused:
      return "endpoint refused the order";
    case ErrorCode::ReadBackMismatch:
      return "endpoint reports other weights than ordered";
    case ErrorCode::PlatformUnavailable:
      return "platform service is unavailable";
    default:
      return "unrecognized error id";
    }
  }
};

} // namespace

const std::error_category &errorCategory() noexcept {
  static const ErrorCodeCategory Instance;
  return Instance;
}

std::error_code make_error_code(ErrorCode Code) noexcept {
  return {static_cast<int>(Code), errorCategory()};
}

std::string Error::message() const {
  std::string Text = "[" + std::to_string(Code.value()) + "] " + Code.message();
  Text += " at step ";
  Text += stepName(At);
  if (!Peer.empty())
    Text += ", peer " + Peer;
  if (!Detail.empty())
    Text += ": " + Detail;
  return Text;
}

std::string_view stepName(Step Value) {
  static constexpr std::string_view Names[] = {"settings",
                                               "admission",
                                               "routing",
                                               "send",
                                               "queue",
                                               "generate",
                                               "stream",
                                               "deliver",
                                               "operation_open",
                                               "operation_run",
                                               "operation_result",
                                               "chunk_request",
                                               "chunk_receive",
                                               "chunk_verify",
                                               "descriptor_fetch",
                                               "order",
                                               "read_back",
                                               "announce",
                                               "configuration_read",
                                               "configuration_accept",
                                               "configuration_relay",
                                               "member_list",
                                               "drain",
                                               "authenticate"};
  static_assert(std::size(Names) == std::size(AllSteps));
  return Names[static_cast<std::size_t>(Value)];
}

} // namespace marigoldyard
