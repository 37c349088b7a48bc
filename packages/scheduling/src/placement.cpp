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
constexpr double BestEffortWeight = 50;
constexpr double PackingWeight = 10;

bool hasLabel(const UpstreamReport &Report, const std::string &Label) {
  return std::ranges::find(Report.Labels, Label) != Report.Labels.end();
}

bool hasRunYoungerThan(const UpstreamRecord &Candidate, Duration Age,
                       Instant Now) {
  return std::ranges::any_of(Candidate.Runs, [&](const auto &Entry) {
    return !Entry.second->Settled && Now - Entry.second->StartedAt < Age;
  });
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
  return Score + PackingWeight * (SpreadsLoad ? -Used : Used);
}

} // namespace sardinerill::site
