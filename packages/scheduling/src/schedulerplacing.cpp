#include "jobgraph.h"
#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Size of the range of run numbers of each owner. Runs of two owners never
/// share a number, provided that no owner starts a task more often than this.
constexpr int NumbersPerTerm = 64;
/// Maximum number of upstreams in one request to the placement advisor.
constexpr std::size_t MostCandidates = 30;
/// A started job counts as late only when it is behind by this share of its
/// objective: estimates are off by half, and the work done so far is wasted if
/// the job is not finished.
constexpr double PatienceShare = 0.4;
/// Tickets are not used within this time before they expire.
constexpr milliseconds TicketMargin{150};

} // namespace

bool Scheduler::State::hasWaitingTask(const StepRecord &Step,
                                      Instant Now) const {
  return std::ranges::any_of(Step.Tasks, [&](const TaskRecord &Task) {
    return !Task.Done && Task.Runs.empty() && Task.NotBefore <= Now;
  });
}

WaitingWork Scheduler::State::weigh(const JobRecord &Job,
                                    const QueueSettings &Queue,
                                    const OccurrenceRecord &Occurrence,
                                    Instant Now) const {
  const auto Learned = this->Learned.find(Job.Spec.Queue.Id);
  const double Factor =
      Learned == this->Learned.end() ? 1.0 : Learned->second.Factor;
  const Duration Chain(
      std::int64_t(Factor * double(Job.EstimatedChain.count())));
  const Duration Allowed =
      Duration(std::int64_t(Queue.Stretch * double(Chain.count()))) +
      Queue.LatencyTarget;
  const Instant Objective = Job.AcceptedAt + Allowed;
  const Duration Left = remainingChain(Job.Spec, Occurrence, Factor);
  const Duration Patience =
      Job.Started
          ? Duration(std::int64_t(PatienceShare * double(Allowed.count())))
          : Duration{};
  return {.Priority = Queue.Priority,
          .CanBeInTime = Now + Left <= Objective + Patience,
          .OverShare = Job.OverShare,
          .RemainingCpuSeconds =
              remainingCpuSeconds(Job.Spec, Occurrence, Factor),
          .Objective = Objective,
          .AcceptedAt = Job.AcceptedAt};
}

std::vector<WaitingStep> Scheduler::State::waitingSteps(Instant Now) {
  std::vector<WaitingStep> Waiting;
  for (const JobId &Id : this->LiveJobs) {
    JobRecord &Job = *this->Jobs.at(Id);
    const QueueSettings &Queue = this->settingsOf(Job);
    if (this->isBlocked(Job, Queue.Pool))
      continue;
    for (auto &[Number, Occurrence] : Job.Occurrences) {
      if (Occurrence.OpenTasks == 0)
        continue;
      for (std::size_t Step = 0; Step < Occurrence.Steps.size(); ++Step) {
        if (!this->hasWaitingTask(Occurrence.Steps[Step], Now) ||
            !isReady(Job.Spec, Occurrence, int(Step)))
          continue;
        Waiting.push_back({&Job, &Queue, Number, int(Step),
                           this->weigh(Job, Queue, Occurrence, Now)});
      }
    }
  }
  return Waiting;
}

bool Scheduler::State::underCeiling(const OrganisationId &Organisation,
                                    const Resources &More) const {
  const OrganisationSettings *Settings =
      this->Configuration.organisation(Organisation);
  if (!Settings)
    return true; // A public queue, or an organisation that was removed.
  const auto Found = this->InUse.find(Organisation);
  const Resources Total =
      More + (Found == this->InUse.end() ? Resources{} : Found->second);
  const auto Within = [](std::int64_t Used, std::int64_t Limit) {
    return Limit <= 0 || Used <= Limit;
  };
  return Within(Total.CpuMilli, Settings->Ceiling.CpuMilli) &&
         Within(Total.MemoryMb, Settings->Ceiling.MemoryMb) &&
         Within(Total.Accelerators, Settings->Ceiling.Accelerators);
}

