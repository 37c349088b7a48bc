#include "sardinerill/admission/admission.h"

#include "sardinerill/admission/keys.h"

namespace sardinerill {

namespace {

constexpr milliseconds ConfirmationRetryAfter{2000};

} // namespace

const TeamId &anonymousTeam() {
  static const TeamId Open("open");
  return Open;
}

Admission::Admission(std::shared_ptr<const Fleet> Config)
    : Config(std::move(Config)) {
  for (const auto &[Id, Team] : this->Config->Teams)
    for (const KeyRecord &Record : Team.Keys)
      this->KeysById.emplace(Record.Id, TeamKey{Id, Record});
}

Result<TeamId> Admission::teamOfKey(const std::string &Key) const {
  const std::optional<KeyId> Id = parseKeyId(Key);
  const auto Found = Id ? this->KeysById.find(*Id) : this->KeysById.end();
  if (Found == this->KeysById.end() || !matchesKey(Found->second.Record, Key))
    return makeError(ErrorKind::KeyUnknown,
                     "the key does not belong to a team");
  if (Found->second.Record.Withdrawn)
    return makeError(ErrorKind::KeyWithdrawn, "the key was withdrawn");
  return Found->second.Team;
}

Result<AdmittedRequest> Admission::admit(const AdmissionRequest &Request,
                                         ConfigurationProof Proof,
                                         Instant Now) const {
  const auto Class = this->Config->Classes.find(Request.Class);
  if (Class == this->Config->Classes.end())
    return makeError(ErrorKind::ClassUnknown,
                     "no class is named \"" + Request.Class.str() + "\"");
  if (!Class->second.Idempotent && !Request.HasIdempotencyKey)
    return makeError(
        ErrorKind::IdempotencyKeyMissing,
        "class \"" + Request.Class.str() +
            "\" runs work at most once and requires an Idempotency-Key header");
  if (!Request.Key) {
    if (Class->second.AllowAnonymous)
      return AdmittedRequest{anonymousTeam(), Class->second};
    return makeError(ErrorKind::KeyMissing,
                     "send the team's key as Authorization: Bearer");
  }
  if (Now - Proof.ConfirmedAt > Proof.MaxAge)
    return makeError(
        ErrorKind::KeyCheckUnavailable,
        "the fleet configuration was not confirmed within the last " +
            std::to_string(
                std::chrono::duration_cast<milliseconds>(Proof.MaxAge)
                    .count()) +
            " ms",
        ConfirmationRetryAfter);
  Result<TeamId> Team = this->teamOfKey(*Request.Key);
  if (!Team)
    return tl::unexpected(Team.error());
  return AdmittedRequest{*Team, Class->second};
}

Result<KeyId> Admission::authenticateOperator(const std::string &Key) const {
  const std::optional<KeyId> Id = parseKeyId(Key);
  for (const KeyRecord &Record : this->Config->OperatorKeys) {
    if (!Id || Record.Id != *Id || !matchesKey(Record, Key))
      continue;
    if (Record.Withdrawn)
      return makeError(ErrorKind::KeyWithdrawn, "the key was withdrawn");
    return *Id;
  }
  return makeError(ErrorKind::KeyUnknown,
                   "the key does not belong to an operator");
}

} // namespace sardinerill
