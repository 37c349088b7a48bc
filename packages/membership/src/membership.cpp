#include "sardinerill/membership/membership.h"

#include <algorithm>

namespace sardinerill {

namespace {

/// A report includes the endpoint on every eighth heartbeat, and on the first
/// heartbeats of a daemon.
constexpr std::uint64_t EndpointInterval = 8;
constexpr std::uint64_t InitialEndpointHeartbeats = 5;
/// Maximum number of gossip messages awaiting a reply; beyond it, replies to
/// the oldest are no longer accepted.
constexpr std::size_t MaxPendingRequests = 32;
/// A silent member is removed after it is missing from this many consecutive
/// rosters.
constexpr unsigned RostersBeforeRemoval = 2;
/// Maximum age of a confirmation at which one exchange per round is enough: the
/// platform is polled every few seconds, which renews the confirmation.
constexpr Duration MaxConfirmationAge = seconds(7);
/// Exchanges per round without a recent confirmation. membership_test requires
/// that contact with all members is at most 10 s old with 6 and 48 members.
constexpr unsigned ExchangesWithoutConfirmation = 3;
/// One in this many exchanges goes to a silent member, so that a member that
/// is reachable again is found.
constexpr unsigned SilentExchangeInterval = 4;

bool isOlderIncarnation(const DaemonId &A, const DaemonId &B) {
  const DaemonIdentity IdentityA = parseDaemonId(A);
  const DaemonIdentity IdentityB = parseDaemonId(B);
  return IdentityA.Vm == IdentityB.Vm &&
         IdentityA.Incarnation < IdentityB.Incarnation;
}

/// FNV-1a over the identifiers. Unlike std::hash, gives the same value in every
/// process.
std::uint64_t hashIds(const std::vector<DaemonId> &Ids) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (const DaemonId &Id : Ids)
    for (unsigned char Byte : Id.str() + ";")
      Hash = (Hash ^ Byte) * 0x100000001b3ULL;
  return Hash;
}

bool includesEndpoint(std::uint64_t Heartbeat) {
  return Heartbeat <= InitialEndpointHeartbeats ||
         Heartbeat % EndpointInterval == 0;
}

} // namespace

Membership::Membership(DaemonId Self, PeerEndpoint OwnEndpoint,
                       GossipOptions Options)
    : Self(std::move(Self)), OwnEndpoint(std::move(OwnEndpoint)),
      Options(Options) {}

GossipEntry Membership::ownEntry(Instant Now) const {
  GossipEntry Entry{this->Self, Duration(0), this->OwnReport, true, {}};
  if (this->ConfirmedAt)
    Entry.Report.ConfirmationAge = Now - *this->ConfirmedAt;
  if (includesEndpoint(this->OwnReport.Heartbeat))
    Entry.Endpoint = this->OwnEndpoint;
  return Entry;
}

