#include "sardinerill/membership/membership.h"

#include <algorithm>

namespace sardinerill {

namespace {

/// A report includes the endpoint on every eighth heartbeat, and on the first
/// heartbeats of a daemon.
constexpr std::uint64_t ContactEvery = 8;
constexpr std::uint64_t ContactAtStart = 5;
/// Gossip messages whose replies are still accepted.
constexpr std::size_t MaxOutstanding = 32;
/// A silent member is removed after it is missing from this many consecutive
/// rosters.
constexpr unsigned RostersToForget = 2;
/// Maximum age of a confirmation at which one exchange per round is enough: the
/// platform is polled every few seconds and renews it.
constexpr Duration ProofIsRecent = seconds(7);
/// Exchanges per round without a recent confirmation.
constexpr unsigned AskedWithoutProof = 3;
/// One in this many exchanges goes to a silent member, so that a member that
/// is reachable again is found.
constexpr unsigned SilentOneIn = 4;

bool isOlderIncarnation(const DaemonId &A, const DaemonId &B) {
  const DaemonName NameA = daemonNameOf(A);
  const DaemonName NameB = daemonNameOf(B);
  return NameA.Vm == NameB.Vm && NameA.Incarnation < NameB.Incarnation;
}

/// FNV-1a over the identifiers. Unlike std::hash, gives the same value in every
/// process.
std::uint64_t hashOf(const std::vector<DaemonId> &Ids) {
  std::uint64_t Hash = 0xcbf29ce484222325ULL;
  for (const DaemonId &Id : Ids)
    for (unsigned char Byte : Id.str() + ";")
      Hash = (Hash ^ Byte) * 0x100000001b3ULL;
  return Hash;
}

bool sendsContact(std::uint64_t Heartbeat) {
  return Heartbeat <= ContactAtStart || Heartbeat % ContactEvery == 0;
}

} // namespace

Membership::Membership(DaemonId Self, Contact Where, GossipOptions Options)
    : Self(std::move(Self)), Where(std::move(Where)), Options(Options) {}

GossipEntry Membership::ownEntry(Instant Now) const {
  GossipEntry Entry{this->Self, Duration(0), this->Own, true, {}};
  if (this->ProvenAt)
    Entry.Report.EvidenceAge = Now - *this->ProvenAt;
  if (sendsContact(this->Own.Heartbeat))
    Entry.Where = this->Where;
  return Entry;
}

std::vector<GossipEntry> Membership::entriesFor(const DaemonId &To,
                                                Instant Now) {
  std::vector<GossipEntry> Entries{this->ownEntry(Now)};
  std::vector<const Member *> Heard;
  for (const auto &[Id, Other] : this->Others)
    if (Other.WasHeard && Id != To)
      Heard.push_back(&Other);
  const std::size_t Count =
      std::min(Heard.size(), this->Options.EntriesPerMessage);
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const Member &Other = *Heard[this->RelayCursor++ % Heard.size()];
    GossipEntry Entry{
        Other.Id, Now - Other.ReportAsOf, Other.Report, false, {}};
    if (sendsContact(Other.Report.Heartbeat))
      Entry.Where = Other.Where;
    Entries.push_back(std::move(Entry));
  }
  return Entries;
}

std::vector<OutgoingGossip> Membership::tick(Instant Now,
                                             std::mt19937_64 &Random) {
  ++this->Own.Heartbeat;
  std::vector<OutgoingGossip> Round;
  if (this->Others.empty())
    return Round;
  const bool IsProven = this->ProvenAt && Now - *this->ProvenAt < ProofIsRecent;
  const unsigned Count = IsProven ? 1 : AskedWithoutProof;
  for (unsigned Number = 0; Number < Count; ++Number)
    Round.push_back(this->ask(Now, Random));
  return Round;
}

