#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// Small helpers for names and random texts.

namespace sardinerill {

/// \returns whether \p Name has 1 to 100 letters, digits, '-', '_' or '.'.
bool isPlainName(std::string_view Name);

/// \returns \p Bytes bytes of the system's random source, in hexadecimal. Ends
/// the process if the source fails: guessable keys are worse than no daemon.
std::string randomHex(std::size_t Bytes);

/// \returns the bytes of \p Source in hexadecimal.
std::string toHex(std::string_view Source);

} // namespace sardinerill
