#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// \file
/// Name validation, hexadecimal encoding and random strings.

namespace sardinerill {

/// \returns whether \p Name consists of 1 to 100 letters, digits, '-', '_' or
/// '.'.
bool isValidName(std::string_view Name);

/// \returns \p Bytes random bytes from the cryptographic random generator, in
/// hexadecimal. Aborts the process if the generator fails, because continuing
/// would create guessable keys.
std::string randomHex(std::size_t Bytes);

/// \returns the bytes of \p Source in lower-case hexadecimal.
std::string toHex(std::string_view Source);

} // namespace sardinerill
