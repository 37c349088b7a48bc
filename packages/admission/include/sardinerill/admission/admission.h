#pragma once

#include "sardinerill/base/errors.h"
#include "sardinerill/fleet/fleettypes.h"

#include <memory>
#include <optional>
#include <unordered_map>

/// \file
/// Admission control: authenticates a request and determines its team.

namespace sardinerill {

/// The properties of a request that admission checks.
struct AdmissionRequest {
  ClassId Class;
  std::optional<std::string> Key;
  bool HasIdempotencyKey = false;
};

/// An admitted request.
struct AdmittedRequest {
  /// The team that the key belongs to; anonymousTeam() if there is no key
  /// and the class allows that.
  TeamId Team;
  WorkClass Class;
};

/// How recently the configuration was confirmed to be in force.
struct ConfigurationProof {
  Instant ConfirmedAt; ///< Time of the last confirmation.
  Duration MaxAge;     ///< Maximum age of the confirmation for accepting keys.
};

/// \returns the team of requests without a key, which are admitted only to
/// classes with AllowAnonymous.
const TeamId &anonymousTeam();

/// Checks requests and keys against one version of the fleet configuration.
/// Immutable after construction.
class Admission {
public:
  explicit Admission(std::shared_ptr<const Fleet> Config);

  /// \returns the team and class, or the reason why the request is refused. A
  /// request is scheduled only after admission, so a refused one has not run.
  Result<AdmittedRequest> admit(const AdmissionRequest &Request,
                                ConfigurationProof Proof, Instant Now) const;

  /// \returns the identifier of the operator's key \p Key; KeyWithdrawn or
  /// KeyUnknown if it is not valid.
  Result<KeyId> authenticateOperator(const std::string &Key) const;

  /// \returns the team that \p Key belongs to; KeyWithdrawn or KeyUnknown if it
  /// is not valid.
  Result<TeamId> teamOfKey(const std::string &Key) const;

private:
  struct TeamKey {
    TeamId Team;
    KeyRecord Record;
  };

  std::shared_ptr<const Fleet> Config;
  std::unordered_map<KeyId, TeamKey> KeysById;
};

} // namespace sardinerill
