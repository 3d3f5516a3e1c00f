#pragma once

#include "marigoldyard/state/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldyard {

/// @brief Random number generator that is passed to decision functions, so that
/// the caller chooses the seed.
using Random = std::mt19937_64;

/// @brief Priority class of a request, most urgent first.
enum class Rank : std::uint8_t { Urgent, Standard, Batch };
inline constexpr std::size_t RankCount = 3;
inline constexpr Rank AllRanks[RankCount] = {Rank::Urgent, Rank::Standard,
                                             Rank::Batch};

/// @brief Name of a rank in manifests and in the X-Rank header.
/// @return "urgent", "standard" or "batch"
std::string_view rankName(Rank Value);

/// @brief Parses a rank name.
/// @param Name name as returned by rankName
/// @return the rank, or nothing when the name is unknown
std::optional<Rank> parseRank(std::string_view Name);

/// @brief Index of a rank into arrays of RankCount elements.
constexpr std::size_t rankIndex(Rank Value) {
  return static_cast<std::size_t>(Value);
}

/// @brief Outcome of a request or operation as reported to the caller.
enum class Outcome : std::uint8_t { Complete, NotRun, Failed, Unknown };
inline constexpr Outcome AllOutcomes[] = {Outcome::Complete, Outcome::NotRun,
                                          Outcome::Failed, Outcome::Unknown};

/// @brief Name of an outcome in problem+json responses.
/// @return "complete", "not_run", "failed" or "unknown"
std::string_view outcomeName(Outcome Value);

/// @brief Identifies one run of a process; a later start on the same VM has a
/// higher number.
using Incarnation = std::uint64_t;

/// @brief Revision of a configuration; a higher one replaces a lower one. 0
/// means none.
using Revision = std::uint64_t;

/// @brief SHA-256 of chunk bytes or of a version descriptor, as 64 lower-case
/// hexadecimal digits.
using Digest = std::string;

/// @brief Fencing token of an order. Tokens compare by revision, then
/// incarnation, then sequence.
struct Fence {
  Revision ConfigurationRevision = 0;
  Incarnation IssuerIncarnation = 0;
  std::uint64_t Sequence = 0;

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(modernize-use-nullptr, readability-identifier-naming)
  friend auto operator<=>(const Fence &, const Fence &) = default;
};

/// @brief Kind of VM in the platform's member list.
enum class MemberKind : std::uint8_t { Entry, Endpoint };

/// @brief One VM of the platform's member list.
struct Member {
  std::string Name;
  std::string Address; ///< IP address without port
  MemberKind Kind = MemberKind::Endpoint;
  std::string Region;
  std::string FailureDomain;
  std::string Pool; ///< empty for entries
  bool Draining = false;

  friend bool operator==(const Member &, const Member &) = default;
};

/// @brief Load of one endpoint, reported by its agent.
struct LoadReport {
  std::uint64_t QueuedTokens[RankCount] =
      {};                    ///< estimated waiting and running tokens, by rank
  std::uint32_t Running = 0; ///< requests in progress
  std::uint32_t Slots = 0;   ///< requests that can run at once
  std::uint32_t TokensPerSecond = 0; ///< recent output rate of the endpoint
  bool Ready = false;                ///< accepts work
  bool Draining = false;
  std::vector<Digest>
      ReadyWeights; ///< weights that the engine reports as loaded

  // clang-tidy 14 reports names in the code that the compiler generates here.
  // NOLINTNEXTLINE(readability-identifier-naming)
  friend bool operator==(const LoadReport &, const LoadReport &) = default;
};

} // namespace marigoldyard
