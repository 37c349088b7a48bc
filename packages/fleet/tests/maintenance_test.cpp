#include "sardinerill/fleet/fleetdocument.h"
#include "sardinerill/fleet/maintenance.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using nlohmann::json;

namespace {

json makeDocument(unsigned Vms, unsigned PoolBudget, unsigned ZoneBudget,
                  unsigned RackBudget) {
  json Document{{"rackMaxUnavailable", RackBudget}};
  for (int Pool = 0; Pool < 3; ++Pool)
    Document["pools"]["p" + std::to_string(Pool)] = {
        {"maxUnavailable", PoolBudget}, {"generation", 0}};
  for (int Zone = 0; Zone < 3; ++Zone)
    Document["zones"]["z" + std::to_string(Zone)] = {
        {"maxUnavailable", ZoneBudget}};
  for (unsigned Number = 0; Number < Vms; ++Number)
    Document["vms"]["w" + std::to_string(Number)] = {
        {"pool", "p" + std::to_string(Number % 3)},
        {"zone", "z" + std::to_string(Number % 7 % 3)},
        {"rack", "r" + std::to_string(Number / 4)},
        {"address", "10.0.0.1"},
        {"port", 1000 + Number}};
  return Document;
}

/// Simulates the platform and the daemons as observed by the planner.
struct SimulatedFleet {
  json Document;
  FleetVersion Version = 1;
  FleetObservation ActualState;
  FleetObservation ObservedState;

  explicit SimulatedFleet(json InitialDocument)
      : Document(std::move(InitialDocument)) {
    const Fleet Start = this->fleet();
    for (const auto &[Id, Vm] : Start.Vms)
      this->ActualState[Id] = VmObservation{true, false, true, 1, 0};
    this->ObservedState = this->ActualState;
  }

  Fleet fleet() const {
    return parseFleet(this->Document, this->Version).value();
  }

  void change(const json &Patch) {
    if (Patch.empty())
      return;
    auto Changed = patchDocument(this->Document, Patch);
    REQUIRE(Changed.has_value());
    this->Document = *Changed;
    ++this->Version;
  }

  MaintenancePlan step() {
    MaintenancePlan Plan = planMaintenance(this->fleet(), this->ObservedState);
    this->change(Plan.Patch);
    for (const RebootRequest &Request : Plan.Reboots)
      if (this->ActualState[Request.Vm].Boots == Request.ExpectedBoots)
        ++this->ActualState[Request.Vm].Boots;
    return Plan;
  }

  /// Reference count of the VMs that are out of service by plan or not
  /// confirmed to be up.
  unsigned
  countUnavailable(const std::function<bool(const Vm &)> &Matches) const {
    unsigned Count = 0;
    const Fleet Now = this->fleet();
    const std::set<VmId> Unconfirmed = unconfirmedVms(Now, this->ObservedState);
    for (const auto &[Id, Vm] : Now.Vms)
      if (Matches(Vm) &&
          (Vm.State != VmState::Serving || Unconfirmed.contains(Id)))
        ++Count;
    return Count;
  }
};

bool startsDraining(const MaintenancePlan &Plan, const VmId &Vm) {
  const json Vms = Plan.Patch.value("vms", json::object());
  return Vms.contains(Vm.str()) &&
         Vms[Vm.str()].value("state", "") == "draining";
}

} // namespace

