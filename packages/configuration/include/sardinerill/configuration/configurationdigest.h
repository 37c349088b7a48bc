#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/scheduling/schedulingtypes.h"

#include <array>
#include <cstdint>
#include <string>

/// \file
/// Hashes by which two daemons find out in which queues their configurations
/// differ, whichever versions each of them has seen.

namespace sardinerill::site {

/// The queues of a configuration, divided into groups by the hash of their id.
struct ConfigurationDigest {
  static constexpr std::size_t GroupCount = 256;

  std::int64_t Version = 0;
  /// Hash of the queues of each group, in any order.
  std::array<std::uint64_t, GroupCount> Groups{};
  friend bool operator==(const ConfigurationDigest &,
                         const ConfigurationDigest &) = default;
};

/// \returns the group that a queue belongs to; the same in each build.
std::size_t groupOf(const QueueId &Queue);
ConfigurationDigest digestOf(const SiteConfiguration &Configuration);

std::string encodeDigest(const ConfigurationDigest &Digest);
/// \returns the digest; BadRequest if \p Text is malformed.
Result<ConfigurationDigest> decodeDigest(const std::string &Text);

} // namespace sardinerill::site