std::vector<GossipEntry> Membership::buildEntries(const DaemonId &To,
                                                  Instant Now) {
  std::vector<GossipEntry> Entries{this->ownEntry(Now)};
  std::vector<const Member *> Reported;
  for (const auto &[Id, Other] : this->Others)
    if (Other.HasReport && Id != To)
      Reported.push_back(&Other);
  const std::size_t Count =
      std::min(Reported.size(), this->Options.MaxRelayedEntries);
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const Member &Other = *Reported[this->RelayCursor++ % Reported.size()];
    GossipEntry Entry{
        Other.Id, Now - Other.ReportAsOf, Other.Report, false, {}};
    if (includesEndpoint(Other.Report.Heartbeat))
      Entry.Endpoint = Other.Endpoint;
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

std::vector<OutgoingGossip> Membership::tick(Instant Now,
                                             std::mt19937_64 &Random) {
  ++this->OwnReport.Heartbeat;
  std::vector<OutgoingGossip> Messages;
  if (this->Others.empty())
    return Messages;
  const bool IsConfirmed =
      this->ConfirmedAt && Now - *this->ConfirmedAt < MaxConfirmationAge;
  const unsigned Count = IsConfirmed ? 1 : ExchangesWithoutConfirmation;
  for (unsigned Number = 0; Number < Count; ++Number)
    Messages.push_back(this->createRequest(Now, Random));
  return Messages;
}

OutgoingGossip Membership::createRequest(Instant Now, std::mt19937_64 &Random) {
  std::vector<DaemonId> Alive = this->aliveMembers(Now);
  std::vector<DaemonId> Silent;
  for (const auto &[Id, Other] : this->Others)
    if (std::find(Alive.begin(), Alive.end(), Id) == Alive.end())
      Silent.push_back(Id);
  const bool SelectSilent =
      !Silent.empty() &&
      (Alive.empty() || Random() % SilentExchangeInterval == 0);
  const std::vector<DaemonId> &Candidates = SelectSilent ? Silent : Alive;
  const DaemonId To = Candidates[Random() % Candidates.size()];
  const std::uint64_t Nonce = this->NextNonce++;
  this->PendingRequests[Nonce] = PendingRequest{Now, To};
  if (this->PendingRequests.size() > MaxPendingRequests)
    this->PendingRequests.erase(this->PendingRequests.begin());
  return OutgoingGossip{To, Gossip{Nonce, this->NewestKnownVersion,
                                   this->buildEntries(To, Now),
                                   this->lastSeenAges(Now)}};
}

GossipReply Membership::handleGossip(const DaemonId &From,
                                     const Gossip &Message, Instant Now) {
  // A message that was not requested may have waited in a buffer for any time.
  // Its members and heartbeats are merged, but its ages and confirmations are
  // ignored, because they may be outdated.
  this->NewestKnownVersion =
      std::max(this->NewestKnownVersion, Message.NewestVersion);
  for (const GossipEntry &Entry : Message.Entries)
    this->merge(Entry, Instant{}, Now);
  return GossipReply{Message.Nonce, this->NewestKnownVersion,
                     this->buildEntries(From, Now), this->lastSeenAges(Now)};
}

void Membership::handleGossipReply(const GossipReply &Message, Instant Now) {
  auto Pending = this->PendingRequests.find(Message.Nonce);
  if (Pending == this->PendingRequests.end())
    return;
  const Instant RequestedAt = Pending->second.SentAt;
  this->PendingRequests.erase(Pending);
  this->NewestKnownVersion =
      std::max(this->NewestKnownVersion, Message.NewestVersion);
  if (Message.NewestVersion <= this->OwnReport.Version)
    this->applyLastSeenAges(Message.LastSeen, RequestedAt);
  for (const GossipEntry &Entry : Message.Entries) {
    const bool IsAgeKnown =
        Entry.Age < Duration(RequestedAt.time_since_epoch());
    const Instant AsOf = IsAgeKnown ? RequestedAt - Entry.Age : Instant{};
    this->merge(Entry, AsOf, Now);
    this->applyConfirmation(Entry, AsOf);
  }
}

std::vector<DaemonId> Membership::memberIds() const {
  std::vector<DaemonId> Ids{this->Self};
  for (const auto &[Id, Other] : this->Others)
    Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

LastSeenAges Membership::lastSeenAges(Instant Now) const {
  LastSeenAges LastSeen;
  const std::vector<DaemonId> Ids = this->memberIds();
  LastSeen.MemberIdsHash = hashIds(Ids);
  for (const DaemonId &Id : Ids) {
    const Instant AsOf =
        Id == this->Self ? Now : this->Others.at(Id).LastSeenAt;
    // Rounded up: an age must never be encoded as younger than it is.
    const auto Units =
        (Now - AsOf + LastSeenAges::Unit - Duration(1)) / LastSeenAges::Unit;
    const bool IsKnown =
        AsOf != Instant{} && Units < Duration::rep(LastSeenAges::Unknown);
    LastSeen.Ages.push_back(IsKnown ? static_cast<std::uint8_t>(Units)
                                    : LastSeenAges::Unknown);
  }
  return LastSeen;
}

/// Updates LastSeenAt from the ages in a reply. Called only if the sender of
/// the reply knew no newer version than this daemon's. Every message contains
/// the newest version known to its sender, so the members with which the sender
/// had direct or indirect contact knew no newer version at that time either.
void Membership::applyLastSeenAges(const LastSeenAges &LastSeen,
                                   Instant RequestedAt) {
  const std::vector<DaemonId> Ids = this->memberIds();
  if (LastSeen.MemberIdsHash != hashIds(Ids) ||
      LastSeen.Ages.size() != Ids.size())
    return;
  for (std::size_t Index = 0; Index < Ids.size(); ++Index) {
    auto Found = this->Others.find(Ids[Index]);
    if (Found == this->Others.end() ||
        LastSeen.Ages[Index] == LastSeenAges::Unknown)
      continue;
    const Instant AsOf =
        RequestedAt - LastSeenAges::Unit * LastSeen.Ages[Index];
    Found->second.LastSeenAt = std::max(Found->second.LastSeenAt, AsOf);
  }
}

ReportPush Membership::createReportPush(Instant Now) {
  ++this->OwnReport.Heartbeat;
  GossipEntry Entry = this->ownEntry(Now);
  Entry.Endpoint = this->OwnEndpoint;
  return ReportPush{std::move(Entry)};
}

void Membership::handleReportPush(const ReportPush &Message, Instant Now) {
  this->merge(Message.Entry, Instant{}, Now);
}

bool Membership::isSuperseded(const DaemonId &Id) const {
  return std::any_of(
      this->Others.begin(), this->Others.end(),
      [&](const auto &Entry) { return isOlderIncarnation(Id, Entry.first); });
}

void Membership::merge(const GossipEntry &Entry, Instant AsOf, Instant Now) {
  this->NewestKnownVersion =
      std::max(this->NewestKnownVersion, Entry.Report.Version);
  if (Entry.Id == this->Self || isOlderIncarnation(Entry.Id, this->Self))
    return;
  auto Found = this->Others.find(Entry.Id);
  if (Found == this->Others.end()) {
    // Only a recent report with an endpoint, of the newest incarnation, adds a
    // member; an old report must not add a removed member again.
    if (Entry.Endpoint.Address.empty() || this->isSuperseded(Entry.Id) ||
        Entry.Age > this->Options.MemberTimeout)
      return;
    std::erase_if(this->Others, [&](const auto &Other) {
      return isOlderIncarnation(Other.first, Entry.Id);
    });
    Found =
        this->Others.emplace(Entry.Id, Member{Entry.Id, Entry.Endpoint}).first;
  }
  Member &Other = Found->second;
  const bool HasNewHeartbeat =
      Entry.Report.Heartbeat > Other.Report.Heartbeat || !Other.HasReport;
  // With equal heartbeats the later report is kept, because its
  // confirmation age is more recent.
  const bool IsLaterReport = Entry.Report.Heartbeat == Other.Report.Heartbeat &&
                             AsOf > Other.ReportAsOf;
  if (HasNewHeartbeat)
    Other.HeartbeatAt = Now;
  if (HasNewHeartbeat || IsLaterReport) {
    std::vector<TeamRunCount> Loads = std::move(Other.Report.Loads);
    Other.Report = Entry.Report;
    if (!Entry.HasLoads)
      Other.Report.Loads = std::move(Loads);
    Other.ReportAsOf = AsOf;
    Other.HasReport = true;
    this->rebuildRemoteLoads();
  }
  Other.LastSeenAt = std::max(Other.LastSeenAt, AsOf);
}

void Membership::rebuildRemoteLoads() {
  this->RemoteLoads.clear();
  for (const auto &[Id, Other] : this->Others)
    for (const TeamRunCount &Load : Other.Report.Loads)
      this->RemoteLoads[LoadKey{Load.Pool, Load.Team}] += Load.Running;
}

void Membership::applyConfirmation(const GossipEntry &Entry, Instant AsOf) {
  const Duration Age = Entry.Report.ConfirmationAge;
  if (Entry.Report.Version != this->OwnReport.Version ||
      Age == Duration::max() || AsOf == Instant{})
    return;
  const Instant EntryConfirmedAt = AsOf - Age;
  if (!this->ConfirmedAt || EntryConfirmedAt > *this->ConfirmedAt)
    this->ConfirmedAt = EntryConfirmedAt;
}

void Membership::applyRoster(const std::map<DaemonId, PeerEndpoint> &Roster,
                             Instant Now) {
  for (auto &[Id, Other] : this->Others)
    Other.MissedRosters = Roster.contains(Id) ? 0 : Other.MissedRosters + 1;
  std::erase_if(this->Others, [&](const auto &Entry) {
    const Member &Other = Entry.second;
    const bool Silent = !Other.HasReport ||
                        Now - Other.HeartbeatAt >= this->Options.MemberTimeout;
    return Silent && Other.MissedRosters >= RostersBeforeRemoval;
  });
  for (const auto &Entry : Roster) {
    const DaemonId &Id = Entry.first;
    if (Id == this->Self || isOlderIncarnation(Id, this->Self) ||
        this->isSuperseded(Id))
      continue;
    std::erase_if(this->Others, [&](const auto &Other) {
      return isOlderIncarnation(Other.first, Id);
    });
    auto [Found, Inserted] = this->Others.emplace(Id, Member{Id, Entry.second});
    if (!Inserted)
      Found->second.Endpoint = Entry.second;
  }
  this->rebuildRemoteLoads();
}

void Membership::removeMember(const DaemonId &Id) {
  this->Others.erase(Id);
  this->rebuildRemoteLoads();
}

void Membership::setVersion(FleetVersion Version) {
  if (Version <= this->OwnReport.Version)
    return;
  this->OwnReport.Version = Version;
  this->NewestKnownVersion = std::max(this->NewestKnownVersion, Version);
  // ConfirmedAt is kept: at that time an older version than this one was the
  // newest, so there was no version newer than this one.
}

void Membership::setDrainingVmsWithWork(std::vector<VmId> Vms) {
  this->OwnReport.DrainingVmsWithWork = std::move(Vms);
}

void Membership::setLoads(std::vector<TeamRunCount> Loads) {
  std::sort(Loads.begin(), Loads.end(),
            [](const TeamRunCount &A, const TeamRunCount &B) {
              return A.Running > B.Running;
            });
  if (Loads.size() > this->Options.MaxLoadsPerReport)
    Loads.resize(this->Options.MaxLoadsPerReport);
  this->OwnReport.Loads = std::move(Loads);
}

void Membership::confirmNewestVersion(FleetVersion Version,
                                      Instant RequestedAt) {
  this->NewestKnownVersion = std::max(this->NewestKnownVersion, Version);
  if (Version != this->OwnReport.Version)
    return;
  if (!this->ConfirmedAt || RequestedAt > *this->ConfirmedAt)
    this->ConfirmedAt = RequestedAt;
}

void Membership::recordVersionAck(const DaemonId &From, FleetVersion Version) {
  this->NewestKnownVersion = std::max(this->NewestKnownVersion, Version);
  auto Found = this->Others.find(From);
  if (Found == this->Others.end())
    return;
  FleetVersion &Acked = Found->second.AckedVersion;
  Acked = std::max(Acked, Version);
}

Instant Membership::confirmedNewestAt() const {
  // A newer known version does not invalidate the last confirmation, but
  // contact with the members then no longer confirms this daemon's version.
  if (this->NewestKnownVersion > this->OwnReport.Version)
    return this->ConfirmedAt.value_or(Instant{});
  Instant AllSeenAt = Instant::max();
  for (const auto &[Id, Other] : this->Others)
    AllSeenAt = std::min(AllSeenAt, Other.LastSeenAt);
  // A daemon without other members has not been in contact with all of them:
  // its list may be incomplete.
  if (this->Others.empty())
    AllSeenAt = Instant{};
  return std::max(this->ConfirmedAt.value_or(Instant{}), AllSeenAt);
}

std::vector<DaemonId> Membership::daemonsBehind(FleetVersion Version) const {
  std::vector<DaemonId> Pending;
  if (this->OwnReport.Version < Version)
    Pending.push_back(this->Self);
  for (const auto &[Id, Other] : this->Others)
    if (std::max(Other.Report.Version, Other.AckedVersion) < Version)
      Pending.push_back(Id);
  return Pending;
}

std::vector<DaemonId> Membership::daemonsBusyOn(const VmId &Vm,
                                                FleetVersion Version) const {
  std::vector<DaemonId> Busy;
  auto MayBeBusy = [&](const MemberReport &Report) {
    const auto &List = Report.DrainingVmsWithWork;
    return Report.Version < Version ||
           std::find(List.begin(), List.end(), Vm) != List.end();
  };
  if (MayBeBusy(this->OwnReport))
    Busy.push_back(this->Self);
  for (const auto &[Id, Other] : this->Others)
    if (MayBeBusy(Other.Report))
      Busy.push_back(Id);
  return Busy;
}

unsigned Membership::runningOnOtherDaemons(const PoolId &Pool,
                                           const TeamId &Team) const {
  auto Found = this->RemoteLoads.find(LoadKey{Pool, Team});
  return Found == this->RemoteLoads.end() ? 0 : Found->second;
}

std::vector<DaemonId> Membership::aliveMembers(Instant Now) const {
  std::vector<DaemonId> Alive;
  for (const auto &[Id, Other] : this->Others)
    if (Other.HasReport &&
        Now - Other.HeartbeatAt < this->Options.MemberTimeout)
      Alive.push_back(Id);
  return Alive;
}

std::optional<PeerEndpoint> Membership::endpointOf(const DaemonId &Id) const {
  auto Found = this->Others.find(Id);
  if (Found == this->Others.end())
    return std::nullopt;
  return Found->second.Endpoint;
}

unsigned Membership::aliveInZone(const ZoneId &Zone, Instant Now) const {
  unsigned Count = this->OwnEndpoint.Zone == Zone ? 1 : 0;
  for (const DaemonId &Id : this->aliveMembers(Now))
    if (this->Others.at(Id).Endpoint.Zone == Zone)
      ++Count;
  return Count;
}

} // namespace sardinerill
