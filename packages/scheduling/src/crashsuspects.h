#pragma once

#include "schedulermodel.h"

/// \file
/// Attribution of upstream crashes to tasks.
///
/// A task may crash every upstream that starts it, and takes down tens of other
/// runs each time. Such a task crashes its upstream right after its start, so
/// that the runs which had just begun are the suspects; all older ones are
/// cleared. A suspect is started again where no other run has just begun, and
/// nothing else is started beside it until it has outlived that time. If its
/// upstream crashes again, no other run can be the cause.

namespace sardinerill::site {

/// Time after its start within which a run can be the cause of a crash.
constexpr milliseconds SuspectAge{50};
/// Longest time for which the only suspect of a crash waits for an upstream
/// that runs nothing else, such as one of a pool whose peak is over.
constexpr seconds MaxWaitForIdle{4};
/// The same as SuspectAge for a task that had begun this recently at an earlier
/// crash too.
constexpr milliseconds RepeatedSuspectAge{1000};

/// An upstream whose process ended without a command or notice.
struct UpstreamCrash {
  /// The crash happened between these times: the last answer, or the time at
  /// which an open connection broke, and the first poll that failed.
  Instant Earliest{};
  Instant Latest{};
  /// Whether other upstreams of its rack ended at the same time.
  bool WholeRack = false;
};

/// \returns for how long after its start a run of \p Task is on probation.
Duration probationTime(const CrashRecord &Task);

/// \returns whether the task must be started on its own.
bool isSuspect(const CrashRecord &Task);

/// \returns whether the task has crashed so many upstreams that it is not
/// started again.
bool isGivenUp(const CrashRecord &Task);

/// \returns the runs on \p Upstream that may have caused \p Crash.
/// \param RecordOf returns the record of a run's task, or null.
std::vector<RunPtr>
suspectsOf(const UpstreamRecord &Upstream, const UpstreamCrash &Crash,
           const std::function<const CrashRecord *(const RunPtr &)> &RecordOf);

/// \returns the record of a suspect's task after \p Crash.
/// \param OnlySuspect whether no other task can be the cause.
CrashRecord recordCrash(CrashRecord Task, const UpstreamCrash &Crash,
                        bool OnlySuspect, Instant Now);

} // namespace sardinerill::site
