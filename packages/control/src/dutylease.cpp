#include "sardinerill/control/dutylease.h"

#include "sardinerill/platform/platformcodec.h"

namespace sardinerill {

using nlohmann::json;

namespace {

RowKey dutyKey(const std::string &Duty) { return RowKey{"duties", Duty}; }

} // namespace

DutyAction decideDuty(const DutyView &Seen, const DaemonId &Self, Instant Now,
                      Duration LeaseTime) {
  if (Seen.Holder == Self)
    return DutyAction::Renew;
  if (Seen.Rev == 0 || Now - Seen.SeenAt >= LeaseTime)
    return DutyAction::Take;
  return DutyAction::Wait;
}

Result<DutyView> readDuty(ITable &Table, const std::string &Duty) {
  Result<std::vector<Row>> Read = Table.read({dutyKey(Duty)});
  if (!Read)
    return tl::unexpected(Read.error());
  DutyView View;
  View.Rev = Read->front().Rev;
  Result<json> Value = parseJson(Read->front().Value);
  if (!Value || !Value->is_object())
    return View;
  if (const json Holder = Value->value("holder", json()); Holder.is_string())
    View.Holder = DaemonId(Holder.get<std::string>());
  if (const json Fence = Value->value("fence", json());
      Fence.is_number_unsigned())
    View.Fence = Fence.get<std::uint64_t>();
  return View;
}

Result<DutyView> holdDuty(ITable &Table, const std::string &Duty,
                          const DutyView &Seen, const DaemonId &Self) {
  DutyView Held = Seen;
  Held.Holder = Self;
  Held.Fence = Seen.Holder == Self ? Seen.Fence : Seen.Fence + 1;
  const RowKey Key = dutyKey(Duty);
  const json Value{{"holder", Self.str()}, {"fence", Held.Fence}};
  Result<CommitOutcome> Outcome = commitSettled(
      Table,
      Transaction{makeWriteId(), {{Key, Seen.Rev}}, {{Key, Value.dump()}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  if (*Outcome == CommitOutcome::Conflict)
    return makeError(ErrorKind::VersionConflict, "the duty has moved on");
  Result<DutyView> Now = readDuty(Table, Duty);
  if (!Now)
    return Now;
  if (Now->Holder != Self || Now->Fence != Held.Fence)
    return makeError(ErrorKind::VersionConflict, "the duty has moved on");
  return Now;
}

Result<void> dropDuty(ITable &Table, const std::string &Duty,
                      const DutyView &Held) {
  const RowKey Key = dutyKey(Duty);
  Result<CommitOutcome> Outcome = commitSettled(
      Table, Transaction{makeWriteId(), {{Key, Held.Rev}}, {{Key, {}}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  return {};
}

Condition fenceOf(const std::string &Duty, const DutyView &Held) {
  return Condition{dutyKey(Duty), Held.Rev};
}

} // namespace sardinerill
