#pragma once

#include "marigoldyard/state/manifest.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace marigoldyard {

/// @brief Current and previous weights of each product. During a rollout both
/// serve the product.
struct WeightHistory {
  std::map<std::string, Digest> Current; ///< by product name
  std::map<std::string, Digest>
      Previous; ///< by product name; only if weights changed
};

/// @brief Updates the history from a new configuration. Products that are no
/// longer configured are removed, so that the history does not outgrow the
/// configuration.
/// @param History history to update
/// @param Products products of the new configuration
/// @complexity O(n log n) in the number of products
void updateWeights(WeightHistory &History,
                   std::span<const Product *const> Products);

/// @brief Returns the weights that may serve a product: the configured ones and
/// those that they replace, if any.
/// @param History history of all products
/// @param Owner product that is served
/// @return one or two digests, the configured one first
/// @complexity logarithmic in the number of products
std::vector<Digest> usableWeights(const WeightHistory &History,
                                  const Product &Owner);

} // namespace marigoldyard
