#include "crashsuspects.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// Crashes after which a task is given up if one of them had no other suspect.
constexpr int CrashesWithProof = 2;
/// Crashes after which a task is given up in any case.
constexpr int CrashesWithoutProof = 3;
/// A crash whose time is known less well proves nothing: it need not have
/// anything to do with the starts before it. Above the pause between two polls.
constexpr milliseconds MaxTimeUncertainty{400};

} // namespace

Duration probationTime(const CrashRecord &Task) {
  return Task.RecentStarts > 1 ? RepeatedSuspectAge : SuspectAge;
}

bool isSuspect(const CrashRecord &Task) {
  return Task.Suspected || Task.Crashes > 0 || Task.RecentStarts > 1;
}

bool isGivenUp(const CrashRecord &Task) {
  return Task.Crashes >= (Task.Proven ? CrashesWithProof : CrashesWithoutProof);
}

std::vector<RunPtr>
suspectsOf(const UpstreamRecord &Upstream, const UpstreamCrash &Crash,
           const std::function<const CrashRecord *(const RunPtr &)> &RecordOf) {
  std::vector<RunPtr> Suspects;
  for (const auto &[Id, Candidate] : Upstream.Runs) {
    const CrashRecord *Task = RecordOf(Candidate);
    if (!Task || Candidate->Settled || Candidate->StartedAt > Crash.Latest)
      continue;
    if (Candidate->latestBegin() + probationTime(*Task) >= Crash.Earliest)
      Suspects.push_back(Candidate);
  }
  return Suspects;
}

CrashRecord recordCrash(CrashRecord Task, const UpstreamCrash &Crash,
                        bool OnlySuspect, Instant Now) {
  // A rack that fails says nothing about what ran there, unless the task was
  // already on its own.
  const bool Counts = !Crash.WholeRack || (OnlySuspect && Task.Suspected);
  Task.Suspected = true;
  if (!Counts)
    return Task;
  ++Task.Crashes;
  if (OnlySuspect)
    Task.IdleOnlyUntil = Now + MaxWaitForIdle;
  Task.Proven =
      Task.Proven || (OnlySuspect && !Crash.WholeRack &&
                      Crash.Latest - Crash.Earliest <= MaxTimeUncertainty);
  return Task;
}

} // namespace sardinerill::site
