#include "sardinerill/control/fleetkeeper.h"

#include "sardinerill/base/logging.h"
#include "sardinerill/fleet/fleetdocument.h"

#include <utility>

namespace sardinerill {

FleetKeeper::FleetKeeper(IPlatform &Platform, IBackground &Background,
                         IPeers &Peers, Membership &Members, PlatformGate &Gate,
                         const IClock &Clock, Metrics &Figures)
    : Platform(Platform), Log(Platform), Background(Background), Peers(Peers),
      Members(Members), Gate(Gate), Clock(Clock), Figures(Figures) {}

void FleetKeeper::poll() {
  if (this->Polling) {
    this->PollAgain = true;
    return;
  }
  const Instant AskedAt = this->Clock.now();
  if (!this->Gate.allow(CallPriority::Urgent, AskedAt)) {
    this->askPeer();
    return;
  }
  this->Polling = true;
  using Outcome = Result<FleetSnapshot>;
  runFor<Outcome>(
      this->Background,
      [Log = this->Log, Known = this->Newest]() mutable {
        return Log.catchUp(Known);
      },
      [this, AskedAt](Outcome Read) {
        this->Polling = false;
        this->PlatformAnswers = Read.has_value();
        this->Gate.record(Read.has_value(), this->Clock.now());
        if (!Read) {
          this->Figures.count("platform_failures_total");
          this->askPeer();
        } else {
          this->adopt(*Read);
          this->Members.proveNewest(Read->Version, AskedAt);
        }
        if (std::exchange(this->PollAgain, false))
          this->poll();
      });
}

void FleetKeeper::askPeer() {
  if (this->Members.newestHeard() <= this->Newest.Version &&
      this->Newest.Version > 0)
    return;
  const std::vector<DaemonId> Alive = this->Members.alive(this->Clock.now());
  if (Alive.empty())
    return;
  this->Peers.send(Alive[this->Random() % Alive.size()],
                   FleetAsk{this->Newest.Version});
}

void FleetKeeper::adopt(const FleetSnapshot &Snapshot) {
  if (Snapshot.Version < this->Newest.Version)
    return;
  const bool Newer = Snapshot.Version > this->Newest.Version;
  if (!Newer && this->Newest.HeadRevision != 0)
    return;
  if (!Newer) {
    this->Newest = Snapshot;
    return;
  }
  Result<Fleet> Read = parseFleet(Snapshot.Document, Snapshot.Version);
  if (!Read) {
    // Changes are validated before they are written, so the document comes from
    // a newer release of the daemon, or the table is damaged. Keep the version
    // that is in force.
    this->Figures.count("fleet_versions_rejected_total");
    logEvent(LogLevel::Error, "fleet.rejected",
             {{"version", std::to_string(Snapshot.Version)},
              {"detail", Read.error().Detail}});
    return;
  }
  this->Newest = Snapshot;
  this->Current = std::make_shared<const Fleet>(std::move(*Read));
  if (this->Handler)
    this->Handler(this->Current);
  this->Members.setVersion(Snapshot.Version);
  for (const DaemonId &Hinter : std::exchange(this->Hinters, {}))
    this->Peers.send(Hinter, VersionAck{Snapshot.Version});
  this->Figures.setGauge("fleet_version", double(Snapshot.Version));
  logEvent(LogLevel::Info, "fleet.adopted",
           {{"version", std::to_string(Snapshot.Version)}});
}

void FleetKeeper::append(FleetChange Change, Appended Finished) {
  if (!this->Gate.allow(CallPriority::Urgent, this->Clock.now())) {
    Finished(makeError(ErrorKind::PlatformUnavailable,
                       "the platform can't be asked now"));
    return;
  }
  const Instant AskedAt = this->Clock.now();
  using Outcome = Result<FleetSnapshot>;
  runFor<Outcome>(
      this->Background,
      [Log = this->Log, Known = this->Newest,
       Change = std::move(Change)]() mutable -> Outcome {
        Outcome Read = Log.catchUp(Known);
        if (!Read)
          return Read;
        return Log.append(*Read, Change);
      },
      [this, AskedAt, Finished = std::move(Finished)](Outcome Written) {
        if (!Written) {
          Finished(tl::unexpected(Written.error()));
          return;
        }
        this->adopt(*Written);
        // The version was the newest at the time of the commit, which happened
        // after AskedAt.
        this->Members.proveNewest(Written->Version, AskedAt);
        for (const auto &[Id, Other] : this->Members.members())
          this->Peers.send(Id, VersionHint{Written->Version});
        Finished(Written->Version);
      });
}

void FleetKeeper::onVersionHint(const DaemonId &From, FleetVersion Version) {
  this->Members.noteVersion(From, Version);
  if (Version <= this->Newest.Version) {
    this->Peers.send(From, VersionAck{this->Newest.Version});
    return;
  }
  this->Hinters.insert(From);
  this->poll();
}

void FleetKeeper::onFleetAsk(const DaemonId &From, FleetVersion Known) {
  if (this->Newest.Version > Known)
    this->Peers.send(From,
                     FleetReply{this->Newest.Version, this->Newest.Document});
}

void FleetKeeper::onFleetReply(const FleetReply &Reply) {
  if (Reply.Version <= this->Newest.Version)
    return;
  this->Figures.count("fleet_from_peer_total");
  this->adopt(FleetSnapshot{Reply.Version, Reply.Document, 0, 0});
}

} // namespace sardinerill
