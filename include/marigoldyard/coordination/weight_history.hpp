#pragma once

#include "marigoldyard/state/manifest.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Weights of each product under the present and the previous
/// configuration that changed them. During a rollout both serve the product.
struct WeightHistory {
  std::map<std::string, Digest> Current;  ///< by product
  std::map<std::string, Digest> Previous; ///< by product
};

/// @brief Takes over a configuration. Products that it no longer has are
/// forgotten, so that the history is as long as the configuration.
/// @param History the history
/// @param Products products of the configuration
/// @complexity O(n log n) in the number of products
void updateWeights(WeightHistory &History,
                   std::span<const Product *const> Products);

/// @brief Digests that may serve a product: the wanted one and the one that it
/// replaces.
/// @param History the history
/// @param Owner the product
/// @return the wanted digest first
/// @complexity logarithmic in the number of products
std::vector<Digest> usableWeights(const WeightHistory &History,
                                  const Product &Owner);

} // namespace marigoldyard
