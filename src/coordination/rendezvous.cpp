#include "marigoldyard/coordination/detail/rendezvous.hpp"

#include <xxhash.h>

namespace marigoldyard::detail {

std::uint64_t nameHash(std::string_view Name) {
  return XXH3_64bits(Name.data(), Name.size());
}

} // namespace marigoldyard::detail
