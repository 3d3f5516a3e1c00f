#include "marigoldyard/coordination/detail/text_hash.hpp"

#include <new>
#include <xxhash.h>

namespace marigoldyard::detail {

void TextHash::StateDeleter::operator()(XXH3_state_s *Held) const {
  XXH3_freeState(Held);
}

TextHash::TextHash() : State(XXH3_createState()) {
  if (!State)
    throw std::bad_alloc();
  XXH3_64bits_reset(State.get());
}

TextHash::TextHash(const TextHash &Other) : TextHash() {
  XXH3_copyState(State.get(), Other.State.get());
}

TextHash &TextHash::operator=(const TextHash &Other) {
  if (this != &Other) {
    TextHash Copy(Other);
    State.swap(Copy.State);
  }
  return *this;
}

void TextHash::add(std::string_view Part) {
  XXH3_64bits_update(State.get(), Part.data(), Part.size());
}

std::uint64_t TextHash::value() const {
  return XXH3_64bits_digest(State.get());
}

} // namespace marigoldyard::detail
