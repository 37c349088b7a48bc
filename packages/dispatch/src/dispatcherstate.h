#pragma once

#include "sardinerill/dispatch/dispatcher.h"

/// \file
/// What the dispatcher keeps of requests, pools and VMs.

namespace sardinerill {

/// One request in hand.
struct Dispatcher::PendingWork {
  WorkRequest Request;
  Done OnDone;
  TeamId Team;
  WorkClass Class;
  Instant Arrived;
  Instant LatestStart;
  std::vector<VmId> TriedVms;
  unsigned Attempts = 0;
  /// Some try may have run; nothing said later may deny it.
  bool MayHaveRun = false;
  bool Claimed = false;
  bool Running = false;
  bool Cancelled = false;
  Instant StartedAt{};
  VmEndpoint Vm;
  UnitSource TeamUnit;
  UnitSource VmUnit;
};

/// One pool's queue and what runs of it.
struct Dispatcher::PoolState {
  PoolId Id;
  WorkQueue Queue;
  std::vector<VmId> Members;
  unsigned Slots = 0;
  std::map<TeamId, unsigned> Running;
  /// Smoothed time between two starts, for estimates of waiting.
  Duration AverageStartInterval{0};
  Instant LastStartAt{};
};

/// One upstream VM as this daemon knows it.
struct Dispatcher::VmRecord {
  VmHealth Health;
  unsigned Running = 0;
};

/// Loads of teams in one pool, fleet-wide.
class Dispatcher::PoolTeamLoads : public ITeamLoads {
public:
  PoolTeamLoads(const Dispatcher &Parent, const PoolState &State)
      : Parent(Parent), State(State) {}

  TeamLoad loadOf(const TeamId &Team) const override {
    TeamLoad Load;
    auto Local = this->State.Running.find(Team);
    Load.Running = Local == this->State.Running.end() ? 0 : Local->second;
    Load.Running += this->Parent.View.runningElsewhere(this->State.Id, Team);
    auto Found = this->Parent.CurrentFleet->Teams.find(Team);
    if (Found == this->Parent.CurrentFleet->Teams.end()) {
      Load.Blocked = Team != openTeam();
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