// Guards against three failures under random events: a plan exceeds an
// availability budget; a VM is rebooted before it is drained, which cuts off
// requests in flight; a VM does not belong to exactly one pool.
TEST_CASE(
    "no plan exceeds a budget, reboots a VM with running tasks, or removes "
    "a VM from the fleet") {
  unsigned Rebooted = 0;
  CHECK(rc::check("maintenance", [&] {
    const unsigned Vms = *rc::gen::inRange(6U, 30U);
    const unsigned PoolBudget = *rc::gen::inRange(0U, 4U);
    const unsigned ZoneBudget = *rc::gen::inRange(0U, 5U);
    const unsigned RackBudget = *rc::gen::inRange(0U, 3U);
    SimulatedFleet Simulation(
        makeDocument(Vms, PoolBudget, ZoneBudget, RackBudget));
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            60, rc::gen::pair(rc::gen::inRange(0U, 8U),
                              rc::gen::inRange(0U, 10000U)));
    for (const auto &[Event, Detail] : Events) {
      const VmId Vm("w" + std::to_string(Detail % Vms));
      switch (Event) {
      case 0:
        Simulation.ActualState[Vm].ListedLive = Detail % 3 != 0;
        break;
      case 1:
        Simulation.ActualState[Vm].Ejected = Detail % 4 == 0;
        break;
      case 2:
        Simulation.ActualState[Vm].Drained = Detail % 2 == 0;
        break;
      case 3:
        Simulation.change({{"pools",
                            {{"p" + std::to_string(Detail % 3),
                              {{"generation", Detail / 3 % 50},
                               {"rolloutPaused", false}}}}}});
        break;
      case 4:
        Simulation.change(
            {{"vms",
              {{Vm.str(), {{"moveTo", "p" + std::to_string(Detail % 3)}}}}}});
        break;
      case 5:
        // The planner's observations lag behind and are refreshed only here.
        Simulation.ObservedState = Simulation.ActualState;
        break;
      default: {
        const FleetObservation Before = Simulation.ObservedState;
        const MaintenancePlan Plan = Simulation.step();
        Rebooted += unsigned(Plan.Reboots.size());
        const Fleet Now = Simulation.fleet();
        for (const auto &[Id, Each] : Now.Vms) {
          if (!startsDraining(Plan, Id))
            continue;
          RC_ASSERT(Simulation.countUnavailable([&](const auto &V) {
            return V.Pool == Each.Pool;
          }) <= PoolBudget);
          RC_ASSERT(Simulation.countUnavailable([&](const auto &V) {
            return V.Zone == Each.Zone;
          }) <= ZoneBudget);
          RC_ASSERT(Simulation.countUnavailable([&](const auto &V) {
            return V.Rack == Each.Rack;
          }) <= RackBudget);
        }
        for (const auto &[Id, Boots] : Plan.Reboots) {
          const auto State = Now.Vms.at(Id).State;
          RC_ASSERT(State == VmState::Rebooting);
          // The first reboot requires a drained VM; later ones repeat it.
          RC_ASSERT(Before.at(Id).Drained ||
                    Now.Vms.at(Id).DrainVersion < Simulation.Version - 1);
        }
        RC_ASSERT(Now.Vms.size() == Vms);
      }
      }
    }
  }));
  CHECK(Rebooted > 50);
}

TEST_CASE("a roll-out of 51 VMs takes hardly more rounds than its budgets "
          "require") {
  SimulatedFleet Simulation(makeDocument(51, 2, 6, 4));
  Simulation.change({{"pools",
                      {{"p0", {{"generation", 1}}},
                       {"p1", {{"generation", 1}}},
                       {"p2", {{"generation", 1}}}}}});
  unsigned Rounds = 0;
  while (rolloutProgress(Simulation.fleet(), PoolId("p0")).Done < 17 ||
         rolloutProgress(Simulation.fleet(), PoolId("p1")).Done < 17 ||
         rolloutProgress(Simulation.fleet(), PoolId("p2")).Done < 17) {
    Simulation.ObservedState = Simulation.ActualState;
    Simulation.step();
    REQUIRE(++Rounds < 200);
  }
  // Each VM takes three rounds: drain, reboot, return to service. Two of a
  // pool's 17 VMs are updated at a time, and the round in which a VM returns
  // can already start its successor.
  const unsigned Bound = (17 + 1) / 2 * 3;
  CHECK(Rounds <= Bound * 12 / 10);
}

TEST_CASE("a roll-out is paused when VMs that were already updated fail") {
  SimulatedFleet Simulation(makeDocument(9, 1, 3, 3));
  Simulation.change({{"pools", {{"p0", {{"generation", 1}}}}}});
  for (int Round = 0; Round < 3; ++Round) {
    Simulation.ObservedState = Simulation.ActualState;
    Simulation.step();
  }
  const RolloutProgress Before =
      rolloutProgress(Simulation.fleet(), PoolId("p0"));
  REQUIRE(Before.Done == 1);
  const Fleet Updated = Simulation.fleet();
  for (const auto &[Id, Vm] : Updated.Vms)
    if (Vm.Pool == PoolId("p0") && Vm.Generation == 1)
      Simulation.ActualState[Id].Ejected = true;
  for (int Round = 0; Round < 10; ++Round) {
    Simulation.ObservedState = Simulation.ActualState;
    Simulation.step();
  }
  const RolloutProgress After =
      rolloutProgress(Simulation.fleet(), PoolId("p0"));
  CHECK(After.Paused);
  // The VM that was taken out of service when the first one returned is
  // completed; no further VM is started.
  CHECK(Before.InProgress == 1);
  CHECK(After.Done == 2);
  CHECK(After.InProgress == 0);
}

TEST_CASE("a VM that is already down consumes no budget and is updated first") {
  SimulatedFleet Simulation(makeDocument(9, 1, 3, 3));
  Simulation.ActualState[VmId("w3")].ListedLive = false;
  Simulation.ObservedState = Simulation.ActualState;
  Simulation.change({{"pools", {{"p0", {{"generation", 1}}}}}});
  const MaintenancePlan Plan = Simulation.step();
  CHECK(startsDraining(Plan, VmId("w3")));
  CHECK_FALSE(startsDraining(Plan, VmId("w0")));
  CHECK_FALSE(startsDraining(Plan, VmId("w6")));
}
