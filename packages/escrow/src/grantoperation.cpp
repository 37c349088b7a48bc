#include "sardinerill/escrow/grantoperation.h"

#include "sardinerill/base/logging.h"

namespace sardinerill {

namespace {

constexpr unsigned MaxAttempts = 6;
const std::string TableName = "escrow";

GrantRow applyOperation(const GrantRow &Row, const GrantOperation &Operation) {
  GrantRow Changed = Row;
  if (Operation.LimitVersion > 0)
    Changed = withLimit(Row, Operation.Limit, Operation.LimitVersion);
  if (!Operation.InheritFrom.empty())
    Changed = withInherited(Changed, Operation.InheritFrom, Operation.Holder);
  if (Operation.LowerTo)
    Changed = withLowered(Changed, Operation.Holder, *Operation.LowerTo);
  return withRaised(Changed, Operation.Holder, Operation.RaiseBy);
}

/// Logs a row that can't be decoded: its units are out of use.
Result<GrantRow> decodeRow(const Row &Read) {
  if (Read.Rev == 0)
    return GrantRow{};
  Result<GrantRow> Decoded = decodeGrantRow(Read.Value);
  if (!Decoded)
    logEvent(LogLevel::Warning, "escrow.row_unreadable",
             {{"resource", Read.Key.Key}, {"detail", Decoded.error().Detail}});
  return Decoded;
}

Result<CommitOutcome> writeRow(ITable &Table, const Row &Read,
                               const GrantRow &Changed) {
  return commitAndVerify(Table,
                         Transaction{makeWriteId(),
                                     {{Read.Key, Read.Rev}},
                                     {{Read.Key, encodeGrantRow(Changed)}}});
}

} // namespace

RowKey grantRowKey(const ResourceId &Resource) {
  return RowKey{TableName, Resource.str()};
}

GrantOutcome runGrantOperation(ITable &Table, const GrantOperation &Operation) {
  GrantOutcome Outcome;
  while (Outcome.Conflicts < MaxAttempts) {
    Result<std::vector<Row>> Read =
        Table.read({grantRowKey(Operation.Resource)});
    if (!Read)
      return Outcome;
    const Row &Current = Read->front();
    Result<GrantRow> Decoded = decodeRow(Current);
    if (!Decoded)
      return Outcome;
    const GrantRow Changed = applyOperation(*Decoded, Operation);
    if (Changed == *Decoded && !Operation.ForceWrite) {
      Outcome.Known = true;
      Outcome.Row = Changed;
      Outcome.MinRevision = Current.Rev;
      return Outcome;
    }
    Result<CommitOutcome> Written = writeRow(Table, Current, Changed);
    if (!Written)
      return Outcome;
    if (*Written == CommitOutcome::Committed) {
      Outcome.Known = true;
      Outcome.Row = Changed;
      Outcome.MinRevision = Current.Rev + 1;
      return Outcome;
    }
    ++Outcome.Conflicts;
  }
  return Outcome;
}

Result<std::vector<ResourceGrant>>
scanGrants(ITable &Table,
           const std::function<bool(const DaemonId &)> &Matches) {
  Result<std::vector<Row>> Rows = Table.scan(TableName);
  if (!Rows)
    return tl::unexpected(Rows.error());
  std::vector<ResourceGrant> Found;
  for (const Row &Read : *Rows) {
    Result<GrantRow> Decoded = decodeRow(Read);
    if (!Decoded)
      continue;
    for (const Grant &Entry : Decoded->Grants)
      if (Matches(Entry.Holder))
        Found.push_back(
            ResourceGrant{ResourceId(Read.Key.Key), Entry.Holder, Entry.Units});
  }
  return Found;
}

Result<unsigned> reclaimGrants(ITable &Table, const DaemonId &Holder) {
  Result<std::vector<Row>> Rows = Table.scan(TableName);
  if (!Rows)
    return tl::unexpected(Rows.error());
  unsigned Reclaimed = 0;
  for (const Row &Read : *Rows) {
    Result<GrantRow> Decoded = decodeRow(Read);
    if (!Decoded)
      continue;
    const unsigned Units = grantOf(*Decoded, Holder).Units;
    const GrantRow Changed = withReclaimed(*Decoded, Holder);
    if (Changed == *Decoded)
      continue;
    Result<CommitOutcome> Written = writeRow(Table, Read, Changed);
    if (!Written)
      return tl::unexpected(Written.error());
    if (*Written == CommitOutcome::Conflict)
      return makeError(ErrorKind::VersionConflict, Read.Key.Key);
    Reclaimed += Units;
  }
  return Reclaimed;
}

} // namespace sardinerill
