#pragma once

#include "sardinerill/fleet/fleettypes.h"

#include <optional>
#include <string>

/// \file
/// Keys of teams and operators: made once, shown once, kept as salted hashes.

namespace sardinerill {

/// A new key: the text for its owner and the record to keep.
struct NewKey {
  std::string Text; ///< "sk.<id>.<secret>"
  KeyRecord Record;
};

/// Makes a key from the system's random source. The secret has 256 bits, so one
/// round of a fast hash is enough.
NewKey makeKey(const KeyId &Id);

/// \returns the identifier inside a key's text, if it has the form of one.
std::optional<KeyId> keyIdOf(const std::string &Text);

/// Compares in constant time.
bool matchesKey(const KeyRecord &Record, const std::string &Text);

} // namespace sardinerill
