#include "sardinerill/control/leaderlease.h"

#include "sardinerill/platform/platformcodec.h"

namespace sardinerill {

using nlohmann::json;

namespace {

RowKey leaseRowKey(const std::string &Duty) { return RowKey{"duties", Duty}; }

} // namespace

LeaseAction decideLeaseAction(const LeaderLease &LastRead, const DaemonId &Self,
                              Instant Now, Duration LeaseDuration) {
  if (LastRead.Holder == Self)
    return LeaseAction::Renew;
  if (LastRead.Rev == 0 || Now - LastRead.FirstSeenAt >= LeaseDuration)
    return LeaseAction::Acquire;
  return LeaseAction::Wait;
}

Result<LeaderLease> readLeaderLease(ITable &Table, const std::string &Duty) {
  Result<std::vector<Row>> StoredRows = Table.read({leaseRowKey(Duty)});
  if (!StoredRows)
    return tl::unexpected(StoredRows.error());
  LeaderLease Lease;
  Lease.Rev = StoredRows->front().Rev;
  Result<json> Value = parseJson(StoredRows->front().Value);
  if (!Value || !Value->is_object())
    return Lease;
  if (const json Holder = Value->value("holder", json()); Holder.is_string())
    Lease.Holder = DaemonId(Holder.get<std::string>());
  if (const json FencingToken = Value->value("fence", json());
      FencingToken.is_number_unsigned())
    Lease.FencingToken = FencingToken.get<std::uint64_t>();
  return Lease;
}

Result<LeaderLease> acquireOrRenewLeaderLease(ITable &Table,
                                              const std::string &Duty,
                                              const LeaderLease &LastRead,
                                              const DaemonId &Self) {
  LeaderLease Lease = LastRead;
  Lease.Holder = Self;
  Lease.FencingToken = LastRead.Holder == Self ? LastRead.FencingToken
                                               : LastRead.FencingToken + 1;
  const RowKey Key = leaseRowKey(Duty);
  const json Value{{"holder", Self.str()}, {"fence", Lease.FencingToken}};
  Result<CommitOutcome> Outcome = commitAndVerify(
      Table,
      Transaction{makeWriteId(), {{Key, LastRead.Rev}}, {{Key, Value.dump()}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  if (*Outcome == CommitOutcome::Conflict)
    return makeError(ErrorKind::VersionConflict,
                     "another daemon changed the lease of duty " + Duty);
  // Read the revision that the commit gave to the row.
  Result<LeaderLease> Confirmed = readLeaderLease(Table, Duty);
  if (!Confirmed)
    return Confirmed;
  if (Confirmed->Holder != Self ||
      Confirmed->FencingToken != Lease.FencingToken)
    return makeError(ErrorKind::VersionConflict,
                     "another daemon changed the lease of duty " + Duty);
  return Confirmed;
}

Result<void> releaseLeaderLease(ITable &Table, const std::string &Duty,
                                const LeaderLease &Held) {
  const RowKey Key = leaseRowKey(Duty);
  Result<CommitOutcome> Outcome = commitAndVerify(
      Table, Transaction{makeWriteId(), {{Key, Held.Rev}}, {{Key, {}}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  return {};
}

RowCondition leaseCondition(const std::string &Duty, const LeaderLease &Held) {
  return RowCondition{leaseRowKey(Duty), Held.Rev};
}

} // namespace sardinerill
