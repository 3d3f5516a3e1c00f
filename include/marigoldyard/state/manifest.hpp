#pragma once

#include "marigoldyard/state/types.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief A customer of a product, identified by the SHA-256 of its bearer key.
struct Caller {
  std::string Name;
  std::string KeySha256; ///< 64 lower-case hexadecimal digits
  Rank HighestRank = Rank::Batch;
  double Weight = 1.0; ///< share relative to other callers of the product
  double RequestsPerSecond = 0.0; ///< 0 means no limit
  double Burst = 0.0;             ///< requests

  friend bool operator==(const Caller &, const Caller &) = default;
};

/// @brief A service without model weights.
struct Service {
  std::string Name;
  std::string Pool;
  bool Idempotent = false;

  friend bool operator==(const Service &, const Service &) = default;
};

/// @brief One product: its model version, ranks, limits, callers and services.
struct Product {
  std::string Name;
  std::string Model;
  std::string Pool;    ///< endpoints of this pool serve the product
  std::string Version; ///< human-readable name; Weights identifies the content
  Digest Weights;      ///< digest of the version descriptor
  std::vector<std::string> Adapters;
  std::vector<Rank> Ranks;
  std::array<double, RankCount>
      Floors{}; ///< guaranteed share of capacity per rank, 0 to 1
  std::uint32_t MaxUnavailable = 1; ///< most endpoints of the pool that may be
                                    ///< not ready at once during a rollout
  std::array<Duration, RankCount> Deadlines{};
  double RetryBudget = 0.1; ///< retries as a share of first attempts
  std::vector<Caller> Callers;
  std::vector<Service> Services;

  friend bool operator==(const Product &, const Product &) = default;
};

/// @brief A complete configuration with all products.
struct Manifest {
  Revision ConfigRevision = 0;
  std::vector<Product> Products;

  friend bool operator==(const Manifest &, const Manifest &) = default;
};

/// @brief Value of the configuration service's index key: a revision and the
/// digest of each value.
struct ConfigurationIndex {
  Revision ConfigRevision = 0;
  std::map<std::string, Digest>
      Values; ///< key ("products/NAME") to SHA-256 of the value

  friend bool operator==(const ConfigurationIndex &,
                         const ConfigurationIndex &) = default;
};

/// @brief One content-addressed part of a version's weights.
struct Chunk {
  Digest Id;
  std::uint64_t Size = 0; ///< bytes

  friend bool operator==(const Chunk &, const Chunk &) = default;
};

/// @brief Chunks of a model version. The descriptor's digest identifies the
/// weights that a request needs.
struct VersionDescriptor {
  Digest Id;
  std::string Model;
  std::string Version;
  std::vector<Chunk> Chunks;

  friend bool operator==(const VersionDescriptor &,
                         const VersionDescriptor &) = default;
};

} // namespace marigoldyard
