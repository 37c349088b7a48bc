#include "placement.h"

#include "crashsuspects.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Weights of the placement criteria, spaced so that a less important criterion
/// never outweighs a more important one; the shares of CPU in use that the last
/// two multiply are at most 1. BestEffortWeight and PackingWeight are
/// alternatives.
constexpr double FailureWeight = 1000;
constexpr double ColdWeight = 500;
constexpr double MaintenanceWeight = 200;
constexpr double RackWeight = 100;
/// Above MaintenanceWeight and RackWeight together: the last tasks of a step
/// determine its end.
constexpr double EndOfStepWeight = 400;
/// Multiplied by the slowdown, which is at most 4, and by the failure rate, at
/// most 1. Their sum is below RackWeight. A slow upstream has a slowdown of at
/// least 1.3, so that it comes after all others however full these are.
constexpr double SlownessWeight = 15;
constexpr double FailureRateWeight = 30;
constexpr double BestEffortWeight = 50;
constexpr double PackingWeight = 10;
/// Multiplied by a part of at most 1. Below the packing score of the smallest
/// usual task, 3 of 64 processors, so that spreading a step costs no VM.
constexpr double SpreadWeight = 0.4;

bool hasLabel(const UpstreamReport &Report, const std::string &Label) {
  return std::ranges::find(Report.Labels, Label) != Report.Labels.end();
}

bool hasRunYoungerThan(const UpstreamRecord &Candidate, Duration Age,
                       Instant Now) {
  return std::ranges::any_of(Candidate.Runs, [&](const auto &Entry) {
    return !Entry.second->Settled && Now - Entry.second->latestBegin() < Age;
  });
}

double healthPenalty(const UpstreamHealth &Health, bool EndsStep) {
  double Penalty = 0;
  if (Health.isSlow())
    Penalty += SlownessWeight * Health.Slowdown;
  if (!Health.isHealthy())
    Penalty += FailureRateWeight * Health.FailureRate +
               (EndsStep ? EndOfStepWeight : 0);
  return Penalty;
}

bool hasValidTicket(const StepRecord &Record, const UpstreamId &Id,
                    Instant Now) {
  const auto Found = Record.Tickets.find(Id);
  return Found != Record.Tickets.end() && Found->second.second > Now;
}

} // namespace

std::string_view UpstreamRecord::rack() const {
  // The labels in a registry entry are the kind of VM and its rack, in this
  // order.
  return this->Report.Labels.size() > 1
             ? std::string_view(this->Report.Labels[1])
             : std::string_view();
}

void StepSpread::add(std::string_view Rack, std::string_view Zone, int Count) {
  this->Entries.push_back({.Rack = Rack, .Zone = Zone, .Count = Count});
  this->Total += Count;
}

double StepSpread::sharedWith(const UpstreamRecord &Candidate) const {
  if (this->Total == 0)
    return 0;
  const std::string_view OwnRack = Candidate.rack();
  const std::string_view OwnZone = Candidate.Report.Zone.str();
  double Shared = 0;
  for (const auto &[Rack, Zone, Count] : this->Entries)
    Shared += 0.5 * Count * ((Rack == OwnRack) + (Zone == OwnZone));
  return Shared / this->Total;
}

Resources reservedResources(const StepSpec &Step) {
  Resources Reserved = Step.Requested;
  if (Step.BestEffort)
    Reserved.CpuMilli = 0;
  return Reserved;
}

bool canRun(const UpstreamRecord &Candidate, const PlacementRequest &Request) {
  const StepSpec &Step = *Request.Step;
  if (Candidate.Report.Pool != Request.Pool || !Candidate.acceptsTasks())
    return false;
  if (Request.HealthyOnly && !Candidate.Health.isHealthy())
    return false;
  if (Candidate.OnProbation)
    return false; // If it crashes, no other run may be the cause.
  if (Request.Now < Request.Task->Crashes.IdleOnlyUntil &&
      !Candidate.Runs.empty())
    return false;
  if (isSuspect(Request.Task->Crashes) &&
      hasRunYoungerThan(Candidate, SuspectAge, Request.Now))
    return false;
  if (!reservedResources(Step).fitsIn(Candidate.freeCapacity()))
    return false;
  if (!Step.RequiredLabel.empty() &&
      !hasLabel(Candidate.Report, Step.RequiredLabel))
    return false;
  if (Step.MaxPerUpstream > 0) {
    const auto Found =
        Request.Record->RunsPerUpstream.find(Candidate.Report.Id);
    if (Found != Request.Record->RunsPerUpstream.end() &&
        Found->second >= Step.MaxPerUpstream)
      return false;
  }
  if (Request.NeedsTicket &&
      !hasValidTicket(*Request.Record, Candidate.Report.Id, Request.Now))
    return false;
  // Excludes the upstreams that already run the task: an evacuated task must
  // fit on another one.
  return std::ranges::none_of(Request.Task->Runs, [&](const RunPtr &Other) {
    return Other->Upstream == Candidate.Report.Id;
  });
}

double placementScore(const UpstreamRecord &Candidate,
                      const PlacementRequest &Request) {
  double Score = 0;
  if (Candidate.AvoidUntil > Request.Now)
    Score -= FailureWeight * (1 + Candidate.ConsecutiveFailures);
  // Work on an upstream that has just started is slow.
  if (Candidate.ColdUntil > Request.Now)
    Score -= ColdWeight;
  // If it crashes its upstream, few others are lost.
  if (isSuspect(Request.Task->Crashes))
    return Score - double(Candidate.Runs.size());
  Score -= healthPenalty(Candidate.Health, Request.EndsStep);
  // A long-running task would have to be evacuated again, and its availability
  // budget lets few tasks move at a time.
  if (Request.Step->LongRunning && Candidate.MaintenanceDue)
    Score -= MaintenanceWeight;
  const std::string_view Rack = Request.PreferredRack.empty()
                                    ? std::string_view(Request.Step->DataRack)
                                    : Request.PreferredRack;
  if (!Rack.empty() && Candidate.rack() == Rack)
    Score += RackWeight;
  const double Capacity =
      std::max<double>(1, double(Candidate.Report.Capacity.CpuMilli));
  const double Used = double(Candidate.Used.CpuMilli) / Capacity;
  const bool SpreadsLoad =
      Request.Step->BestEffort || Request.Step->TailLatencyTarget.count();
  // Best-effort tasks prefer upstreams with little reserved CPU.
  if (Request.Step->BestEffort)
    return Score - BestEffortWeight * Used;
  // An idle VM is left to the pool planner, also if its rack is preferred.
  if (Request.Spread)
    Score -= SpreadWeight * (Request.Spread->sharedWith(Candidate) +
                             (!SpreadsLoad && Candidate.Runs.empty()));
  return Score + PackingWeight * (SpreadsLoad ? -Used : Used);
}

} // namespace sardinerill::site
