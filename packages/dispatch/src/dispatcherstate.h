#pragma once

#include "sardinerill/dispatch/dispatcher.h"

/// \file
/// What the dispatcher keeps of requests, pools and VMs.

namespace sardinerill {

/// One request in hand.
struct Dispatcher::Job {
  WorkRequest Request;
  Done Finished;
  TeamId Team;
  WorkClass Class;
  Instant Arrived;
  Instant LatestStart;
  std::vector<VmId> Tried;
  unsigned Tries = 0;
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
  Duration StartGap{0};
  Instant LastStart{};
};

/// One upstream VM as this daemon knows it.
struct Dispatcher::VmRecord {
  VmHealth Health;
  unsigned Running = 0;
};

/// Loads of teams in one pool, fleet-wide.
class Dispatcher::Loads : public ITeamLoads {
public:
  Loads(const Dispatcher &Owner, const PoolState &State)
      : Owner(Owner), State(State) {}

  TeamLoad loadOf(const TeamId &Team) const override {
    TeamLoad Load;
    auto Here = this->State.Running.find(Team);
    Load.Running = Here == this->State.Running.end() ? 0 : Here->second;
    Load.Running += this->Owner.View.runningElsewhere(this->State.Id, Team);
    auto Known = this->Owner.Current->Teams.find(Team);
    if (Known == this->Owner.Current->Teams.end()) {
      Load.Blocked = Team != openTeam();
      return Load;
    }
    Load.Share = Known->second.Share;
    Load.Blocked = this->Owner.Escrow.available(resourceOf(Team)) == 0;
    return Load;
  }

private:
  const Dispatcher &Owner;
  const PoolState &State;
};

} // namespace sardinerill
