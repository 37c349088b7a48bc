#include "schedulerstate.h"

#include <algorithm>

/// \file
/// Runs that listings name before their job is known.
///
/// The table read at the takeover may be seconds old and lack the newest jobs.
/// By the time such a job is found, all upstreams may have answered, and the
/// next listing may come too late.

namespace sardinerill::site {

void Scheduler::Impl::rememberUnknownRuns(UpstreamRecord &Upstream,
                                          const RunListing &Listing) {
  Upstream.UnknownRuns.clear();
  for (const ActiveRun &Active : Listing.Active)
    if (!this->job(Active.Run.Task.Job))
      Upstream.UnknownRuns.push_back(Active);
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
    for (const ActiveRun &Active : Upstream->UnknownRuns)
      if (Active.Run.Task.Job == Job)
        this->applyActiveRun(*Upstream, Active, Now);
    std::erase_if(Upstream->UnknownRuns, [&](const ActiveRun &Active) {
      return Active.Run.Task.Job == Job;
    });
  }
}

} // namespace sardinerill::site
