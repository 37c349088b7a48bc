#pragma once

#include "sardinerill/base/clock.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <utility>

/// \file
/// Whether other daemons use a newer configuration than this one. Reads of a
/// large change can take many seconds through a relay; until it has arrived,
/// the older version does not tell which routes and keys exist.

namespace sardinerill::site {

/// What the version in a peer's answer means for this daemon.
enum class PeerVersionKind {
  NotNewer, ///< None given, not newer, or not comparable yet.
  Newer,    ///< Newer than the one in force, and than any named before.
  Repeated, ///< Newer than the one in force; as new was named before.
  Rejected, ///< Not a version, or too far from the one in force.
};

/// A peer has read its version from the table, so that this version was in
/// force when the peer answered.
class ConfigurationFreshness {
public:
  /// A peer that has used a version names it several times a second. After this
  /// time without one, what was named no longer counts: a single wrong answer
  /// or the loss of all peers must not keep calls refused.
  static constexpr milliseconds MaxTimeSinceNamed{6000};
  /// Reads of the table are at most some seconds old. A later answer of the
  /// table without the version disproves it.
  static constexpr milliseconds MaxTableAge{6000};
  /// Operators count versions up one by one; a larger step is a fault of the
  /// peer.
  static constexpr std::int64_t MaxVersionStep = 1000000;
  /// Versions whose first naming is remembered.
  static constexpr std::size_t MaxNamed = 100;

  /// Records the version that this daemon has put in force.
  void recordInForce(std::int64_t Version);
  /// Records the version in the answer of a peer; \p Text is empty if the
  /// answer has none, as those of older builds.
  PeerVersionKind recordPeerAnswer(std::string_view Text, Instant Now);
  /// Records that the table answered a read sent at \p SentAt, and that all
  /// that it returned is in force.
  /// \returns whether this disproves a version that a peer had named.
  bool recordTableAnswer(Instant SentAt);

  /// \returns whether a version newer than the one in force is used by peers.
  bool isBehind(Instant Now) const;
  /// \returns for how long peers have used a version newer than the one in
  /// force; zero if none does.
  Duration timeBehind(Instant Now) const;
  /// \returns the highest version known to be used.
  std::int64_t newestVersion() const { return this->Newest; }
  std::int64_t disprovedVersion() const { return this->Disproved; }

  friend bool operator==(const ConfigurationFreshness &,
                         const ConfigurationFreshness &) = default;

private:
  std::int64_t InForce = 0; ///< 0: none yet.
  std::int64_t Newest = 0;
  std::int64_t Disproved = 0; ///< Ignored if named again.
  Instant FirstNamedAt{};     ///< When Newest was first named.
  /// When each version above InForce was first named; by rising version.
  std::deque<std::pair<std::int64_t, Instant>> Named;
  Instant LastNamedAt{}; ///< When a version above InForce was last named.
};

} // namespace sardinerill::site
