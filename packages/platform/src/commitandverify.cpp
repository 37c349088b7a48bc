#include "sardinerill/platform/iplatform.h"

#include "sardinerill/base/text.h"

#include <algorithm>

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

/// \returns the keys of the rows that show whether \p Txn was applied: the
/// first that it sets, which carries its write ID, or all that it deletes if it
/// sets none.
std::vector<RowKey> keysToVerify(const Transaction &Txn) {
  std::vector<RowKey> Deleted;
  for (const RowWrite &Write : Txn.Writes) {
    if (Write.Value)
      return {Write.Key};
    Deleted.push_back(Write.Key);
  }
  return Deleted;
}

/// \param Rows the rows of keysToVerify().
bool isApplied(const Transaction &Txn, const std::vector<Row> &Rows) {
  const bool SetsRow = std::any_of(
      Txn.Writes.begin(), Txn.Writes.end(),
      [](const RowWrite &Write) { return Write.Value.has_value(); });
  return std::all_of(Rows.begin(), Rows.end(), [&](const Row &Found) {
    // A deleted row carries no write ID, and it is gone whoever deleted it.
    return SetsRow ? Found.WriteId == Txn.WriteId : Found.Rev == 0;
  });
}

} // namespace

Result<CommitOutcome> commitAndVerify(ITable &Table, const Transaction &Txn) {
  Result<CommitOutcome> Outcome = Table.commit(Txn);
  if (Outcome && *Outcome == CommitOutcome::Committed)
    return Outcome;
  const std::vector<RowKey> Keys = keysToVerify(Txn);
  for (int Attempt = 0; Attempt < MaxVerifyAttempts; ++Attempt) {
    Result<std::vector<Row>> Rows = Table.read(Keys);
    if (!Rows || Rows->size() != Keys.size())
      continue;
    if (isApplied(Txn, *Rows))
      return CommitOutcome::Committed;
    if (Outcome)
      return CommitOutcome::Conflict;
    // The reply was lost and the rows do not show the transaction. While they
    // are at their expected revisions, it may still be in flight and be applied
    // later; only a new revision rules that out. So it is sent again unless a
    // revision has changed.
    const bool IsChanged =
        std::any_of(Rows->begin(), Rows->end(), [&](const Row &Found) {
          return Found.Rev != expectedRevision(Txn, Found.Key);
        });
    if (IsChanged)
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
