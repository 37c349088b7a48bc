#include "sardinerill/capacity/waveplan.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;

TEST_CASE("a wave takes VMs first that get no tasks") {
  // The zone of vm-3 is being evacuated. Any other VM is missed by its pool,
  // also one on standby while VMs are scarce.
  const PoolId Pool("pool");
  const auto VmOf = [&](const char *Id, bool Standby, bool Unused) {
    return WaveVm{.Id = VmId(Id),
                  .Pool = Pool,
                  .Up = true,
                  .Standby = Standby,
                  .CanInterrupt = true,
                  .Unused = Unused};
  };
  WaveView View{.Vms = {VmOf("vm-1", false, false), VmOf("vm-2", true, false),
                        VmOf("vm-3", false, true)},
                .CpuMilliOfVm = 8000,
                .MaxConcurrent = 1,
                .Deadline = Instant(seconds(1000))};
  // Of two VMs one may be absent, if its demand permits it.
  View.Pools[Pool] = {
      .CpuMilli = 16000, .DemandCpuMilli = 16000, .VmsInService = 2};
  CHECK(planWave(View, Instant(seconds(1))).Prepare ==
        std::vector{VmId("vm-3")});
  View.Paced = true;
  View.Scarce = true;
  CHECK(planWave(View, Instant(seconds(1))).Prepare ==
        std::vector{VmId("vm-3")});
  // The limit of the wave holds for them as well.
  View.MaxConcurrent = 0;
  CHECK(planWave(View, Instant(seconds(1))).Prepare.empty());
}
