#include "sardinerill/admission/keys.h"

#include "sardinerill/base/text.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>

namespace sardinerill {

namespace {

constexpr std::string_view Prefix = "sk.";
constexpr std::size_t SecretBytes = 32;
constexpr std::size_t SaltBytes = 16;
constexpr std::size_t MaxKeyBytes = 256;

std::string hashKey(const std::string &Salt, const std::string &Text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Digest{};
  unsigned Length = 0;
  const std::string Salted = Salt + Text;
  EVP_Digest(Salted.data(), Salted.size(), Digest.data(), &Length, EVP_sha256(),
             nullptr);
  return toHex(std::string(Digest.begin(), Digest.begin() + Length));
}

} // namespace

GeneratedKey generateKey(const KeyId &Id) {
  GeneratedKey Key;
  Key.Text = std::string(Prefix) + Id.str() + "." + randomHex(SecretBytes);
  Key.Record.Id = Id;
  Key.Record.Salt = randomHex(SaltBytes);
  Key.Record.Hash = hashKey(Key.Record.Salt, Key.Text);
  return Key;
}

std::optional<KeyId> parseKeyId(const std::string &Text) {
  if (Text.size() > MaxKeyBytes || !Text.starts_with(Prefix))
    return std::nullopt;
  const std::size_t LastDot = Text.rfind('.');
  if (LastDot <= Prefix.size())
    return std::nullopt;
  return KeyId(Text.substr(Prefix.size(), LastDot - Prefix.size()));
}

bool matchesKey(const KeyRecord &Record, const std::string &Text) {
  const std::string Hash = hashKey(Record.Salt, Text);
  return Hash.size() == Record.Hash.size() &&
         CRYPTO_memcmp(Hash.data(), Record.Hash.data(), Hash.size()) == 0;
}

} // namespace sardinerill
