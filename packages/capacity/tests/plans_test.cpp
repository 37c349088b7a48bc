#include "sardinerill/capacity/poolplan.h"
#include "sardinerill/capacity/waveplan.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

constexpr std::int64_t VmCpu = 64000;

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

PoolView poolOf(const std::string &Id, int Vms, std::int64_t DemandCpuMilli,
                int RunsOnEach = 0) {
  PoolView Pool{.Id = PoolId(Id), .DemandCpuMilli = DemandCpuMilli};
  for (int Index = 0; Index < Vms; ++Index)
    Pool.Vms.push_back({.Id = VmId(Id + std::to_string(Index)),
                        .Up = true,
                        .Runs = RunsOnEach});
  return Pool;
}

WaveView waveOf(int Vms, int MaxConcurrent) {
  WaveView View{.CpuMilliOfVm = VmCpu,
                .MaxConcurrent = MaxConcurrent,
                .Deadline = at(30000)};
  View.Pools[PoolId("p")] = {.CpuMilli = Vms * VmCpu, .VmsInService = Vms};
  for (int Index = 0; Index < Vms; ++Index)
    View.Vms.push_back({.Id = VmId("vm" + std::to_string(Index)),
                        .Pool = PoolId("p"),
                        .Up = true,
                        .CanInterrupt = true});
  return View;
}

} // namespace

TEST_CASE(
    "a pool at its peak receives idle VMs and keeps them in a brief dip") {
  std::map<PoolId, PoolDemandAverage> Averages;
  PoolView Standby = poolOf("standby", 8, 0);
  Standby.Standby = true;
  const std::vector<PoolView> Pools{poolOf("peak", 9, 20 * VmCpu, 5),
                                    poolOf("trough", 9, VmCpu / 2), Standby};
  const PoolPlan Plan =
      planPools(Pools, Averages, {.CpuMilliOfVm = VmCpu}, at(1000));
  const auto ToPeak = std::ranges::count_if(
      Plan.Moves, [](const PoolMove &M) { return M.To == PoolId("peak"); });
  // All 8 VMs of the standby pool, and 5 of the trough pool, which keeps its
  // minimum of ceil(0.4 * 26 / 3) = 4.
  CHECK(ToPeak == 13);
  for (const PoolMove &Move : Plan.Moves)
    CHECK(Move.From != PoolId("peak"));
  // Half a second later the demand drops briefly: no VM is moved away.
  PoolView Emptied = poolOf("standby", 0, 0);
  Emptied.Standby = true;
  const std::vector<PoolView> Dip{poolOf("peak", 22, 15 * VmCpu, 5),
                                  poolOf("trough", 4, VmCpu / 2), Emptied};
  CHECK(planPools(Dip, Averages, {.CpuMilliOfVm = VmCpu}, at(1500))
            .Moves.empty());
}

TEST_CASE("VMs with long-running tasks or in maintenance are not moved") {
  std::map<PoolId, PoolDemandAverage> Averages;
  PoolView Trough = poolOf("trough", 9, 0);
  for (PoolVm &Vm : Trough.Vms)
    Vm.LongRunningTasks = 1;
  Trough.Vms[0].LongRunningTasks = 0;
  Trough.Vms[0].Movable = false;
  const std::vector<PoolView> Pools{poolOf("peak", 3, 20 * VmCpu, 5), Trough};
  const PoolPlan Plan =
      planPools(Pools, Averages, {.CpuMilliOfVm = VmCpu}, at(1000));
  CHECK(Plan.Moves.empty());
  CHECK(Plan.Drain.empty());
}

TEST_CASE("property: a VM moves at most once, and only when it is empty") {
  CHECK(rc::check([] {
    std::map<PoolId, PoolDemandAverage> Averages;
    std::vector<PoolView> Pools;
    const int Count = *rc::gen::inRange(2, 6);
    for (int Index = 0; Index < Count; ++Index) {
      Pools.push_back(poolOf("p" + std::to_string(Index) + "-",
                             *rc::gen::inRange(0, 12),
                             *rc::gen::inRange(0, 30) * VmCpu));
      for (PoolVm &Vm : Pools.back().Vms)
        Vm.Runs = *rc::gen::inRange(0, 3);
    }
    Pools.back().Standby = *rc::gen::arbitrary<bool>();
    const PoolPlan Plan =
        planPools(Pools, Averages, {.CpuMilliOfVm = VmCpu}, at(1000));
    std::set<VmId> Seen;
    for (const PoolMove &Move : Plan.Moves) {
      RC_ASSERT(Seen.insert(Move.Vm).second);
      RC_ASSERT(Move.From != Move.To);
      for (const PoolView &Pool : Pools)
        for (const PoolVm &Vm : Pool.Vms)
          if (Vm.Id == Move.Vm)
            RC_ASSERT(Vm.Runs == 0);
    }
  }));
}

