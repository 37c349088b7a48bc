#include "schedulerstate.h"

#include "sardinerill/base/logging.h"

#include <algorithm>

/// \file
/// Runs that listings name and whose job or specification is not known.
///
/// The table read at the takeover may be seconds old and lack the newest jobs.
/// By the time such a job is found, all upstreams may have answered, and the
/// next listing may come too late.
///
/// What such a run uses is not known. Its upstream gets no task until it has
/// ended or is counted, and the rest of the upstream's capacity counts against
/// the ceiling of each organisation, since any may own the run.

namespace sardinerill::site {

namespace {

Resources componentMax(const Resources &Left, const Resources &Right) {
  return {.CpuMilli = std::max(Left.CpuMilli, Right.CpuMilli),
          .MemoryMb = std::max(Left.MemoryMb, Right.MemoryMb),
          .Accelerators = std::max(Left.Accelerators, Right.Accelerators)};
}

} // namespace

void Scheduler::Impl::rememberUncountedRuns(UpstreamRecord &Upstream,
                                            const RunListing &Listing) {
  Upstream.UncountedRuns.clear();
  for (const ActiveRun &Active : Listing.Active)
    if (!Upstream.Runs.contains(Active.Run))
      Upstream.UncountedRuns.push_back(Active);
  Upstream.HeldBackEnds.clear();
  for (const EndedRun &End : Listing.Ended)
    if (End.Sequence > Upstream.LastEndSequence)
      Upstream.HeldBackEnds.push_back(End);
}

void Scheduler::Impl::adoptRememberedRuns(const JobId &Job, Instant Now) {
  for (auto &[Id, Upstream] : this->Upstreams) {
    // As in a listing, a run may have ended and the next one be active.
    if (std::ranges::any_of(Upstream->HeldBackEnds, [&](const EndedRun &End) {
          return End.Run.Task.Job == Job;
        })) {
      this->applyEndedRuns(*Upstream, Upstream->HeldBackEnds, Now);
      std::erase_if(Upstream->HeldBackEnds, [&](const EndedRun &End) {
        return End.Sequence <= Upstream->LastEndSequence;
      });
    }
    for (const ActiveRun &Active : Upstream->UncountedRuns)
      if (Active.Run.Task.Job == Job)
        this->applyActiveRun(*Upstream, Active, Now);
    std::erase_if(Upstream->UncountedRuns, [&](const ActiveRun &Active) {
      return Upstream->Runs.contains(Active.Run);
    });
  }
}

void Scheduler::Impl::stopUncountedRun(const UpstreamRecord &Upstream,
                                       const RunId &Uncounted) {
  logEvent(LogLevel::Warning, "run.uncounted_stopped",
           {{"run", describe(Uncounted)},
            {"upstream", Upstream.Report.Id.str()},
            {"job_known", this->job(Uncounted.Task.Job) ? "yes" : "no"}});
  this->Commands.push_back(StopCommand{Upstream.Report.Id, Uncounted});
}

void Scheduler::Impl::updatePossibleUncountedUse() {
  this->PossibleUncountedUse = {};
  for (const auto &[Id, Upstream] : this->Upstreams)
    if (!Upstream->UncountedRuns.empty())
      this->PossibleUncountedUse +=
          componentMax(Upstream->freeCapacity(), Resources{});
}

} // namespace sardinerill::site