OutgoingGossip Membership::ask(Instant Now, std::mt19937_64 &Random) {
  std::vector<DaemonId> Heard = this->alive(Now);
  std::vector<DaemonId> Silent;
  for (const auto &[Id, Other] : this->Others)
    if (std::find(Heard.begin(), Heard.end(), Id) == Heard.end())
      Silent.push_back(Id);
  const bool AskSilent =
      !Silent.empty() && (Heard.empty() || Random() % SilentOneIn == 0);
  const std::vector<DaemonId> &From = AskSilent ? Silent : Heard;
  const DaemonId To = From[Random() % From.size()];
  const std::uint64_t Nonce = this->NextNonce++;
  this->Outstanding[Nonce] = Asked{Now, To};
  if (this->Outstanding.size() > MaxOutstanding)
    this->Outstanding.erase(this->Outstanding.begin());
  return OutgoingGossip{To, Gossip{Nonce, this->NewestHeard,
                                   this->entriesFor(To, Now),
                                   this->heardAges(Now)}};
}

GossipReply Membership::answer(const DaemonId &From, const Gossip &Message,
                               Instant Now) {
  // A message that was not requested may have waited in a buffer for any time.
  // Its members and heartbeats are merged, but its ages and confirmations are
  // not: they prove nothing about the present.
  this->NewestHeard = std::max(this->NewestHeard, Message.Newest);
  for (const GossipEntry &Entry : Message.Entries)
    this->merge(Entry, Instant{}, Now);
  return GossipReply{Message.Nonce, this->NewestHeard,
                     this->entriesFor(From, Now), this->heardAges(Now)};
}

void Membership::receive(const GossipReply &Message, Instant Now) {
  auto Question = this->Outstanding.find(Message.Nonce);
  if (Question == this->Outstanding.end())
    return;
  const Instant AskedAt = Question->second.At;
  this->Outstanding.erase(Question);
  this->NewestHeard = std::max(this->NewestHeard, Message.Newest);
  if (Message.Newest <= this->Own.Version)
    this->takeAges(Message.Heard, AskedAt);
  for (const GossipEntry &Entry : Message.Entries) {
    const bool Dated = Entry.Age < Duration(AskedAt.time_since_epoch());
    const Instant AsOf = Dated ? AskedAt - Entry.Age : Instant{};
    this->merge(Entry, AsOf, Now);
    this->takeEvidence(Entry, AsOf);
  }
}

std::vector<DaemonId> Membership::everyone() const {
  std::vector<DaemonId> Ids{this->Self};
  for (const auto &[Id, Other] : this->Others)
    Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  return Ids;
}

HeardAges Membership::heardAges(Instant Now) const {
  HeardAges Heard;
  const std::vector<DaemonId> Ids = this->everyone();
  Heard.RosterHash = hashOf(Ids);
  for (const DaemonId &Id : Ids) {
    const Instant AsOf = Id == this->Self ? Now : this->Others.at(Id).AsOf;
    // Rounded up: an age must never be encoded as younger than it is.
    const auto Units =
        (Now - AsOf + HeardAges::Unit - Duration(1)) / HeardAges::Unit;
    const bool Known =
        AsOf != Instant{} && Units < Duration::rep(HeardAges::Unknown);
    Heard.Ages.push_back(Known ? static_cast<std::uint8_t>(Units)
                               : HeardAges::Unknown);
  }
  return Heard;
}

/// Every message names the newest version known to its sender. Therefore no
/// member in the chain of contacts had a newer version than the one named in
/// the reply.
void Membership::takeAges(const HeardAges &Heard, Instant AskedAt) {
  const std::vector<DaemonId> Ids = this->everyone();
  if (Heard.RosterHash != hashOf(Ids) || Heard.Ages.size() != Ids.size())
    return;
  for (std::size_t Index = 0; Index < Ids.size(); ++Index) {
    auto Known = this->Others.find(Ids[Index]);
    if (Known == this->Others.end() || Heard.Ages[Index] == HeardAges::Unknown)
      continue;
    const Instant AsOf = AskedAt - HeardAges::Unit * Heard.Ages[Index];
    Known->second.AsOf = std::max(Known->second.AsOf, AsOf);
  }
}

ReportPush Membership::pushReport(Instant Now) {
  ++this->Own.Heartbeat;
  GossipEntry Entry = this->ownEntry(Now);
  Entry.Where = this->Where;
  return ReportPush{std::move(Entry)};
}

