#pragma once

#include <cstdint>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace marigoldyard::detail {

/// @brief Objects that nng callbacks find by number. nng may report the end of
/// a connection while or after its socket is closed, so a callback must not
/// hold a pointer.
template <typename T> class CallbackRegistry {
public:
  /// @return the registry of T; never destroyed, because nng threads run until
  /// the process exits
  static CallbackRegistry &instance() {
    static auto *Instance = new CallbackRegistry;
    return *Instance;
  }
  /// @brief Adds an object.
  /// @return a number, to be passed to nng as the callback's argument
  void *add(std::weak_ptr<T> Object) {
    std::lock_guard Lock(Mutex);
    Objects.emplace(++LastId, std::move(Object));
    // nng passes the number back unchanged and nothing dereferences it.
    // NOLINTNEXTLINE(performance-no-int-to-ptr)
    return reinterpret_cast<void *>(LastId);
  }
  /// @brief Removes an object; unknown numbers are ignored.
  void remove(void *Id) {
    std::lock_guard Lock(Mutex);
    Objects.erase(reinterpret_cast<std::uintptr_t>(Id));
  }
  /// @return the object, or null when it is gone
  std::shared_ptr<T> find(void *Id) {
    std::lock_guard Lock(Mutex);
    auto Found = Objects.find(reinterpret_cast<std::uintptr_t>(Id));
    return Found == Objects.end() ? nullptr : Found->second.lock();
  }

private:
  std::mutex Mutex;
  std::uintptr_t LastId = 0;
  std::unordered_map<std::uintptr_t, std::weak_ptr<T>> Objects;
};

} // namespace marigoldyard::detail
