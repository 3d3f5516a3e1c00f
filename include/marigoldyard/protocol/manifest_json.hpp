#pragma once

#include "marigoldyard/coordination/configuration.hpp"
#include "marigoldyard/protocol/fault_list.hpp"
#include "marigoldyard/state/manifest.hpp"

#include <map>
#include <string>
#include <string_view>

namespace marigoldyard {

/// @brief Key of the configuration service that holds the index.
inline constexpr std::string_view IndexKey = "index";

/// @brief Parses and checks a whole manifest, as `marigoldctl check` does.
/// @param Text JSON with comments
/// @return the manifest, or all faults
/// @complexity O(n log n) in the length of the text
Checked<Manifest> parseManifest(std::string_view Text);

/// @brief Parses and checks the value of one product.
/// @param Text JSON with comments
/// @return the product, or all faults
/// @complexity O(n log n) in the length of the text
Checked<Product> parseProduct(std::string_view Text);

/// @brief Parses and checks the value of the index key.
/// @param Text JSON with comments
/// @param Source name of the service or peer, for the error
/// @return the index, or an error with all faults
/// @complexity O(n log n) in the length of the text
Expected<ConfigurationIndex> parseIndex(std::string_view Text,
                                        std::string_view Source);

/// @brief Parses a product value for acceptance and computes its digest.
/// @param Key key of the value
/// @param Text the value as published
/// @param Source name of the service or peer, for the error
/// @return the value with the product, or with an error that lists all faults
/// @complexity O(n log n) in the length of the text
ParsedValue checkValue(std::string Key, std::string Text,
                       std::string_view Source);

/// @brief Texts to publish on the configuration service.
struct PublishedManifest {
  std::map<std::string, std::string>
      Values;        ///< by key; published before the index
  std::string Index; ///< text of the index key
};

/// @brief Splits a manifest into one value per product and the index.
/// @param Content a checked manifest
/// @return the texts
/// @complexity O(n log n) in the size of the manifest
PublishedManifest splitManifest(const Manifest &Content);

/// @brief Text of one product value. parseProduct() restores the product.
/// @param Content a checked product
/// @return JSON without comments
/// @complexity linear in the size of the product
std::string productText(const Product &Content);

/// @brief Text of a whole manifest. parseManifest() restores the manifest.
/// @param Content a checked manifest
/// @return JSON without comments
/// @complexity linear in the size of the manifest
std::string manifestText(const Manifest &Content);

/// @brief Reference page of the manifest.
/// @return Markdown
std::string manifestReference();

} // namespace marigoldyard