bool Scheduler::State::mayFit(const PoolId &Pool, const Resources &Need) {
  auto Known = this->MostFree.find(Pool);
  if (Known == this->MostFree.end()) {
    Resources Most;
    for (const UpstreamRecord *Each : this->ByPool[Pool]) {
      if (!Each->takesTasks())
        continue;
      const Resources Free = Each->free();
      Most.CpuMilli = std::max(Most.CpuMilli, Free.CpuMilli);
      Most.MemoryMb = std::max(Most.MemoryMb, Free.MemoryMb);
      Most.Accelerators = std::max(Most.Accelerators, Free.Accelerators);
    }
    Known = this->MostFree.emplace(Pool, Most).first;
  }
  return Need.fitsIn(Known->second);
}

UpstreamRecord *Scheduler::State::choose(const PlacementQuestion &Question) {
  const auto Found = this->ByPool.find(Question.Pool);
  if (Found == this->ByPool.end())
    return nullptr;
  UpstreamRecord *Best = nullptr;
  double BestScore = 0;
  for (UpstreamRecord *Candidate : Found->second) {
    if (!mayRun(*Candidate, Question))
      continue;
    const double Score = suitability(*Candidate, Question);
    if (!Best || Score > BestScore) {
      Best = Candidate;
      BestScore = Score;
    }
  }
  return Best;
}

int Scheduler::State::nextNumber(const JobRecord &Job,
                                 const TaskRecord &Task) const {
  const int First = Job.Inherited ? this->Options.Term * NumbersPerTerm + 1 : 1;
  return std::max(Task.LastNumber + 1, First);
}

void Scheduler::State::start(UpstreamRecord &Where, const WaitingStep &Waiting,
                             int Index, int Number, Instant Now) {
  const RunId Id = Waiting.runOf(Index, Number);
  const StepSpec &Spec = Waiting.spec();
  StepRecord &Record = Waiting.record();
  std::string Ticket;
  if (const auto Found = Record.Tickets.find(Where.Report.Id);
      Found != Record.Tickets.end())
    Ticket = Found->second.first;
  std::string Checkpoint = Record.Tasks[std::size_t(Index)].Checkpoint;
  if (Spec.Gang) // All members start from the latest checkpoint of any member.
    for (const TaskRecord &Member : Record.Tasks)
      if (Member.Checkpoint > Checkpoint)
        Checkpoint = Member.Checkpoint;
  this->addRun(Where, Id, Spec, Waiting.Job->Spec.Organisation,
               RunPhase::Ordered, Now);
  this->Orders.push_back(StartOrder{
      Where.Report.Id, Id, Waiting.Job->Spec.Payload, Checkpoint, Ticket});
}

bool Scheduler::State::askAdvice(const WaitingStep &Waiting, Instant Now) {
  StepRecord &Record = Waiting.record();
  const bool Known =
      std::ranges::any_of(Record.Tickets, [&](const auto &Entry) {
        return Entry.second.second > Now;
      });
  if (Known || Record.AdvicePending)
    return Known;
  const auto Found = this->ByPool.find(Waiting.Queue->Pool);
  if (Found == this->ByPool.end())
    return false;
  AdviceOrder Question{Waiting.Job->Spec.Id, Waiting.Occurrence, Waiting.Step};
  for (const UpstreamRecord *Candidate : Found->second)
    if (Candidate->takesTasks() && Question.Candidates.size() < MostCandidates)
      Question.Candidates.push_back(Candidate->Report.Id);
  if (Question.Candidates.empty())
    return false;
  Record.AdvicePending = true;
  this->Orders.push_back(std::move(Question));
  return false;
}

bool Scheduler::State::placeTask(const WaitingStep &Waiting, int Index,
                                 Instant Now) {
  const StepSpec &Spec = Waiting.spec();
  StepRecord &Record = Waiting.record();
  TaskRecord &Task = Record.Tasks[std::size_t(Index)];
  if (!this->underCeiling(Waiting.Job->Spec.Organisation,
                          Spec.Need +
                              this->unseenUse(Waiting.Job->Spec.Organisation)))
    return false;
  if (!this->mayFit(Waiting.Queue->Pool, chargedTo(Spec)))
    return false;
  UpstreamRecord *Where =
      this->choose({.Step = &Spec,
                    .Record = &Record,
                    .Pool = Waiting.Queue->Pool,
                    .Task = &Task,
                    .NeedsTicket = Waiting.Queue->NeedsAdvice,
                    .Now = Now});
  if (!Where) {
    this->MostFree.erase(Waiting.Queue->Pool);
    return false;
  }
  this->start(*Where, Waiting, Index, this->nextNumber(*Waiting.Job, Task),
              Now);
  return true;
}

