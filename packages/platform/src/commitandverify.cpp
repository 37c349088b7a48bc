#include "sardinerill/platform/iplatform.h"

#include "sardinerill/base/text.h"

namespace sardinerill {

namespace {

constexpr int MaxVerifyAttempts = 3;
constexpr std::size_t WriteIdBytes = 12;

Revision expectedRevision(const Transaction &Txn, const RowKey &Key) {
  for (const RowCondition &Required : Txn.Conditions)
    if (Required.Key == Key)
      return Required.Expected;
  return 0;
}

} // namespace

Result<CommitOutcome> commitAndVerify(ITable &Table, const Transaction &Txn) {
  Result<CommitOutcome> Outcome = Table.commit(Txn);
  if (Outcome && *Outcome == CommitOutcome::Committed)
    return Outcome;
  const RowKey &FirstKey = Txn.Writes.front().Key;
  for (int Attempt = 0; Attempt < MaxVerifyAttempts; ++Attempt) {
    Result<std::vector<Row>> Rows = Table.read({FirstKey});
    if (!Rows)
      continue;
    const Row &Found = Rows->front();
    if (Found.WriteId == Txn.WriteId)
      return CommitOutcome::Committed;
    if (Outcome)
      return CommitOutcome::Conflict;
    // The reply was lost and the row does not carry this write ID. While the
    // row is at its expected revision, the transaction may still be in flight
    // and be applied later; only a new revision rules that out. So it is sent
    // again unless the revision has changed.
    if (Found.Rev != expectedRevision(Txn, FirstKey))
      return makeError(ErrorKind::PlatformUnavailable,
                       "outcome of a write unknown: the row has changed since");
    Result<CommitOutcome> RetryOutcome = Table.commit(Txn);
    if (RetryOutcome && *RetryOutcome == CommitOutcome::Committed)
      return RetryOutcome;
    Outcome = RetryOutcome;
  }
  return makeError(ErrorKind::PlatformUnavailable,
                   "outcome of a write unknown after " +
                       std::to_string(MaxVerifyAttempts) +
                       " attempts to verify it");
}

std::string makeWriteId() { return randomHex(WriteIdBytes); }

} // namespace sardinerill
