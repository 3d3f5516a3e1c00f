#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

struct XXH3_state_s;

namespace marigoldyard::detail {

/// @brief Incremental XXH3-64 of a text that arrives in parts.
class TextHash {
public:
  TextHash();
  TextHash(const TextHash &Other);
  TextHash &operator=(const TextHash &Other);
  TextHash(TextHash &&) noexcept = default;
  TextHash &operator=(TextHash &&) noexcept = default;
  ~TextHash() = default;

  /// @brief Appends a part of the text.
  /// @complexity linear in the length of the part
  void add(std::string_view Part);

  /// @return hash of the concatenation of all parts added so far
  /// @complexity constant
  std::uint64_t value() const;

private:
  struct StateDeleter {
    void operator()(XXH3_state_s *State) const;
  };
  std::unique_ptr<XXH3_state_s, StateDeleter> State;
};

} // namespace marigoldyard::detail