bool Scheduler::State::placeTasks(const WaitingStep &Waiting, Instant Now) {
  if (Waiting.Queue->NeedsAdvice && !this->askAdvice(Waiting, Now))
    return true; // Resumed when the advisor has answered.
  if (Waiting.spec().Gang)
    return this->placeGang(Waiting, Now);
  StepRecord &Record = Waiting.record();
  for (std::size_t Index = 0; Index < Record.Tasks.size(); ++Index) {
    const TaskRecord &Task = Record.Tasks[Index];
    if (Task.Done || !Task.Runs.empty() || Task.NotBefore > Now)
      continue;
    if (!this->placeTask(Waiting, int(Index), Now))
      return false;
  }
  return true;
}

bool Scheduler::State::placeGang(const WaitingStep &Waiting, Instant Now) {
  StepRecord &Record = Waiting.record();
  const StepSpec &Spec = Waiting.spec();
  int Number = 0;
  for (const TaskRecord &Task : Record.Tasks) {
    // All members of an earlier run must have ended.
    if (!Task.Runs.empty() || Task.NotBefore > Now)
      return true;
    Number = std::max(Number, this->nextNumber(*Waiting.Job, Task));
  }
  const Resources Whole = Spec.Need * std::int64_t(Record.Tasks.size());
  if (!this->underCeiling(Waiting.Job->Spec.Organisation,
                          Whole +
                              this->unseenUse(Waiting.Job->Spec.Organisation)))
    return false;
  // Tries each rack on its own first, then the whole pool.
  std::vector<std::string> Racks{""};
  if (Spec.SameRack)
    for (const UpstreamRecord *Each : this->ByPool[Waiting.Queue->Pool])
      if (std::ranges::find(Racks, Each->rack()) == Racks.end())
        Racks.insert(Racks.begin(), std::string(Each->rack()));
  for (const std::string &Rack : Racks) {
    std::vector<std::pair<UpstreamRecord *, int>> Chosen;
    for (std::size_t Index = 0; Index < Record.Tasks.size(); ++Index) {
      UpstreamRecord *Where =
          this->choose({.Step = &Spec,
                        .Record = &Record,
                        .Pool = Waiting.Queue->Pool,
                        .PreferredRack = Rack,
                        .Task = &Record.Tasks[Index],
                        .NeedsTicket = Waiting.Queue->NeedsAdvice,
                        .Now = Now});
      if (!Where || (!Rack.empty() && Where->rack() != Rack))
        break;
      Where->Used +=
          chargedTo(Spec); // Reserved until all members have a place.
      ++Record.PerUpstream[Where->Report.Id];
      Chosen.emplace_back(Where, int(Index));
    }
    for (const auto &[Where, Index] : Chosen) {
      Where->Used -= chargedTo(Spec);
      if (--Record.PerUpstream[Where->Report.Id] <= 0)
        Record.PerUpstream.erase(Where->Report.Id);
    }
    if (Chosen.size() < Record.Tasks.size())
      continue;
    for (const auto &[Where, Index] : Chosen)
      this->start(*Where, Waiting, Index, Number, Now);
    return true;
  }
  return false;
}

void Scheduler::adviceAnswered(const AdviceOrder &Asked,
                               const std::map<UpstreamId, std::string> &Tickets,
                               Duration Validity, Instant Now) {
  JobRecord *Job = this->Inner->job(Asked.Job);
  if (!Job || !Job->Occurrences.contains(Asked.Occurrence))
    return;
  StepRecord &Record =
      Job->Occurrences.at(Asked.Occurrence).Steps[std::size_t(Asked.Step)];
  Record.AdvicePending = false;
  for (const auto &[Id, Ticket] : Tickets)
    Record.Tickets[Id] = {Ticket, Now + Validity - TicketMargin};
}

} // namespace sardinerill::site
