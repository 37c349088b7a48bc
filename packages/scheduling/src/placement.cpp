#include "placement.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Weights of the placement criteria, spaced so that a less important criterion
/// never outweighs a more important one.
constexpr double WeightOfTrust = 1000;
constexpr double WeightOfMaintenance = 200;
constexpr double WeightOfRack = 100;
constexpr double WeightOfServing = 50;
constexpr double WeightOfPacking = 10;

bool hasLabel(const UpstreamReport &Report, const std::string &Label) {
  return std::ranges::find(Report.Labels, Label) != Report.Labels.end();
}

bool holdsTicket(const StepRecord &Record, const UpstreamId &Id, Instant Now) {
  const auto Found = Record.Tickets.find(Id);
  return Found != Record.Tickets.end() && Found->second.second > Now;
}

} // namespace

std::string_view UpstreamRecord::rack() const {
  // The labels of a report are its kind and its rack, in this order.
  return this->Report.Labels.size() > 1
             ? std::string_view(this->Report.Labels[1])
             : std::string_view();
}

Resources chargedTo(const StepSpec &Step) {
  Resources Charged = Step.Need;
  if (Step.Fills)
    Charged.CpuMilli = 0;
  return Charged;
}

bool mayRun(const UpstreamRecord &Candidate,
            const PlacementQuestion &Question) {
  const StepSpec &Step = *Question.Step;
  if (Candidate.Report.Pool != Question.Pool || !Candidate.takesTasks())
    return false;
  if (!chargedTo(Step).fitsIn(Candidate.free()))
    return false;
  if (!Step.RequiredLabel.empty() &&
      !hasLabel(Candidate.Report, Step.RequiredLabel))
    return false;
  if (Step.MaxPerUpstream > 0) {
    const auto Found = Question.Record->PerUpstream.find(Candidate.Report.Id);
    if (Found != Question.Record->PerUpstream.end() &&
        Found->second >= Step.MaxPerUpstream)
      return false;
  }
  if (Question.NeedsTicket &&
      !holdsTicket(*Question.Record, Candidate.Report.Id, Question.Now))
    return false;
  // Copies of a task on the same upstream would fail together.
  return std::ranges::none_of(Question.Task->Runs, [&](const RunPtr &Other) {
    return Other->Where == Candidate.Report.Id;
  });
}

double suitability(const UpstreamRecord &Candidate,
                   const PlacementQuestion &Question) {
  double Score = 0;
  if (Candidate.AvoidUntil > Question.Now)
    Score -= WeightOfTrust * (1 + Candidate.FailuresInRow);
  // A long-running task would have to be evacuated again, and its availability
  // budget lets few tasks move at a time.
  if (Question.Step->LongRunning && Candidate.MaintenanceDue)
    Score -= WeightOfMaintenance;
  const std::string_view Rack = Question.PreferredRack.empty()
                                    ? std::string_view(Question.Step->DataRack)
                                    : Question.PreferredRack;
  if (!Rack.empty() && Candidate.rack() == Rack)
    Score += WeightOfRack;
  const double Whole =
      std::max<double>(1, double(Candidate.Report.Capacity.CpuMilli));
  const double Used = double(Candidate.Used.CpuMilli) / Whole;
  const bool Shares = Question.Step->Fills || Question.Step->TailTarget.count();
  // Best-effort tasks avoid serving tasks and busy processors.
  if (Question.Step->Fills)
    return Score - WeightOfServing * Used;
  return Score + WeightOfPacking * (Shares ? -Used : Used);
}

} // namespace sardinerill::site
