#include "sardinerill/dispatch/claims.h"

namespace sardinerill {

namespace {

/// Returned to the caller if the platform's table can't be used.
constexpr milliseconds ClaimRetryAfter{1000};
/// The retries follow without a delay and aren't subject to the call limiter.
constexpr unsigned MaxReleaseRetries = 5;

RowKey claimRowKey(const ClaimKey &Claim) {
  return RowKey{"claims", Claim.Team.str() + "/" + Claim.IdempotencyKey};
}

Result<void> insertClaim(ITable &Table, const RowKey &Key,
                         const RequestId &Id) {
  const Transaction Insertion{makeWriteId(), {{Key, 0}}, {{Key, Id.str()}}};
  Result<CommitOutcome> Outcome = commitAndVerify(Table, Insertion);
  if (!Outcome)
    return makeError(
        ErrorKind::PlatformUnavailable,
        "cannot determine whether the Idempotency-Key was used before",
        ClaimRetryAfter);
  if (*Outcome == CommitOutcome::Conflict)
    return makeError(ErrorKind::DuplicateRequest,
                     "the Idempotency-Key was used before");
  return {};
}

/// Deletes the claim row if it belongs to request \p Id.
/// \returns false if the deletion has to be retried.
bool deleteClaim(ITable &Table, const RowKey &Key, const RequestId &Id) {
  Result<std::vector<Row>> Read = Table.read({Key});
  if (!Read)
    return false;
  const Row &Found = Read->front();
  if (Found.Rev == 0 || Found.Value != Id.str())
    return true;
  const Transaction Deletion{makeWriteId(), {{Key, Found.Rev}}, {{Key, {}}}};
  return Table.commit(Deletion).has_value();
}

} // namespace

void TableClaims::claim(const ClaimKey &Claim, const RequestId &Id,
                        Callback OnDone) {
  if (!this->Limiter.tryAcquire(CallPriority::Urgent, this->Clock.now())) {
    OnDone(makeError(ErrorKind::PlatformUnavailable,
                     "platform calls are suspended by the rate limit or the "
                     "circuit breaker",
                     ClaimRetryAfter));
    return;
  }
  const RowKey Key = claimRowKey(Claim);
  runInBackground<Result<void>>(
      this->Background,
      [&Table = this->Table, Key, Id] { return insertClaim(Table, Key, Id); },
      [this, Claim, Id, OnDone = std::move(OnDone)](Result<void> Outcome) {
        const bool OutcomeKnown =
            Outcome || Outcome.error().Kind == ErrorKind::DuplicateRequest;
        this->Limiter.recordOutcome(OutcomeKnown, this->Clock.now());
        // The row may have been written although the outcome is unknown. Delete
        // it, because the request is rejected and will not run.
        if (!OutcomeKnown)
          this->release(Claim, Id);
        OnDone(std::move(Outcome));
      });
}

void TableClaims::release(const ClaimKey &Claim, const RequestId &Id) {
  this->tryRelease(claimRowKey(Claim), Id, MaxReleaseRetries);
}

void TableClaims::tryRelease(const RowKey &Key, const RequestId &Id,
                             unsigned RetriesLeft) {
  runInBackground<bool>(
      this->Background,
      [&Table = this->Table, Key, Id] { return deleteClaim(Table, Key, Id); },
      [this, Key, Id, RetriesLeft](bool Deleted) {
        if (Deleted || RetriesLeft == 0)
          return;
        // Counted under this reason whatever made the read or commit fail.
        this->Stats.countRetry(RetryReason::PlatformTimeout);
        this->tryRelease(Key, Id, RetriesLeft - 1);
      });
}

} // namespace sardinerill