TEST_CASE(
    "a wave respects its limit and takes down prepared VMs that are empty") {
  WaveView View = waveOf(10, 3);
  View.Vms[4].Stage = WaveStage::RebootRequested;
  View.Vms[5].Stage = WaveStage::Preparing;
  View.Vms[5].Runs = 0;
  View.Vms[6].UsedCpuMilli = 1000;
  const WavePlan Plan = planWave(View, at(1000));
  CHECK(Plan.TakeDown == std::vector<VmId>{VmId("vm5")});
  CHECK(Plan.Prepare.size() == 1);
  CHECK(Plan.Prepare[0] == VmId("vm0"));
}

TEST_CASE("a pool at its peak keeps its VMs until the deadline is near") {
  WaveView View = waveOf(10, 3);
  View.Pools[PoolId("p")].DemandCpuMilli = 15 * VmCpu;
  CHECK(planWave(View, at(1000)).Prepare.empty());
  CHECK_FALSE(planWave(View, at(20000)).Prepare.empty());
}

TEST_CASE("a wave takes no VMs from a peak whose work has become late") {
  // Seconds 3.7 to 4.7 of scale-1 on the large site: a pool of 269 VMs is asked
  // for twice what it holds; a second later much of that work is late, and
  // counts for a fifth. The wave then took 49 VMs, at the height of the peak.
  constexpr int Vms = 269;
  constexpr double Peak = 30431189;
  constexpr double WhenLate = 15000000;
  PoolDemandAverage Average{.SmoothedDemand = Peak, .UpdatedAt = at(3700)};
  WaveView View = waveOf(Vms, 79);
  WavePool &Pool = View.Pools[PoolId("p")];
  Pool.DemandCpuMilli = std::int64_t(WhenLate);
  CHECK_FALSE(planWave(View, at(4700)).Prepare.empty());
  Pool.DemandCpuMilli =
      std::int64_t(rememberedDemand(Average, WhenLate, at(4700)));
  CHECK(planWave(View, at(4700)).Prepare.empty());
  // Three seconds after the peak, the pool can spare VMs.
  Pool.DemandCpuMilli =
      std::int64_t(rememberedDemand(Average, 0.2 * WhenLate, at(7700)));
  CHECK_FALSE(planWave(View, at(7700)).Prepare.empty());
}

TEST_CASE("property: a wave never takes more VMs down than its limit") {
  CHECK(rc::check([] {
    WaveView View = waveOf(*rc::gen::inRange(1, 12), *rc::gen::inRange(1, 5));
    int Down = 0;
    for (WaveVm &Vm : View.Vms) {
      Vm.Stage = static_cast<WaveStage>(*rc::gen::inRange(0, 4));
      Vm.Up = *rc::gen::arbitrary<bool>();
      Vm.Runs = *rc::gen::inRange(0, 2);
      Vm.CanInterrupt = *rc::gen::arbitrary<bool>();
      Down += Vm.Stage == WaveStage::RebootRequested;
    }
    const WavePlan Plan = planWave(View, at(*rc::gen::inRange(0, 40000)));
    if (!Plan.TakeDown.empty())
      RC_ASSERT(Down + int(Plan.TakeDown.size()) <= View.MaxConcurrent);
    for (const VmId &Id : Plan.TakeDown)
      for (const WaveVm &Vm : View.Vms)
        if (Vm.Id == Id)
          RC_ASSERT(Vm.Runs == 0 || Vm.CanInterrupt);
  }));
}

TEST_CASE("the pool with the largest backlog leaves VMs to another peak") {
  // Second 11 of scale-2 on a site of 349 VMs: one pool asked for four times
  // the fleet and received 157 VMs, 74 of them stayed empty, while the other
  // had 33 VMs and a demand of as many as there are.
  for (const bool Divide : {false, true}) {
    std::map<PoolId, PoolDemandAverage> Averages;
    PoolView Standby = poolOf("standby", 40, 0);
    Standby.Standby = true;
    const std::vector<PoolView> Pools{poolOf("small", 33, 340 * VmCpu, 5),
                                      poolOf("large", 85, 1500 * VmCpu, 5),
                                      poolOf("trough", 100, 10 * VmCpu),
                                      Standby};
    const PoolPlan Plan =
        planPools(Pools, Averages,
                  {.CpuMilliOfVm = VmCpu, .DivideScarceVms = Divide}, at(1000));
    const auto Received = [&](const char *Pool) {
      return std::ranges::count_if(Plan.Moves, [&](const PoolMove &Move) {
        return Move.To == PoolId(Pool);
      });
    };
    CHECK(Plan.Scarce == Divide);
    CHECK((Received("small") > 0) == Divide);
    if (Divide)
      CHECK(std::abs((33 + Received("small")) - (85 + Received("large"))) < 40);
  }
}

