#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <array>

/// \file
/// Upstreams whose process has ended, and those that started again under the
/// same id.
///
/// A command names only the id, so that a new process under the same id
/// executes the starts that were sent to the old one and reach it late. What
/// proves the end of the old process proves nothing about those.

namespace sardinerill::site {

namespace {

/// How old the state in a list of VMs may be, counted from the request.
constexpr milliseconds MaxVmListAge{250};
/// A start is sent within this time of the decision, or not at all.
constexpr milliseconds MaxSendDelay{500};

/// \returns whether no process runs, or may still start, \p Candidate of
/// \p Upstream after a list requested at \p RequestedAt has shown its VM as
/// down.
bool hasEnded(const UpstreamRecord &Upstream, const Run &Candidate,
              Instant RequestedAt) {
  if (Candidate.StartedAt + MaxCommandDelay + MaxSendDelay < RequestedAt)
    return true;
  if (!Candidate.ConfirmedAt)
    return false;
  // The process that confirmed it has ended if the list shows a later state, or
  // if that process had listed it, its connection broke, and an earlier list
  // showed the VM as up. The answer to a start may have come from the next
  // process before the holder has noticed that the connection broke.
  return *Candidate.ConfirmedAt + MaxVmListAge < RequestedAt ||
         (Candidate.Listed && Upstream.ListedOnVm && Upstream.ConnectionBroke &&
          *Candidate.ConfirmedAt <=
              Upstream.ContactLostAt.value_or(Instant::min()));
}

std::string_view nameOf(RunPhase Phase) {
  constexpr std::array<std::string_view, 4> Names{"starting", "uncertain",
                                                  "fenced", "active"};
  return Names[static_cast<std::size_t>(Phase)];
}

} // namespace

void Scheduler::Impl::loseRun(const RunPtr &Lost, Instant Now) {
  logEvent(LogLevel::Info, "run.lost",
           {{"run", describe(Lost->Id)},
            {"upstream", Lost->Upstream.str()},
            {"phase", std::string(nameOf(Lost->Phase))},
            {"listed", Lost->Listed ? "yes" : "no"},
            {"confirmed_ms_ago", millisAgo(Lost->ConfirmedAt, Now)},
            {"age_ms", millisAgo(Lost->StartedAt, Now)}});
  this->removeRun(Lost);
  if (TaskRecord *Task = this->task(Lost->Id.Task))
    Task->NotBefore = Now; // It may be started elsewhere at once.
}

void Scheduler::Impl::keepAcrossRestart(const RunPtr &Kept, Instant Now) {
  const bool MayStartLate =
      Kept->Phase == RunPhase::Uncertain || Kept->Phase == RunPhase::Fenced;
  // The old process has acknowledged the stop, the new one knows nothing of it.
  if (Kept->Phase == RunPhase::Fenced)
    Kept->Phase = RunPhase::Uncertain;
  // Only a listing that is requested from now on says anything about the run.
  Kept->PhaseChangedAt = Kept->ProgressAt = Now;
  Kept->ReadySince.reset();
  Kept->StartKnown = false;
  // The next listing decides about a long-running task with an unknown start,
  // as after the start itself.
  const bool Stop = Kept->StopRequested || (MayStartLate && !Kept->LongRunning);
  Kept->StopRequested = false;
  if (Stop)
    this->requestStop(Kept);
}

void Scheduler::restartUpstream(const UpstreamId &Id,
                                std::int64_t IncarnationStartMs, Instant Now) {
  const auto Found = this->Inner->Upstreams.find(Id);
  if (Found == this->Inner->Upstreams.end() ||
      Found->second->Report.IncarnationStartMs == IncarnationStartMs)
    return;
  UpstreamRecord &Record = *Found->second;
  const std::vector<TaskId> GivenUp = this->Inner->attributeEnd(Record, Now);
  std::vector<RunPtr> Ended;
  for (const auto &[Run, Each] : Record.Runs)
    if (Each->Listed)
      Ended.push_back(Each);
  logEvent(LogLevel::Warning, "upstream.restarted",
           {{"upstream", Id.str()},
            {"pool", Record.Report.Pool.str()},
            {"runs_ended", std::to_string(Ended.size())},
            {"runs_kept", std::to_string(Record.Runs.size() - Ended.size())}});
  this->Inner->replaceProcess(Record, Ended, Now);
  Record.Report.IncarnationStartMs = IncarnationStartMs;
  this->Inner->endGivenUpJobs(GivenUp, Id, Now);
}

void Scheduler::Impl::replaceProcess(UpstreamRecord &Record,
                                     const std::vector<RunPtr> &Ended,
                                     Instant Now) {
  for (const RunPtr &Each : Ended)
    this->loseRun(Each, Now);
  UpstreamRecord Next;
  Next.Report = Record.Report;
  Next.Report.Draining = false;
  Next.Report.ColdRemaining = {}; // The registry has that of the new process.
  // Gets no new tasks before the registry has the entry of the new process.
  Next.Registered = false;
  Next.UnregisteredAt = Next.ReportedAt = Now;
  Next.Cordoned = Record.Cordoned;
  Next.ZoneEvacuated = Record.ZoneEvacuated;
  Next.MaintenanceDue = Record.MaintenanceDue;
  Next.Runs = std::move(Record.Runs);
  Next.Used = Record.Used;
  Record = std::move(Next);
  for (const auto &[Run, Each] : Record.Runs)
    this->keepAcrossRestart(Each, Now);
}

bool Scheduler::Impl::keepForNextProcess(const UpstreamId &Id,
                                         Instant RequestedAt, Instant Now) {
  UpstreamRecord &Record = *this->Upstreams.at(Id);
  std::vector<RunPtr> Ended;
  for (const auto &[Run, Each] : Record.Runs)
    if (hasEnded(Record, *Each, RequestedAt))
      Ended.push_back(Each);
  const std::size_t Kept = Record.Runs.size() - Ended.size();
  if (Kept == 0)
    return false;
  if (Record.ProcessEndedAt) {
    for (const RunPtr &Each : Ended)
      this->loseRun(Each, Now);
    return true;
  }
  const std::vector<TaskId> GivenUp = this->attributeEnd(Record, Now);
  logEvent(LogLevel::Warning, "upstream.ended",
           {{"upstream", Id.str()},
            {"pool", Record.Report.Pool.str()},
            {"reason", "its VM is down"},
            {"runs_ended", std::to_string(Ended.size())},
            {"runs_kept", std::to_string(Kept)}});
  this->replaceProcess(Record, Ended, Now);
  Record.ProcessEndedAt = Now;
  this->endGivenUpJobs(GivenUp, Id, Now);
  return true;
}

bool Scheduler::awaitsNextProcess(const UpstreamId &Id) const {
  const auto Found = this->Inner->Upstreams.find(Id);
  return Found != this->Inner->Upstreams.end() &&
         Found->second->ProcessEndedAt && !Found->second->Runs.empty();
}

} // namespace sardinerill::site
