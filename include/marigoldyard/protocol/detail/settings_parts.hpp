#pragma once

#include "marigoldyard/protocol/detail/schema.hpp"
#include "marigoldyard/protocol/settings.hpp"

#include <string>

namespace marigoldyard::detail {

inline constexpr double MaxNameBytes = 128;
inline constexpr double MaxPort = 65535;
// HMAC-SHA-256 keys below half of the hash length weaken the code.
inline constexpr double MinSecretBytes = 16;
inline constexpr double MaxSecretBytes = 1024;

/// @brief Members of one message key, in the settings of all programs.
inline constexpr KeyDescription MessageKeyMembers[] = {
    {.Key = "id",
     .Kind = ValueKind::Name,
     .Maximum = MaxNameBytes,
     .Help = "id that messages carry"},
    {.Key = "secret",
     .Kind = ValueKind::Text,
     .Unit = "at least 16 bytes",
     .Minimum = MinSecretBytes,
     .Maximum = MaxSecretBytes,
     .Help = "key of HMAC-SHA-256"},
};

/// @brief Address of a checked value of kind HostPort.
/// @param Value the value
ServerAddress serverAddress(const nlohmann::json &Value);

/// @brief Message keys of a checked document.
/// @param Value the list
std::vector<MessageKey> messageKeys(const nlohmann::json &Value);

} // namespace marigoldyard::detail
