#include "sardinerill/base/text.h"

#include <cctype>
#include <cstdlib>
#include <openssl/rand.h>

namespace sardinerill {

namespace {

constexpr std::size_t MaxNameBytes = 100;

} // namespace

bool isValidName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaxNameBytes)
    return false;
  for (unsigned char Byte : Name)
    if (std::isalnum(Byte) == 0 && Byte != '-' && Byte != '_' && Byte != '.')
      return false;
  return true;
}

std::string toHex(std::string_view Source) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  for (unsigned char Byte : Source) {
    Text += Digits[Byte >> 4U];
    Text += Digits[Byte & 0xfU];
  }
  return Text;
}

std::string randomHex(std::size_t Bytes) {
  std::string Random(Bytes, '\0');
  auto *Buffer = reinterpret_cast<unsigned char *>(Random.data());
  if (RAND_bytes(Buffer, static_cast<int>(Bytes)) != 1)
    std::abort();
  return toHex(Random);
}

} // namespace sardinerill
