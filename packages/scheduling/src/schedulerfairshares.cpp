#include "jobgraph.h"
#include "schedulerstate.h"

#include <algorithm>
#include <unordered_map>

/// \file
/// Placement by fair shares: combines the records of the scheduler with the
/// decisions of packages/overload.

namespace sardinerill::site {

namespace {

bool hasSuspect(const WaitingStep &Waiting) {
  return std::ranges::any_of(
      Waiting.record().Tasks,
      [](const TaskRecord &Task) { return isSuspect(Task.Crashes); });
}

double partOf(std::int64_t Used, std::int64_t Total) {
  return Total > 0 ? double(Used) / double(Total) : 0.0;
}

/// \returns whether \p Work may precede smaller jobs, and counts for the
/// balance of sizes once it is started.
bool countsForBalance(const WaitingStep &Waiting) {
  return Waiting.Job->Size && !Waiting.Job->Started &&
         !Waiting.Work.OverShare && Waiting.Work.CanMeetObjective;
}

overload::SizeClass sizeClassOf(const JobRecord &Job) {
  return Job.Size.value_or(overload::SizeClass::Ordinary);
}

} // namespace

double Scheduler::Impl::weightOf(const OrganisationId &Organisation) const {
  const OrganisationSettings *Settings =
      this->Configuration.organisation(Organisation);
  // Public queues have no organisation; 0 stands for no limit.
  return Settings && Settings->Share > 0 ? Settings->Share : 1.0;
}

double Scheduler::Impl::dominantUse(const PoolId &Pool,
                                    const OrganisationId &Organisation,
                                    const Resources &Capacity) const {
  const auto UseOfPool = this->ShortTaskUse.find(Pool);
  if (UseOfPool == this->ShortTaskUse.end())
    return 0;
  const auto Found = UseOfPool->second.find(Organisation);
  if (Found == UseOfPool->second.end())
    return 0;
  const Resources &Used = Found->second;
  return std::max({partOf(Used.CpuMilli, Capacity.CpuMilli),
                   partOf(Used.MemoryMb, Capacity.MemoryMb),
                   partOf(Used.Accelerators, Capacity.Accelerators)});
}

void Scheduler::Impl::countArrival(JobRecord &Job, Instant Now) {
  if (Job.OverShare || Job.Started || Job.Occurrences.empty() ||
      Job.Spec.Schedule.Count > 0 || hasLongRunningStep(Job.Spec))
    return;
  const double Size =
      remainingCpuSeconds(Job.Spec, Job.Occurrences.begin()->second, 1.0);
  Job.Size = this->SizeBalances[Job.Spec.Queue.Id].arrived(Size, Now);
}

void Scheduler::Impl::recountShares() {
  std::vector<JobRecord *> ByAcceptance;
  for (const auto &[Id, Job] : this->Jobs)
    if (!Job->Spec.Organisation.empty())
      ByAcceptance.push_back(Job.get());
  std::ranges::stable_sort(ByAcceptance, {}, &JobRecord::AcceptedAt);
  this->ShareLimiters.clear();
  for (JobRecord *Job : ByAcceptance)
    Job->OverShare = this->exceedsShare(*Job);
}

void Scheduler::Impl::preferUnderservedSizes(
    const std::vector<WaitingStep> &Waiting,
    std::vector<overload::FairWork> &Works, Instant Now) const {
  std::map<std::pair<QueueId, overload::SizeClass>,
           std::vector<overload::FairWork *>>
      Candidates;
  for (std::size_t Index = 0; Index < Waiting.size(); ++Index) {
    const WaitingStep &Step = Waiting[Index];
    const overload::SizeClass Size = sizeClassOf(*Step.Job);
    if (Size != overload::SizeClass::Ordinary && countsForBalance(Step))
      Candidates[{Step.Job->Spec.Queue.Id, Size}].push_back(&Works[Index]);
  }
  for (auto &[Key, OfClass] : Candidates) {
    const auto Balance = this->SizeBalances.find(Key.first);
    if (Balance == this->SizeBalances.end())
      continue;
    std::ranges::stable_sort(OfClass, {},
                             &overload::FairWork::RemainingCpuSeconds);
    const auto Deficit = std::size_t(Balance->second.deficit(Key.second, Now));
    for (std::size_t Index = 0; Index < std::min(Deficit, OfClass.size());
         ++Index)
      OfClass[Index]->Preferred = true;
  }
}

FairRound
Scheduler::Impl::fairRoundOf(const std::vector<WaitingStep> &Waiting) {
  FairRound Round;
  Round.Works.reserve(Waiting.size());
  std::map<PoolId, std::map<OrganisationId, std::size_t>> LaneOf;
  for (const WaitingStep &Step : Waiting) {
    const auto [Entry, IsNew] = LaneOf[Step.Queue->Pool].try_emplace(
        Step.Job->Spec.Organisation, Round.Lanes.size());
    if (IsNew)
      Round.Lanes.push_back(
          {.Pool = Step.Queue->Pool,
           .Organisation = Step.Job->Spec.Organisation,
           .Weight = this->weightOf(Step.Job->Spec.Organisation)});
    Round.Works.push_back({.Lane = Entry->second,
                           .Priority = Step.Work.Priority,
                           .Worthless = !Step.Work.HasValue,
                           .OverRate = Step.Work.OverShare,
                           .CanMeetObjective = Step.Work.CanMeetObjective,
                           .Started = Step.Job->Started,
                           .RemainingCpuSeconds = Step.Work.RemainingCpuSeconds,
                           .Objective = Step.Work.Objective,
                           .AcceptedAt = Step.Work.AcceptedAt});
  }
  for (const auto &[Pool, LaneOfOrganisation] : LaneOf) {
    Resources Capacity;
    for (const UpstreamRecord *Each : this->ByPool[Pool])
      if (Each->acceptsTasks())
        Capacity += Each->Report.Capacity;
    double SumOfWeights = 0;
    for (const auto &[Organisation, Index] : LaneOfOrganisation)
      SumOfWeights += Round.Lanes[Index].Weight;
    for (const auto &[Organisation, Used] : this->ShortTaskUse[Pool])
      if (Used != Resources{} && !LaneOfOrganisation.contains(Organisation))
        SumOfWeights += this->weightOf(Organisation);
    for (const auto &[Organisation, Index] : LaneOfOrganisation) {
      Round.Lanes[Index].SumOfWeights = SumOfWeights;
      Round.Lanes[Index].Capacity = Capacity;
    }
  }
  return Round;
}

double Scheduler::Impl::useOf(const FairLane &Lane) const {
  return overload::relativeUse(
      {.Weight = Lane.Weight,
       .DominantUse =
           this->dominantUse(Lane.Pool, Lane.Organisation, Lane.Capacity)},
      Lane.SumOfWeights);
}

void Scheduler::Impl::placeAllSuspects(const std::vector<WaitingStep> &Waiting,
                                       Instant Now) {
  // Most holders never see a suspect.
  if (this->Counts.Suspicions == 0 && !this->HasLoadedProgress)
    return;
  std::vector<const WaitingStep *> Suspects;
  for (const WaitingStep &Step : Waiting)
    if (hasSuspect(Step))
      Suspects.push_back(&Step);
  std::ranges::stable_sort(
      Suspects, [](const WaitingStep *Left, const WaitingStep *Right) {
        return isPlacedBefore(Left->Work, Right->Work);
      });
  for (const WaitingStep *Step : Suspects)
    this->placeSuspects(*Step, Now);
}

std::set<PoolId>
Scheduler::Impl::placeByFairShares(const std::vector<WaitingStep> &Waiting,
                                   Instant Now) {
  std::set<PoolId> Short;
  // First, because they need an upstream on which nothing has just begun.
  this->placeAllSuspects(Waiting, Now);
  FairRound Round = this->fairRoundOf(Waiting);
  this->preferUnderservedSizes(Waiting, Round.Works, Now);
  std::vector<double> Uses;
  Uses.reserve(Round.Lanes.size());
  for (const FairLane &Lane : Round.Lanes)
    Uses.push_back(this->useOf(Lane));
  overload::FairOrder Order(Round.Works, std::move(Uses));
  while (true) {
    const std::optional<std::size_t> Next = Order.next();
    if (!Next)
      break;
    const std::size_t Index = *Next;
    const WaitingStep &Step = Waiting[Index];
    // Saves most of the time that a round takes while the pools are full. Steps
    // that need tickets request them before there is capacity.
    if (!Step.Queue->NeedsAdvice &&
        !this->mayFitInPool(Step.Queue->Pool, reservedResources(Step.spec()))) {
      Short.insert(Step.Queue->Pool);
      continue;
    }
    const bool Counts = countsForBalance(Step);
    const std::size_t CommandsBefore = this->Commands.size();
    if (!this->placeTasks(Step, Now))
      Short.insert(Step.Queue->Pool);
    if (this->Commands.size() == CommandsBefore)
      continue; // Nothing was started, so the use is unchanged.
    if (Counts && Step.Job->Started)
      this->SizeBalances[Step.Job->Spec.Queue.Id].started(
          sizeClassOf(*Step.Job), Now);
    Order.setUse(this->useOf(Round.Lanes[Round.Works[Index].Lane]));
  }
  return Short;
}

} // namespace sardinerill::site
