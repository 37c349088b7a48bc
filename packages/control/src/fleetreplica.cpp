#include "sardinerill/control/fleetreplica.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/fleet/fleetdocument.h"

#include <utility>

namespace sardinerill {

FleetReplica::FleetReplica(IPlatform &Platform, IBackgroundExecutor &Background,
                           IPeerSender &Peers, Membership &Members,
                           PlatformCallLimiter &Limiter, const IClock &Clock,
                           Metrics &Stats)
    : Platform(Platform), Log(Platform), Background(Background), Peers(Peers),
      Members(Members), Limiter(Limiter), Clock(Clock), Stats(Stats) {}

void FleetReplica::poll() {
  if (this->PollInFlight) {
    this->PollRequested = true;
    return;
  }
  const Instant RequestedAt = this->Clock.now();
  if (!this->Limiter.tryAcquire(CallPriority::Urgent, RequestedAt)) {
    this->requestFromPeer();
    return;
  }
  this->PollInFlight = true;
  using Outcome = Result<FleetSnapshot>;
  runInBackground<Outcome>(
      this->Background,
      [Log = this->Log, Known = this->CurrentSnapshot]() mutable {
        return Log.catchUp(Known);
      },
      [this, RequestedAt](Outcome Loaded) {
        this->PollInFlight = false;
        this->PlatformReachable = Loaded.has_value();
        this->Limiter.recordOutcome(Loaded.has_value(), this->Clock.now());
        if (!Loaded) {
          this->Stats.count("platform_failures_total");
          this->requestFromPeer();
        } else {
          this->applySnapshot(*Loaded);
          this->Members.confirmNewestVersion(Loaded->Version, RequestedAt);
        }
        if (std::exchange(this->PollRequested, false))
          this->poll();
      });
}

void FleetReplica::requestFromPeer() {
  // Ask only if a newer version is known, or none has been loaded yet.
  if (this->Members.newestKnownVersion() <= this->CurrentSnapshot.Version &&
      this->CurrentSnapshot.Version > 0)
    return;
  const std::vector<DaemonId> Alive =
      this->Members.aliveMembers(this->Clock.now());
  if (Alive.empty())
    return;
  this->Peers.send(Alive[this->PeerRandom() % Alive.size()],
                   FleetRequest{this->CurrentSnapshot.Version});
}

void FleetReplica::applySnapshot(const FleetSnapshot &Snapshot) {
  if (Snapshot.Version < this->CurrentSnapshot.Version)
    return;
  const bool IsNewer = Snapshot.Version > this->CurrentSnapshot.Version;
  if (!IsNewer && this->CurrentSnapshot.HeadRevision != 0)
    return;
  if (!IsNewer) {
    // The version in force, whose head revision was not known yet, for example
    // because the document came from a peer: take over that revision.
    this->CurrentSnapshot = Snapshot;
    return;
  }
  Result<Fleet> Parsed = parseFleet(Snapshot.Document, Snapshot.Version);
  if (!Parsed) {
    // Changes are validated before they are written, so the document was
    // written by a newer release of the daemon or is corrupted. Keep the
    // version that is in force.
    this->Stats.count("fleet_versions_rejected_total");
    logEvent(LogLevel::Error, "fleet.rejected",
             {{"version", std::to_string(Snapshot.Version)},
              {"detail", Parsed.error().Detail}});
    return;
  }
  this->CurrentSnapshot = Snapshot;
  this->CurrentFleet = std::make_shared<const Fleet>(std::move(*Parsed));
  if (this->OnVersionApplied)
    this->OnVersionApplied(this->CurrentFleet);
  this->Members.setVersion(Snapshot.Version);
  for (const DaemonId &Peer : std::exchange(this->PeersAwaitingAck, {}))
    this->Peers.send(Peer, VersionAck{Snapshot.Version});
  this->Stats.setGauge("fleet_version", double(Snapshot.Version));
  logEvent(LogLevel::Info, "fleet.adopted",
           {{"version", std::to_string(Snapshot.Version)}});
}

void FleetReplica::append(FleetChange Change, AppendHandler OnFinished) {
  if (!this->Limiter.tryAcquire(CallPriority::Urgent, this->Clock.now())) {
    OnFinished(makeError(
        ErrorKind::PlatformUnavailable,
        "calls to the platform are currently rate-limited or suspended"));
    return;
  }
  const Instant RequestedAt = this->Clock.now();
  using Outcome = Result<FleetSnapshot>;
  runInBackground<Outcome>(
      this->Background,
      [Log = this->Log, Known = this->CurrentSnapshot,
       Change = std::move(Change)]() mutable -> Outcome {
        Outcome Loaded = Log.catchUp(Known);
        if (!Loaded)
          return Loaded;
        return Log.append(*Loaded, Change);
      },
      [this, RequestedAt, OnFinished = std::move(OnFinished)](Outcome Written) {
        if (!Written) {
          OnFinished(tl::unexpected(Written.error()));
          return;
        }
        this->applySnapshot(*Written);
        // The version was the newest at the time of the commit, which happened
        // after RequestedAt.
        this->Members.confirmNewestVersion(Written->Version, RequestedAt);
        for (const auto &[Id, Other] : this->Members.otherMembers())
          this->Peers.send(Id, VersionHint{Written->Version});
        OnFinished(Written->Version);
      });
}

void FleetReplica::onVersionHint(const DaemonId &From, FleetVersion Version) {
  this->Members.recordVersionAck(From, Version);
  if (Version <= this->CurrentSnapshot.Version) {
    this->Peers.send(From, VersionAck{this->CurrentSnapshot.Version});
    return;
  }
  this->PeersAwaitingAck.insert(From);
  this->poll();
}

void FleetReplica::onFleetRequest(const DaemonId &From,
                                  FleetVersion KnownVersion) {
  if (this->CurrentSnapshot.Version > KnownVersion)
    this->Peers.send(From, FleetReply{this->CurrentSnapshot.Version,
                                      this->CurrentSnapshot.Document});
}

void FleetReplica::onFleetReply(const FleetReply &Reply) {
  if (Reply.Version <= this->CurrentSnapshot.Version)
    return;
  this->Stats.count("fleet_from_peer_total");
  this->applySnapshot(FleetSnapshot{Reply.Version, Reply.Document,
                                    /*HeadRevision=*/0, /*SnapshotVersion=*/0});
}

} // namespace sardinerill
