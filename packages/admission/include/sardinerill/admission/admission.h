#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/fleet/fleettypes.h"

#include <memory>
#include <optional>
#include <unordered_map>

/// \file
/// Whether a request may be taken at all, and for which team.

namespace sardinerill {

/// What a caller brings.
struct AdmissionRequest {
  ClassId Class;
  std::optional<std::string> Key;
  bool HasIdempotencyKey = false;
};

/// A request that may be taken.
struct Admitted {
  /// The team that the key belongs to; the open team for an open class.
  TeamId Team;
  WorkClass Class;
};

/// How recent the proof is that the configuration is in force.
struct Freshness {
  Instant Since;
  Duration Grace;
};

/// Work of open classes that came without a key runs for this team.
const TeamId &openTeam();

/// Checks keys against one version of the fleet. Immutable once built.
class Admission {
public:
  explicit Admission(std::shared_ptr<const Fleet> Current);

  /// \returns the team and class, or why the request is refused. All refusals
  /// come before anything ran.
  Result<Admitted> admit(const AdmissionRequest &Request, Freshness Known,
                         Instant Now) const;

  /// \returns whether \p Key is a valid operator's key.
  Result<KeyId> admitOperator(const std::string &Key) const;

  /// \returns the team whose valid key \p Key is.
  Result<TeamId> teamOf(const std::string &Key) const;

private:
  struct TeamKey {
    TeamId Team;
    KeyRecord Record;
  };

  std::shared_ptr<const Fleet> Current;
  std::unordered_map<KeyId, TeamKey> ByKey;
};

} // namespace sardinerill
