#pragma once

#include "sardinerill/fleet/fleettypes.h"

#include <optional>
#include <string>

/// \file
/// API keys of teams and operators. The text of a key is shown only when it is
/// generated; afterwards only a salted hash is stored.

namespace sardinerill {

/// A newly generated key: the text for its owner and the record to store.
struct GeneratedKey {
  std::string Text; ///< "sk.<id>.<secret>"
  KeyRecord Record;
};

/// Generates a key with the system's random source. The secret has 256 bits, so
/// one round of a fast hash is enough and no slow password hash is needed.
GeneratedKey generateKey(const KeyId &Id);

/// \returns the identifier in the text of a key, or nothing if the text is not
/// well-formed.
std::optional<KeyId> parseKeyId(const std::string &Text);

/// \returns whether \p Text is the key of \p Record; compares in constant time.
bool matchesKey(const KeyRecord &Record, const std::string &Text);

} // namespace sardinerill