TEST_CASE("pools that can all be served are planned as without division") {
  std::map<PoolId, PoolDemandAverage> Averages;
  std::map<PoolId, PoolDemandAverage> Others;
  PoolView Standby = poolOf("standby", 30, 0);
  Standby.Standby = true;
  const std::vector<PoolView> Pools{poolOf("a", 20, 30 * VmCpu, 2),
                                    poolOf("b", 20, 3 * VmCpu), Standby};
  const PoolPlan Divided =
      planPools(Pools, Averages,
                {.CpuMilliOfVm = VmCpu, .DivideScarceVms = true}, at(1000));
  const PoolPlan Plain =
      planPools(Pools, Others, {.CpuMilliOfVm = VmCpu}, at(1000));
  CHECK_FALSE(Divided.Scarce);
  CHECK(Divided.Moves == Plain.Moves);
  CHECK(Divided.Targets == Plain.Targets);
}

TEST_CASE("a paced wave takes few VMs of a peak, and none beyond its pace") {
  // A wave of 165 VMs with 25 s to go took 31 VMs within a second of a peak.
  WaveView View = waveOf(165, 66);
  View.Deadline = at(26500);
  View.Pools[PoolId("p")].DemandCpuMilli = 400 * VmCpu;
  View.Scarce = true;
  View.Paced = true;
  const std::size_t AtOnce = planWave(View, at(1500)).Prepare.size();
  CHECK(AtOnce > 30); // 165 VMs of 4.5 s each within 20.5 s.
  CHECK(AtOnce < 40);
  // Fallen behind: the pace rises, up to the limit of the wave.
  CHECK(planWave(View, at(10500)).Prepare.size() > AtOnce);
  CHECK(planWave(View, at(25000)).Prepare.size() == 66);
}

TEST_CASE("a paced wave takes VMs of a pool at its trough first") {
  WaveView View = waveOf(10, 2);
  View.Paced = true;
  View.Pools[PoolId("p")].DemandCpuMilli = 8 * VmCpu;
  View.Pools[PoolId("q")] = {
      .CpuMilli = 4 * VmCpu, .DemandCpuMilli = VmCpu / 10, .VmsInService = 4};
  View.Vms.push_back({.Id = VmId("idle"),
                      .Pool = PoolId("q"),
                      .Up = true,
                      .CanInterrupt = true,
                      .UsedCpuMilli = 1});
  const WavePlan Plan = planWave(View, at(1000));
  REQUIRE_FALSE(Plan.Prepare.empty());
  CHECK(Plan.Prepare[0] == VmId("idle"));
}

TEST_CASE("property: a paced wave that is taken down as planned ends in time") {
  CHECK(rc::check([] {
    const int Vms = *rc::gen::inRange(1, 60);
    const int Limit = *rc::gen::inRange(1, 30);
    WaveView View = waveOf(Vms * 3, Limit);
    View.Vms.resize(std::size_t(Vms));
    View.Paced = true;
    View.Scarce = *rc::gen::arbitrary<bool>();
    View.Pools[PoolId("p")].DemandCpuMilli = 1000 * VmCpu;
    // Enough for the limit on concurrent VMs, with two rounds to spare.
    constexpr int RoundMs = 4500;
    const int Rounds = (Vms + Limit - 1) / Limit + 2;
    View.Deadline = at(std::int64_t(Rounds) * RoundMs);
    std::map<VmId, std::int64_t> DoneAt;
    for (int Ms = 0; Ms <= Rounds * RoundMs; Ms += 200) {
      WavePool &Pool = View.Pools[PoolId("p")];
      for (WaveVm &Vm : View.Vms)
        if (DoneAt.contains(Vm.Id) && DoneAt[Vm.Id] <= Ms &&
            Vm.Stage == WaveStage::RebootRequested) {
          Vm.Stage = WaveStage::Done;
          --Pool.VmsOutOfService;
          ++Pool.VmsInService;
        }
      const WavePlan Plan = planWave(View, at(Ms));
      const auto SetStage = [&](const VmId &Id, WaveStage Stage) {
        std::ranges::find(View.Vms, Id, &WaveVm::Id)->Stage = Stage;
      };
      for (const VmId &Id : Plan.Prepare) {
        SetStage(Id, WaveStage::Preparing);
        --Pool.VmsInService;
        ++Pool.VmsOutOfService;
      }
      for (const VmId &Id : Plan.TakeDown) {
        SetStage(Id, WaveStage::RebootRequested);
        DoneAt[Id] = Ms + RoundMs - 400;
      }
    }
    for (const WaveVm &Vm : View.Vms)
      RC_ASSERT(Vm.Stage == WaveStage::Done);
  }));
}
