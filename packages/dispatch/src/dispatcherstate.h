#pragma once

#include "sardinerill/dispatch/dispatcher.h"

/// \file
/// Per-request, per-pool and per-VM state of the dispatcher.

namespace sardinerill {

/// One request from its submission to its final response.
struct Dispatcher::PendingWork {
  WorkRequest Request;
  Callback OnDone;
  TeamId Team;
  WorkClass Class;
  Instant ArrivedAt;
  /// Time after which the request can no longer meet its target.
  Instant LatestStart;
  std::vector<VmId> TriedVms;
  unsigned Attempts = 0;
  /// At least one attempt may have run. Never reset: a later attempt that did
  /// not run doesn't change it.
  bool MayHaveRun = false;
  bool Claimed = false;
  bool Running = false;
  bool Cancelled = false;
  Instant StartedAt{};
  VmEndpoint Vm;
  /// Origin of the unit of the team's ceiling that the attempt has acquired.
  UnitSource TeamUnit;
  /// Origin of the unit of the VM's slots that the attempt has acquired.
  UnitSource VmUnit;
};

/// Queue and running requests of one pool.
struct Dispatcher::PoolState {
  PoolId Id;
  WorkQueue Queue;
  std::vector<VmId> ServingVms;
  /// Number of slots of all serving VMs.
  unsigned TotalSlots = 0;
  /// Number of tasks that this daemon is running, including unconfirmed ones.
  std::map<TeamId, unsigned> RunningByTeam;
  /// Smoothed time between two starts, used to estimate waiting times.
  Duration AverageStartInterval{0};
  Instant LastStartAt{};
};

/// Health of one upstream VM and the requests that this daemon runs on it.
struct Dispatcher::VmRecord {
  VmHealth Health;
  unsigned Running = 0;
};

/// Fleet-wide load of each team in one pool.
class Dispatcher::PoolTeamLoads : public ITeamLoads {
public:
  PoolTeamLoads(const Dispatcher &Parent, const PoolState &State)
      : Parent(Parent), State(State) {}

  TeamLoad loadOf(const TeamId &Team) const override {
    TeamLoad Load;
    auto Local = this->State.RunningByTeam.find(Team);
    Load.Running = Local == this->State.RunningByTeam.end() ? 0 : Local->second;
    Load.Running +=
        this->Parent.View.runningOnOtherDaemons(this->State.Id, Team);
    auto Found = this->Parent.CurrentFleet->Teams.find(Team);
    if (Found == this->Parent.CurrentFleet->Teams.end()) {
      // A team that was removed from the configuration may not start requests.
      Load.Blocked = Team != anonymousTeam();
      return Load;
    }
    Load.Share = Found->second.Share;
    Load.Blocked = this->Parent.Escrow.available(resourceOf(Team)) == 0;
    return Load;
  }

private:
  const Dispatcher &Parent;
  const PoolState &State;
};

} // namespace sardinerill
