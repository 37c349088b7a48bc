#include "sardinerill/configuration/configurationdigest.h"

#include <bit>
#include <charconv>
#include <string_view>

namespace sardinerill::site {

namespace {

constexpr int Hexadecimal = 16;
constexpr std::size_t HashDigits = 16;

/// FNV-1a with 64 bits.
class Hasher {
public:
  Hasher &add(std::string_view Text) {
    this->add(std::int64_t(Text.size()));
    for (const char Each : Text)
      this->addByte(static_cast<unsigned char>(Each));
    return *this;
  }
  Hasher &add(std::int64_t Number) {
    constexpr int ByteBits = 8;
    for (std::size_t Index = 0; Index < sizeof(Number); ++Index)
      this->addByte(static_cast<unsigned char>(std::uint64_t(Number) >>
                                               (ByteBits * Index)));
    return *this;
  }
  std::uint64_t value() const { return this->Value; }

private:
  void addByte(unsigned char Byte) {
    constexpr std::uint64_t Prime = 0x100000001b3ULL;
    this->Value = (this->Value ^ Byte) * Prime;
  }

  std::uint64_t Value = 0xcbf29ce484222325ULL;
};

std::uint64_t hashOf(const QueueSettings &Queue) {
  return Hasher()
      .add(Queue.Id.str())
      .add(Queue.Host)
      .add(Queue.PathPrefix)
      .add(Queue.Pool.str())
      .add(Queue.Priority)
      .add(Queue.MaxAttempts)
      .add(std::bit_cast<std::int64_t>(Queue.CriticalPathFactor))
      .add(Queue.LatencyTarget.count())
      .add(Queue.CallTimeout.count())
      .add(Queue.Public)
      .add(Queue.NeedsAdvice)
      .add(Queue.Advisor.PerCall.count())
      .add(Queue.Advisor.PerUpstream.count())
      .add(Queue.Advisor.TicketValidity.count())
      .value();
}

} // namespace

std::size_t groupOf(const QueueId &Queue) {
  return Hasher().add(Queue.str()).value() % ConfigurationDigest::GroupCount;
}

ConfigurationDigest digestOf(const SiteConfiguration &Configuration) {
  ConfigurationDigest Digest{.Version = Configuration.Version};
  for (const QueueSettings &Queue : Configuration.Queues)
    Digest.Groups[groupOf(Queue.Id)] += hashOf(Queue);
  return Digest;
}

std::string encodeDigest(const ConfigurationDigest &Digest) {
  std::string Text = std::to_string(Digest.Version) + " ";
  for (const std::uint64_t Hash : Digest.Groups) {
    std::array<char, HashDigits> Digits{};
    const auto Written = std::to_chars(
        Digits.data(), Digits.data() + Digits.size(), Hash, Hexadecimal);
    const std::size_t Length = std::size_t(Written.ptr - Digits.data());
    Text.append(HashDigits - Length, '0').append(Digits.data(), Length);
  }
  return Text;
}

Result<ConfigurationDigest> decodeDigest(const std::string &Text) {
  ConfigurationDigest Digest;
  const char *const TextEnd = Text.data() + Text.size();
  const auto Version = std::from_chars(Text.data(), TextEnd, Digest.Version);
  bool Valid = Version.ec == std::errc() && Digest.Version >= 0 &&
               std::size_t(TextEnd - Version.ptr) ==
                   1 + HashDigits * ConfigurationDigest::GroupCount &&
               *Version.ptr == ' ';
  const char *Next = Version.ptr + 1;
  for (std::size_t Index = 0; Valid && Index < Digest.Groups.size(); ++Index) {
    const char *const End = Next + HashDigits;
    const auto Hash =
        std::from_chars(Next, End, Digest.Groups[Index], Hexadecimal);
    Valid = Hash.ec == std::errc() && Hash.ptr == End;
    Next = End;
  }
  if (!Valid)
    return makeError(ErrorKind::BadRequest,
                     "the digest of a configuration is malformed");
  return Digest;
}

} // namespace sardinerill::site
