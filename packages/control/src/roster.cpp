#include "sardinerill/control/roster.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/platform/platformcodec.h"

namespace sardinerill {

using nlohmann::json;

namespace {

const std::string RosterTable = "daemons";
constexpr unsigned MaxRegistrationAttempts = 5;

struct RosterRow {
  std::uint64_t Incarnation = 0;
  PeerEndpoint Endpoint;
};

Result<RosterRow> decodeRow(const Row &StoredRow) {
  Result<json> Value = parseJson(StoredRow.Value);
  if (!Value)
    return tl::unexpected(Value.error());
  try {
    return RosterRow{Value->at("incarnation").get<std::uint64_t>(),
                     PeerEndpoint{ZoneId(Value->at("zone").get<std::string>()),
                                  Value->at("address").get<std::string>(),
                                  Value->at("port").get<unsigned short>()}};
  } catch (const json::exception &Exception) {
    return makeError(ErrorKind::BadRequest, Exception.what());
  }
}

std::string encodeRow(const RosterRow &Entry) {
  return json{{"incarnation", Entry.Incarnation},
              {"zone", Entry.Endpoint.Zone.str()},
              {"address", Entry.Endpoint.Address},
              {"port", Entry.Endpoint.Port}}
      .dump();
}

} // namespace

Result<std::uint64_t> registerDaemon(ITable &Table,
                                     const DaemonIdentity &Requested,
                                     const PeerEndpoint &Endpoint) {
  const RowKey Key{RosterTable, Requested.Vm};
  for (unsigned Attempt = 0; Attempt < MaxRegistrationAttempts; ++Attempt) {
    Result<std::vector<Row>> StoredRows = Table.read({Key});
    if (!StoredRows)
      return tl::unexpected(StoredRows.error());
    RosterRow OwnRow{Requested.Incarnation, Endpoint};
    if (Result<RosterRow> Previous = decodeRow(StoredRows->front()); Previous)
      OwnRow.Incarnation =
          std::max(OwnRow.Incarnation, Previous->Incarnation + 1);
    const Transaction Change{makeWriteId(),
                             {{Key, StoredRows->front().Rev}},
                             {{Key, encodeRow(OwnRow)}}};
    Result<CommitOutcome> Outcome = commitAndVerify(Table, Change);
    if (!Outcome)
      return tl::unexpected(Outcome.error());
    if (*Outcome == CommitOutcome::Committed)
      return OwnRow.Incarnation;
  }
  return makeError(
      ErrorKind::VersionConflict,
      "registration conflicts with other processes that register as " +
          Requested.Vm);
}

Result<void> renewRegistration(ITable &Table, const DaemonIdentity &Self,
                               const PeerEndpoint &Endpoint) {
  const RowKey Key{RosterTable, Self.Vm};
  Result<std::vector<Row>> StoredRows = Table.read({Key});
  if (!StoredRows)
    return tl::unexpected(StoredRows.error());
  const RosterRow OwnRow{Self.Incarnation, Endpoint};
  if (Result<RosterRow> Stored = decodeRow(StoredRows->front()); Stored) {
    if (Stored->Incarnation > Self.Incarnation)
      return makeError(ErrorKind::VersionConflict,
                       "incarnation " + std::to_string(Stored->Incarnation) +
                           " is registered, this process is " +
                           std::to_string(Self.Incarnation));
    if (Stored->Incarnation == Self.Incarnation && Stored->Endpoint == Endpoint)
      return {};
  }
  Result<CommitOutcome> Outcome =
      commitAndVerify(Table, Transaction{makeWriteId(),
                                         {{Key, StoredRows->front().Rev}},
                                         {{Key, encodeRow(OwnRow)}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  if (*Outcome == CommitOutcome::Conflict)
    return makeError(ErrorKind::PlatformUnavailable,
                     "the row was changed in the meantime");
  return {};
}

Result<void> deregisterDaemon(ITable &Table, const DaemonIdentity &Self) {
  const RowKey Key{RosterTable, Self.Vm};
  Result<std::vector<Row>> StoredRows = Table.read({Key});
  if (!StoredRows)
    return tl::unexpected(StoredRows.error());
  Result<RosterRow> OwnRow = decodeRow(StoredRows->front());
  if (!OwnRow || OwnRow->Incarnation != Self.Incarnation)
    return {};
  Result<CommitOutcome> Outcome = commitAndVerify(
      Table, Transaction{
                 makeWriteId(), {{Key, StoredRows->front().Rev}}, {{Key, {}}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  return {};
}

Result<std::map<DaemonId, PeerEndpoint>> readRoster(ITable &Table) {
  Result<std::vector<Row>> Rows = Table.scan(RosterTable);
  if (!Rows)
    return tl::unexpected(Rows.error());
  std::map<DaemonId, PeerEndpoint> Roster;
  for (const Row &StoredRow : *Rows) {
    Result<RosterRow> Entry = decodeRow(StoredRow);
    if (Entry)
      Roster[makeDaemonId({StoredRow.Key.Key, Entry->Incarnation})] =
          Entry->Endpoint;
    else
      logEvent(
          LogLevel::Warning, "roster.row_unreadable",
          {{"daemon", StoredRow.Key.Key}, {"detail", Entry.error().Detail}});
  }
  return Roster;
}

} // namespace sardinerill