void Membership::receive(const ReportPush &Message, Instant Now) {
  this->merge(Message.Entry, Instant{}, Now);
}

bool Membership::isSuperseded(const DaemonId &Id) const {
  return std::any_of(
      this->Others.begin(), this->Others.end(),
      [&](const auto &Entry) { return isOlderIncarnation(Id, Entry.first); });
}

void Membership::merge(const GossipEntry &Entry, Instant AsOf, Instant Now) {
  this->NewestHeard = std::max(this->NewestHeard, Entry.Report.Version);
  if (Entry.Id == this->Self || isOlderIncarnation(Entry.Id, this->Self))
    return;
  auto Known = this->Others.find(Entry.Id);
  if (Known == this->Others.end()) {
    // An old report must not add a removed member again.
    if (Entry.Where.Address.empty() || this->isSuperseded(Entry.Id) ||
        Entry.Age > this->Options.SilentAfter)
      return;
    std::erase_if(this->Others, [&](const auto &Other) {
      return isOlderIncarnation(Other.first, Entry.Id);
    });
    Known = this->Others.emplace(Entry.Id, Member{Entry.Id, Entry.Where}).first;
  }
  Member &Other = Known->second;
  const bool Advanced =
      Entry.Report.Heartbeat > Other.Report.Heartbeat || !Other.WasHeard;
  // With equal heartbeats the later report wins: its confirmation age is
  // up to date.
  const bool Later = Entry.Report.Heartbeat == Other.Report.Heartbeat &&
                     AsOf > Other.ReportAsOf;
  if (Advanced)
    Other.HeardAt = Now;
  if (Advanced || Later) {
    std::vector<TeamRunning> Loads = std::move(Other.Report.Loads);
    Other.Report = Entry.Report;
    if (!Entry.HasLoads)
      Other.Report.Loads = std::move(Loads);
    Other.ReportAsOf = AsOf;
    Other.WasHeard = true;
    this->rebuildLoads();
  }
  Other.AsOf = std::max(Other.AsOf, AsOf);
}

void Membership::rebuildLoads() {
  this->LoadsElsewhere.clear();
  for (const auto &[Id, Other] : this->Others)
    for (const TeamRunning &Load : Other.Report.Loads)
      this->LoadsElsewhere[LoadKey{Load.Pool, Load.Team}] += Load.Running;
}

void Membership::takeEvidence(const GossipEntry &Entry, Instant AsOf) {
  const Duration Age = Entry.Report.EvidenceAge;
  if (Entry.Report.Version != this->Own.Version || Age == Duration::max() ||
      AsOf == Instant{})
    return;
  const Instant Proven = AsOf - Age;
  if (!this->ProvenAt || Proven > *this->ProvenAt)
    this->ProvenAt = Proven;
}

void Membership::learnRoster(const std::map<DaemonId, Contact> &Roster,
                             Instant Now) {
  for (auto &[Id, Other] : this->Others)
    Other.MissingFromRoster =
        Roster.contains(Id) ? 0 : Other.MissingFromRoster + 1;
  std::erase_if(this->Others, [&](const auto &Entry) {
    const Member &Other = Entry.second;
    const bool Silent =
        !Other.WasHeard || Now - Other.HeardAt >= this->Options.SilentAfter;
    return Silent && Other.MissingFromRoster >= RostersToForget;
  });
  for (const auto &Entry : Roster) {
    const DaemonId &Id = Entry.first;
    if (Id == this->Self || isOlderIncarnation(Id, this->Self) ||
        this->isSuperseded(Id))
      continue;
    std::erase_if(this->Others, [&](const auto &Other) {
      return isOlderIncarnation(Other.first, Id);
    });
    auto [Known, Fresh] = this->Others.emplace(Id, Member{Id, Entry.second});
    if (!Fresh)
      Known->second.Where = Entry.second;
  }
}

void Membership::forget(const DaemonId &Gone) {
  this->Others.erase(Gone);
  this->rebuildLoads();
}

void Membership::setVersion(FleetVersion Version) {
  if (Version <= this->Own.Version)
    return;
  this->Own.Version = Version;
  this->NewestHeard = std::max(this->NewestHeard, Version);
  // An earlier confirmation stays valid: the version that was the newest then
  // is older than this one.
}

