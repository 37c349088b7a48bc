#include "sardinerill/fleet/fleetlog.h"

#include "sardinerill/fleet/fleetdocument.h"
#include "sardinerill/platform/platformcodec.h"

namespace sardinerill {

using nlohmann::json;

namespace {

/// Interval between snapshots; a starting daemon normally reads at most this
/// many change rows.
constexpr FleetVersion ChangesPerSnapshot = 64;

const RowKey HeadKey{"fleet", "head"};

RowKey changeKey(FleetVersion Version) {
  return RowKey{"fleet", "change/" + std::to_string(Version)};
}

std::string snapshotName(FleetVersion Version) {
  return "fleet/" + std::to_string(Version);
}

struct Head {
  FleetVersion Version = 0;
  FleetVersion SnapshotVersion = 0;
};

Result<Head> decodeHead(const Row &HeadRow) {
  if (HeadRow.Rev == 0)
    return Head{};
  Result<json> Value = parseJson(HeadRow.Value);
  if (!Value || !Value->is_object() ||
      !Value->value("version", json()).is_number_unsigned() ||
      !Value->value("snapshot", json()).is_number_unsigned())
    return makeError(ErrorKind::PlatformUnavailable,
                     "the fleet's head row is malformed");
  return Head{(*Value)["version"].get<FleetVersion>(),
              (*Value)["snapshot"].get<FleetVersion>()};
}

} // namespace

Result<FleetSnapshot> FleetLog::loadSnapshot(FleetVersion Version) {
  if (Version == 0)
    return FleetSnapshot{};
  Result<std::string> Bytes = this->Platform.getObject(snapshotName(Version));
  if (!Bytes)
    return tl::unexpected(Bytes.error());
  Result<json> Document = parseJson(*Bytes);
  if (!Document)
    return makeError(ErrorKind::PlatformUnavailable,
                     "snapshot " + std::to_string(Version) + " is malformed");
  return FleetSnapshot{Version, *Document, 0, Version};
}

Result<FleetSnapshot> FleetLog::catchUp(const FleetSnapshot &Known) {
  Result<std::vector<Row>> HeadRows = this->Platform.read({HeadKey});
  if (!HeadRows)
    return tl::unexpected(HeadRows.error());
  const Row &HeadRow = HeadRows->front();
  Result<Head> Newest = decodeHead(HeadRow);
  if (!Newest)
    return tl::unexpected(Newest.error());
  FleetSnapshot Current = Known;
  if (Newest->Version < Known.Version)
    return Current;
  if (Newest->SnapshotVersion > Known.Version) {
    Result<FleetSnapshot> Loaded = this->loadSnapshot(Newest->SnapshotVersion);
    if (!Loaded)
      return Loaded;
    Current = *Loaded;
  }
  Current.HeadRevision = HeadRow.Rev;
  Current.SnapshotVersion = Newest->SnapshotVersion;
  if (Current.Version == Newest->Version)
    return Current;
  std::vector<RowKey> Missing;
  for (FleetVersion V = Current.Version + 1; V <= Newest->Version; ++V)
    Missing.push_back(changeKey(V));
  Result<std::vector<Row>> Changes = this->Platform.read(Missing);
  if (!Changes)
    return tl::unexpected(Changes.error());
  for (const Row &Change : *Changes) {
    Result<json> Value = parseJson(Change.Value);
    if (Change.Rev == 0 || !Value || !Value->is_object() ||
        !Value->contains("patch"))
      return makeError(ErrorKind::PlatformUnavailable,
                       "row " + Change.Key.Key + " is malformed");
    Current.Document.merge_patch((*Value)["patch"]);
    ++Current.Version;
  }
  return Current;
}

void FleetLog::storeSnapshot(const FleetSnapshot &Current) {
  Result<void> Written = this->Platform.putObject(snapshotName(Current.Version),
                                                  Current.Document.dump());
  if (!Written)
    return;
  const json NewHead{{"version", Current.Version},
                     {"snapshot", Current.Version}};
  // If another change is committed first, a snapshot is stored after a later
  // change.
  (void)commitAndVerify(this->Platform,
                        Transaction{makeWriteId(),
                                    {{HeadKey, Current.HeadRevision}},
                                    {{HeadKey, NewHead.dump()}}});
}

Result<FleetSnapshot> FleetLog::append(const FleetSnapshot &Newest,
                                       const FleetChange &Change) {
  if (Change.BaseVersion != Newest.Version)
    return makeError(
        ErrorKind::VersionConflict,
        "the change is based on version " + std::to_string(Change.BaseVersion) +
            ", but the newest version is " + std::to_string(Newest.Version));
  Result<json> Changed = patchDocument(Newest.Document, Change.Patch);
  if (!Changed)
    return tl::unexpected(Changed.error());
  const FleetVersion Next = Newest.Version + 1;
  const json Document = updateFieldVersions(Newest.Document, *Changed, Next);
  const json Patch = diffDocuments(Newest.Document, Document);
  const json NewHead{{"version", Next}, {"snapshot", Newest.SnapshotVersion}};
  const json ChangeValue{{"patch", Patch}, {"author", Change.Author}};
  Transaction Commit{
      makeWriteId(),
      {{HeadKey, Newest.HeadRevision}},
      {{changeKey(Next), ChangeValue.dump()}, {HeadKey, NewHead.dump()}}};
  Commit.Conditions.insert(Commit.Conditions.end(), Change.Conditions.begin(),
                           Change.Conditions.end());
  Result<CommitOutcome> Outcome = commitAndVerify(this->Platform, Commit);
  if (!Outcome)
    return tl::unexpected(Outcome.error());
  if (*Outcome == CommitOutcome::Conflict)
    return makeError(
        ErrorKind::VersionConflict,
        "another change was committed first; read the fleet again and retry");
  FleetSnapshot Current{Next, Document, 0, Newest.SnapshotVersion};
  Result<std::vector<Row>> HeadRows = this->Platform.read({HeadKey});
  if (!HeadRows)
    return Current;
  Result<Head> StoredHead = decodeHead(HeadRows->front());
  if (StoredHead && StoredHead->Version == Next)
    Current.HeadRevision = HeadRows->front().Rev;
  if (Next - Newest.SnapshotVersion >= ChangesPerSnapshot &&
      Current.HeadRevision != 0)
    this->storeSnapshot(Current);
  return Current;
}

} // namespace sardinerill
