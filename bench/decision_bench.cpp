/// \file
/// Benchmarks of single decisions, from the current fleet size up to the
/// largest size that the design supports.

#include "sardinerill/admission/admission.h"
#include "sardinerill/admission/keys.h"
#include "sardinerill/dispatch/vmselection.h"
#include "sardinerill/escrow/escrowledger.h"
#include "sardinerill/fleet/fleetdocument.h"
#include "sardinerill/fleet/maintenance.h"
#include "sardinerill/membership/membership.h"
#include "sardinerill/queueing/workqueue.h"

#include <benchmark/benchmark.h>

using namespace sardinerill;
using nlohmann::json;

namespace {

/// Loads that depend on nothing but the team's name.
struct FixedTeamLoads : ITeamLoads {
  TeamLoad loadOf(const TeamId &Team) const override {
    return TeamLoad{1 + unsigned(Team.str().size() % 3), 4, false};
  }
};

json makeDocument(long Vms, long Pools, long Teams) {
  json Document{{"rackMaxUnavailable", 2}};
  for (long Pool = 0; Pool < Pools; ++Pool)
    Document["pools"]["pool-" + std::to_string(Pool)] = {{"maxUnavailable", 2}};
  for (long Zone = 0; Zone < 6; ++Zone)
    Document["zones"]["zone-" + std::to_string(Zone)] = {
        {"maxUnavailable", 20}};
  for (long Team = 0; Team < Teams; ++Team)
    Document["teams"]["team-" + std::to_string(Team)] = {
        {"ceiling", 40},
        {"keys",
         {{"key-" + std::to_string(Team),
           {{"salt", std::string(32, 'a')}, {"hash", std::string(64, 'b')}}}}}};
  for (long Vm = 0; Vm < Vms; ++Vm)
    Document["vms"]["vm-" + std::to_string(Vm)] = {
        {"pool", "pool-" + std::to_string(Vm % Pools)},
        {"zone", "zone-" + std::to_string(Vm % 6)},
        {"rack", "rack-" + std::to_string(Vm / 4)},
        {"address", "10.1.2.3"},
        {"port", 1 + Vm}};
  return Document;
}

/// Picks the next of 1000 waiting requests; the argument is the number of
/// teams.
void pickWork(benchmark::State &State) {
  const long Teams = State.range(0);
  WorkQueue Queue;
  const FixedTeamLoads Loads;
  for (long Index = 0; Index < 1000; ++Index)
    Queue.add({RequestId(std::to_string(Index)),
               TeamId("team-" + std::to_string(Index % Teams)), ClassId("c"),
               Instant{}, Instant(milliseconds(Index * 7919 % 1000))});
  for (auto _ : State)
    benchmark::DoNotOptimize(Queue.peekNext(Loads, 80));
}
BENCHMARK(pickWork)->Arg(6)->Arg(70)->Arg(280);

/// Chooses an upstream VM; the argument is the number of VMs in the pool.
void chooseWorker(benchmark::State &State) {
  std::mt19937_64 Random(1);
  const VmHealth Healthy;
  std::vector<VmCandidate> Pool;
  for (long Vm = 0; Vm < State.range(0); ++Vm)
    Pool.push_back(
        {VmId("vm-" + std::to_string(Vm)), 2, 1, Vm % 2 == 0, &Healthy});
  for (auto _ : State)
    benchmark::DoNotOptimize(selectVm(Pool, {}, Instant{}, Random));
}
BENCHMARK(chooseWorker)->Arg(5)->Arg(10)->Arg(40);

/// Acquires and releases one unit of a resource.
void startAndFinish(benchmark::State &State) {
  EscrowLedger Ledger(DaemonId("a#1"), EscrowTimeLimits{});
  Ledger.applyGrant({DaemonId("a#1"), 8, 8});
  for (auto _ : State) {
    auto Unit = Ledger.tryAcquire(Instant{});
    Ledger.release(*Unit);
  }
}
BENCHMARK(startAndFinish);

/// Checks the key of a request; the argument is the number of teams.
void admitRequest(benchmark::State &State) {
  const GeneratedKey Key = generateKey(KeyId("mine"));
  json Document = makeDocument(50, 5, State.range(0));
  Fleet Current = parseFleet(Document, 1).value();
  Current.Classes[ClassId("c")] = WorkClass{.Id = ClassId("c")};
  Current.Teams[TeamId("team-1")].Keys.push_back(Key.Record);
  const Admission Checker(std::make_shared<Fleet>(Current));
  const AdmissionRequest Request{ClassId("c"), Key.Text, false};
  for (auto _ : State)
    benchmark::DoNotOptimize(Checker.admit(
        Request, ConfigurationProof{Instant{}, seconds(10)}, Instant{}));
}
BENCHMARK(admitRequest)->Arg(6)->Arg(70)->Arg(280);

/// Plans the first step of a roll-out; the arguments are VMs and pools.
void planRollout(benchmark::State &State) {
  json Document = makeDocument(State.range(0), State.range(1), 6);
  for (auto &[Name, Pool] : Document["pools"].items())
    Pool["generation"] = 1;
  const Fleet Current = parseFleet(Document, 1).value();
  FleetObservation Observation;
  for (const auto &[Id, Vm] : Current.Vms)
    Observation[Id] = VmObservation{true, false, false, 1, 0};
  for (auto _ : State)
    benchmark::DoNotOptimize(planMaintenance(Current, Observation));
  State.counters["us_per_vm"] =
      benchmark::Counter(double(State.range(0)) / 1e6,
                         benchmark::Counter::kIsIterationInvariantRate |
                             benchmark::Counter::kInvert);
}
BENCHMARK(planRollout)->Args({50, 5})->Args({250, 60})->Args({1000, 225});

/// Parses a fleet document; the arguments are VMs, pools and teams.
void adoptVersion(benchmark::State &State) {
  const json Document =
      makeDocument(State.range(0), State.range(1), State.range(2));
  for (auto _ : State)
    benchmark::DoNotOptimize(parseFleet(Document, 1));
  State.counters["document_bytes"] = double(Document.dump().size());
}
BENCHMARK(adoptVersion)
    ->Args({50, 5, 6})
    ->Args({250, 60, 70})
    ->Args({1000, 225, 280});

/// One second of gossip among all daemons; the argument is their number. The
/// counter is the number of bytes that one daemon sends and receives in that
/// second.
void gossipRound(benchmark::State &State) {
  const long Count = State.range(0);
  const PeerCodec Codec("secret");
  std::vector<Membership> Daemons;
  std::map<DaemonId, PeerEndpoint> Roster;
  for (long Index = 0; Index < Count; ++Index)
    Roster[makeDaemonId({"entry-" + std::to_string(Index), 1764800000000})] =
        PeerEndpoint{ZoneId("zone-" + std::to_string(Index % 6)), "10.0.0.1",
                     8082};
  for (const auto &[Id, Address] : Roster) {
    Daemons.emplace_back(Id, Address, GossipOptions{});
    Daemons.back().applyRoster(Roster, Instant(seconds(1)));
    std::vector<TeamRunCount> Loads;
    for (int Team = 0; Team < 8; ++Team)
      Loads.push_back({PoolId("pool-" + std::to_string(Team)),
                       TeamId("team-" + std::to_string(Team)), 3});
    Daemons.back().setLoads(Loads);
  }
  std::mt19937_64 Random(3);
  Instant Now(seconds(10));
  std::size_t TotalBytes = 0;
  for (auto _ : State) {
    Now += seconds(1);
    for (Membership &Sender : Daemons) {
      Sender.confirmNewestVersion(0, Now);
      const auto OutgoingMessages = Sender.tick(Now, Random);
      const OutgoingGossip *Outgoing = &OutgoingMessages.front();
      const std::string EncodedGossip =
          Codec.encode({Sender.self(), Outgoing->Message});
      for (Membership &Receiver : Daemons) {
        if (Receiver.self() != Outgoing->To)
          continue;
        const auto Received = Codec.decode(EncodedGossip);
        const GossipReply Reply = Receiver.handleGossip(
            Sender.self(), std::get<Gossip>(Received->Message), Now);
        const std::string EncodedReply = Codec.encode({Receiver.self(), Reply});
        Sender.handleGossipReply(
            std::get<GossipReply>(Codec.decode(EncodedReply)->Message), Now);
        TotalBytes += EncodedGossip.size() + EncodedReply.size();
      }
    }
  }
  // Each message is sent by one daemon and received by another.
  State.counters["bytes_per_daemon_s"] =
      2.0 * double(TotalBytes) / double(Count) / double(State.iterations());
}
BENCHMARK(gossipRound)
    ->Arg(3)
    ->Arg(8)
    ->Arg(24)
    ->Arg(48)
    ->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
