#include "sardinerill/dispatch/claims.h"

namespace sardinerill {

namespace {

constexpr milliseconds RetryAfter{1000};
constexpr unsigned ReleaseTries = 5;

RowKey claimKey(const ClaimName &Name) {
  return RowKey{"claims", Name.Team.str() + "/" + Name.IdempotencyKey};
}

Result<void> makeClaim(ITable &Table, const RowKey &Key, const RequestId &Id) {
  const Transaction Claim{makeWriteId(), {{Key, 0}}, {{Key, Id.str()}}};
  Result<CommitOutcome> Outcome = commitSettled(Table, Claim);
  if (!Outcome)
    return makeError(ErrorKind::PlatformUnavailable,
                     "it can't be told whether this request was sent before",
                     RetryAfter);
  if (*Outcome == CommitOutcome::Conflict)
    return makeError(ErrorKind::DuplicateRequest,
                     "the Idempotency-Key was used before");
  return {};
}

/// \returns false if it has to be tried again.
bool dropClaim(ITable &Table, const RowKey &Key, const RequestId &Id) {
  Result<std::vector<Row>> Read = Table.read({Key});
  if (!Read)
    return false;
  const Row &Found = Read->front();
  if (Found.Rev == 0 || Found.Value != Id.str())
    return true;
  const Transaction Drop{makeWriteId(), {{Key, Found.Rev}}, {{Key, {}}}};
  return Table.commit(Drop).has_value();
}

} // namespace

void TableClaims::claim(const ClaimName &Name, const RequestId &Id,
                        Done Finished) {
  if (!this->Gate.allow(CallPriority::Urgent, this->Clock.now())) {
    Finished(makeError(ErrorKind::PlatformUnavailable,
                       "the platform can't be asked now", RetryAfter));
    return;
  }
  const RowKey Key = claimKey(Name);
  runFor<Result<void>>(
      this->Background,
      [&Table = this->Table, Key, Id] { return makeClaim(Table, Key, Id); },
      [this, Name, Id, Finished = std::move(Finished)](Result<void> Outcome) {
        const bool Known =
            Outcome || Outcome.error().Kind == ErrorKind::DuplicateRequest;
        this->Gate.record(Known, this->Clock.now());
        // An unknown outcome may have left a claim that nothing stands for.
        if (!Known)
          this->release(Name, Id);
        Finished(std::move(Outcome));
      });
}

void TableClaims::release(const ClaimName &Name, const RequestId &Id) {
  this->releaseOnce(claimKey(Name), Id, ReleaseTries);
}

void TableClaims::releaseOnce(const RowKey &Key, const RequestId &Id,
                              unsigned Tries) {
  runFor<bool>(
      this->Background,
      [&Table = this->Table, Key, Id] { return dropClaim(Table, Key, Id); },
      [this, Key, Id, Tries](bool Dropped) {
        if (Dropped || Tries == 0)
          return;
        this->Figures.countRetry(RetryReason::PlatformTimeout);
        this->releaseOnce(Key, Id, Tries - 1);
      });
}

} // namespace sardinerill
