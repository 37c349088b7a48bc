#include "sardinerill/control/roster.h"

#include "sardinerill/platform/platformcodec.h"

namespace sardinerill {

using nlohmann::json;

namespace {

const std::string TableName = "daemons";
constexpr unsigned MaxConflicts = 5;

struct RosterRow {
  std::uint64_t Incarnation = 0;
  Contact Where;
};

Result<RosterRow> decodeRow(const Row &Read) {
  Result<json> Value = parseJson(Read.Value);
  if (!Value)
    return tl::unexpected(Value.error());
  try {
    return RosterRow{Value->at("incarnation").get<std::uint64_t>(),
                     Contact{ZoneId(Value->at("zone").get<std::string>()),
                             Value->at("address").get<std::string>(),
                             Value->at("port").get<unsigned short>()}};
  } catch (const json::exception &Fault) {
    return makeError(ErrorKind::BadRequest, Fault.what());
  }
}

std::string encodeRow(const RosterRow &Entry) {
  return json{{"incarnation", Entry.Incarnation},
              {"zone", Entry.Where.Zone.str()},
              {"address", Entry.Where.Address},
              {"port", Entry.Where.Port}}
      .dump();
}

} // namespace

Result<std::uint64_t> registerDaemon(ITable &Table, const DaemonName &Wanted,
                                     const Contact &Where) {
  const RowKey Key{TableName, Wanted.Vm};
  for (unsigned Try = 0; Try < MaxConflicts; ++Try) {
    Result<std::vector<Row>> Read = Table.read({Key});
    if (!Read)
      return tl::unexpected(Read.error());
    RosterRow Mine{Wanted.Incarnation, Where};
    if (Result<RosterRow> Old = decodeRow(Read->front()); Old)
      Mine.Incarnation = std::max(Mine.Incarnation, Old->Incarnation + 1);
    const Transaction Change{
        makeWriteId(), {{Key, Read->front().Rev}}, {{Key, encodeRow(Mine)}}};
    Result<CommitOutcome> Outcome = commitSettled(Table, Change);
    if (!Outcome)
      return tl::unexpected(Outcome.error());
    if (*Outcome == CommitOutcome::Committed)
      return Mine.Incarnation;
  }
  return makeError(ErrorKind::VersionConflict,
                   "other processes register as " + Wanted.Vm);
}

Result<void> signOff(ITable &Table, const DaemonName &Self) {
  const RowKey Key{TableName, Self.Vm};
  Result<std::vector<Row>> Read = Table.read({Key});
  if (!Read)
    return tl::unexpected(Read.error());
  Result<RosterRow> Mine = decodeRow(Read->front());
  if (!Mine || Mine->Incarnation != Self.Incarnation)
    return {};
  Result<CommitOutcome> Outcome = commitSettled(
      Table,
      Transaction{makeWriteId(), {{Key, Read->front().Rev}}, {{Key, {}}}});
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  return {};
}

Result<std::map<DaemonId, Contact>> readRoster(ITable &Table) {
  Result<std::vector<Row>> Rows = Table.scan(TableName);
  if (!Rows)
    return tl::unexpected(Rows.error());
  std::map<DaemonId, Contact> Roster;
  for (const Row &Read : *Rows)
    if (Result<RosterRow> Entry = decodeRow(Read); Entry)
      Roster[daemonIdOf({Read.Key.Key, Entry->Incarnation})] = Entry->Where;
  return Roster;
}

} // namespace sardinerill
