#pragma once

#include "sardinerill/scheduling/jobprogress.h"
#include "sardinerill/scheduling/orders.h"

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

/// \file
/// What the scheduler keeps about jobs, runs and upstreams.

namespace sardinerill::site {

enum class RunPhase {
  Ordered,   ///< The start is on its way.
  Uncertain, ///< The start brought no answer: a stop must bar it.
  Barred,    ///< The stop was taken: it can't begin any more.
  Active,    ///< The upstream has confirmed it.
};

/// One start of a task that may be running.
struct Run {
  RunId Id;
  UpstreamId Where;
  RunPhase Phase = RunPhase::Ordered;
  Resources Charged; ///< What it takes of the upstream and of a ceiling.
  OrganisationId Organisation;
  Instant OrderedAt{};
  Instant ConfirmedAt{}; ///< Latest change of phase.
  bool StopWanted = false;
  bool ByFailureOfUpstream = false; ///< Stopped because it made no progress.
  int Percent = 0;
  Instant ProgressAt{};               ///< When the percentage last rose.
  std::optional<Instant> AtWorkSince; ///< First listed with 100 percent.
  std::int64_t Load = 0;
  int Pace = 100;
  Instant PacedAt{};
};

using RunPtr = std::shared_ptr<Run>;

struct TaskRecord {
  bool Done = false;
  std::vector<int> FailedRuns;
  int LastNumber = 0;
  std::string Checkpoint;
  std::vector<RunPtr> Runs;
  Instant NotBefore{};     ///< Pause after a failure.
  Instant InterruptedAt{}; ///< When an order of ours last ended it.
};

struct StepRecord {
  std::vector<TaskRecord> Tasks;
  int DoneCount = 0;
  std::map<UpstreamId, int> PerUpstream; ///< Runs, for the limit of each.
  std::map<UpstreamId, std::pair<std::string, Instant>> Tickets;
  Instant AdviceAskedAt{};
  bool AdvicePending = false;
};

struct OccurrenceRecord {
  std::int64_t DueMs = 0; ///< Since 1970; 0: at once.
  std::vector<StepRecord> Steps;
  int OpenTasks = 0; ///< Tasks that are not done.
};

struct JobRecord {
  JobSpec Spec;
  JobState State = JobState::Queued;
  std::map<int, OccurrenceRecord> Occurrences;
  int NextOccurrence = 0; ///< The first that is not laid out yet.
  Instant AcceptedAt{};
  Instant EndedAt{};
  bool Inherited = false;
  bool Started = false;
  bool OverShare = false;          ///< Beyond what its organisation may expect.
  Duration EstimatedChain{};       ///< Longest, by the caller's estimates.
  std::int64_t Revision = 0;       ///< Rises with each change to be stored.
  std::int64_t TakenRevision = 0;  ///< Handed out for storing.
  std::int64_t StoredRevision = 0; ///< Confirmed as stored.

  bool ended() const {
    return this->State == JobState::Completed ||
           this->State == JobState::Failed ||
           this->State == JobState::Cancelled;
  }
  bool stored() const { return this->StoredRevision >= this->Revision; }
};

/// An end that the upstream must remember until the progress is stored.
struct UnstoredEnd {
  JobId Job;
  std::int64_t Revision = 0;
};

struct UpstreamRecord {
  UpstreamReport Report;
  bool Listed = true;    ///< In the registry.
  bool Answered = false; ///< Has answered this holder: its token is in force.
  bool Cordoned = false;
  bool MaintenanceDue = false; ///< Will be taken down before long.
  bool Ending = false; ///< An order that ends all that runs here was given.
  Resources Used;
  std::map<RunId, RunPtr> Runs;
  std::map<std::int64_t, UnstoredEnd> Unstored;
  std::int64_t EndsSeen = 0;
  Instant ReportedAt{}; ///< First seen in the registry.
  Instant AnsweredAt{};
  Instant UnlistedAt{};
  /// A start brought no answer, and nothing has been heard from it since.
  bool Suspect = false;
  bool ZoneSilent = false; ///< Its zone seems cut off from this daemon.
  int FailuresInRow = 0;
  Instant AvoidUntil{}; ///< Not chosen before, after failures or refusals.

  Resources free() const { return this->Report.Capacity - this->Used; }
  /// \returns whether tasks may be placed here as far as is known.
  bool takesTasks() const {
    return this->Answered && this->Listed && !this->Report.Draining &&
           !this->Cordoned && !this->Suspect && !this->ZoneSilent;
  }
  std::string_view rack() const;
};

} // namespace sardinerill::site