void Membership::setBusyDraining(std::vector<VmId> Busy) {
  this->Own.BusyDraining = std::move(Busy);
}

void Membership::setLoads(std::vector<TeamRunning> Loads) {
  std::sort(Loads.begin(), Loads.end(),
            [](const TeamRunning &A, const TeamRunning &B) {
              return A.Running > B.Running;
            });
  if (Loads.size() > this->Options.LoadsPerReport)
    Loads.resize(this->Options.LoadsPerReport);
  this->Own.Loads = std::move(Loads);
}

void Membership::proveNewest(FleetVersion Version, Instant AskedAt) {
  this->NewestHeard = std::max(this->NewestHeard, Version);
  if (Version != this->Own.Version)
    return;
  if (!this->ProvenAt || AskedAt > *this->ProvenAt)
    this->ProvenAt = AskedAt;
}

void Membership::noteVersion(const DaemonId &From, FleetVersion Version) {
  this->NewestHeard = std::max(this->NewestHeard, Version);
  auto Known = this->Others.find(From);
  if (Known == this->Others.end())
    return;
  FleetVersion &Acked = Known->second.AckedVersion;
  Acked = std::max(Acked, Version);
}

Instant Membership::freshSince() const {
  // Learning of a newer version does not invalidate the last confirmation, but
  // contact with the members then no longer confirms this daemon's version.
  if (this->NewestHeard > this->Own.Version)
    return this->ProvenAt.value_or(Instant{});
  Instant AllHeard = Instant::max();
  for (const auto &[Id, Other] : this->Others)
    AllHeard = std::min(AllHeard, Other.AsOf);
  // A daemon without other members has not been in contact with all of them:
  // its list may be incomplete.
  if (this->Others.empty())
    AllHeard = Instant{};
  return std::max(this->ProvenAt.value_or(Instant{}), AllHeard);
}

std::vector<DaemonId> Membership::pendingFor(FleetVersion Version) const {
  std::vector<DaemonId> Pending;
  if (this->Own.Version < Version)
    Pending.push_back(this->Self);
  for (const auto &[Id, Other] : this->Others)
    if (std::max(Other.Report.Version, Other.AckedVersion) < Version)
      Pending.push_back(Id);
  return Pending;
}

std::vector<DaemonId> Membership::busyOn(const VmId &Vm,
                                         FleetVersion Version) const {
  std::vector<DaemonId> Busy;
  auto IsBusy = [&](const MemberReport &Report) {
    const auto &List = Report.BusyDraining;
    return Report.Version < Version ||
           std::find(List.begin(), List.end(), Vm) != List.end();
  };
  if (IsBusy(this->Own))
    Busy.push_back(this->Self);
  for (const auto &[Id, Other] : this->Others)
    if (IsBusy(Other.Report))
      Busy.push_back(Id);
  return Busy;
}

unsigned Membership::runningElsewhere(const PoolId &Pool,
                                      const TeamId &Team) const {
  auto Found = this->LoadsElsewhere.find(LoadKey{Pool, Team});
  return Found == this->LoadsElsewhere.end() ? 0 : Found->second;
}

std::vector<DaemonId> Membership::alive(Instant Now) const {
  std::vector<DaemonId> Heard;
  for (const auto &[Id, Other] : this->Others)
    if (Other.WasHeard && Now - Other.HeardAt < this->Options.SilentAfter)
      Heard.push_back(Id);
  return Heard;
}

std::optional<Contact> Membership::contactOf(const DaemonId &Id) const {
  auto Found = this->Others.find(Id);
  if (Found == this->Others.end())
    return std::nullopt;
  return Found->second.Where;
}

unsigned Membership::aliveInZone(const ZoneId &Zone, Instant Now) const {
  unsigned Count = this->Where.Zone == Zone ? 1 : 0;
  for (const DaemonId &Id : this->alive(Now))
    if (this->Others.at(Id).Where.Zone == Zone)
      ++Count;
  return Count;
}

} // namespace sardinerill
