#include "sardinerill/platform/iplatform.h"

#include "sardinerill/base/text.h"

namespace sardinerill {

namespace {

constexpr int SettleReads = 3;
constexpr std::size_t WriteIdBytes = 12;

Revision expectedRevision(const Transaction &Change, const RowKey &Key) {
  for (const Condition &Wanted : Change.Conditions)
    if (Wanted.Key == Key)
      return Wanted.Expected;
  return 0;
}

} // namespace

Result<CommitOutcome> commitSettled(ITable &Table, const Transaction &Change) {
  Result<CommitOutcome> Outcome = Table.commit(Change);
  if (Outcome && *Outcome == CommitOutcome::Committed)
    return Outcome;
  const RowKey &Witness = Change.Writes.front().Key;
  for (int Attempt = 0; Attempt < SettleReads; ++Attempt) {
    Result<std::vector<Row>> Rows = Table.read({Witness});
    if (!Rows)
      continue;
    const Row &Found = Rows->front();
    if (Found.WriteId == Change.WriteId)
      return CommitOutcome::Committed;
    if (Outcome)
      return CommitOutcome::Conflict;
    // The reply was lost and the row does not carry this write ID. While the
    // row is at its expected revision, the transaction may still be in flight
    // and be applied later; only a new revision rules that out. So it is sent
    // again unless the revision has changed.
    if (Found.Rev != expectedRevision(Change, Witness))
      return makeError(ErrorKind::PlatformUnavailable,
                       "another write hides whether this one took effect");
    Result<CommitOutcome> Again = Table.commit(Change);
    if (Again && *Again == CommitOutcome::Committed)
      return Again;
    Outcome = Again;
  }
  return makeError(ErrorKind::PlatformUnavailable,
                   "the outcome of a write could not be read back");
}

std::string makeWriteId() { return randomHex(WriteIdBytes); }

} // namespace sardinerill
