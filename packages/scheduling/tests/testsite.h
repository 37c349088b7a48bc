#pragma once

#include "sardinerill/scheduling/scheduler.h"

#include <algorithm>
#include <map>
#include <set>

/// \file
/// A simulated site for tests: fake upstreams that execute the commands of the
/// scheduler, on a clock that the test advances.

namespace sardinerill::site::testing {

inline Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

inline QueueSettings queueOf(const std::string &Pool) {
  return {.Id = QueueId("queue-" + Pool),
          .Host = "host",
          .PathPrefix = "/" + Pool + "/",
          .Pool = PoolId(Pool),
          .MaxAttempts = 3,
          .CriticalPathFactor = 1.6,
          .LatencyTarget = milliseconds(600)};
}

inline StepSpec stepOf(int Count, std::int64_t Cpu, int Millis,
                       std::vector<int> DependsOn = {}) {
  return {.Count = Count,
          .Requested = {Cpu, 100, 0},
          .Estimate = milliseconds(Millis),
          .DependsOn = std::move(DependsOn)};
}

inline JobSpec jobOf(const std::string &Id, std::vector<StepSpec> Steps,
                     const std::string &Pool = "pool",
                     const std::string &Organisation = "org") {
  return {.Id = JobId(Id),
          .Queue = queueOf(Pool),
          .Organisation = OrganisationId(Organisation),
          .Payload = "payload",
          .Steps = std::move(Steps)};
}

/// Fake upstream, controlled by the test.
struct FakeUpstream {
  UpstreamReport Report;
  std::int64_t Token = 1;
  std::map<RunId, std::pair<std::int64_t, int>> Running; ///< End time, percent.
  std::vector<EndedRun> Ended;
  std::set<RunId> Fenced;
  std::int64_t LastSequence = 0;
  bool Unreachable = false;
  double Slowdown = 1; ///< Factor of the run times of tasks started here.
  bool Hangs = false;  ///< Answers, but lists its tasks with a load of 0.

  RunListing listing(std::int64_t NowMs) const {
    RunListing Listing{.ClockMs = NowMs,
                       .IncarnationStartMs = this->Report.IncarnationStartMs};
    for (const auto &[Run, State] : this->Running)
      Listing.Active.push_back({.Run = Run,
                                .Checkpoint = "",
                                .ProgressPercent = State.second,
                                .Load = this->Hangs ? 0 : 1000});
    Listing.Ended = this->Ended;
    return Listing;
  }

  void end(RunId Run, RunEnd Kind) {
    if (this->Running.erase(Run))
      this->Ended.push_back({++this->LastSequence, Run, Kind, ""});
  }
};

/// A scheduler with its fake upstreams.
class TestSite {
public:
  explicit TestSite(SchedulerOptions Options = {}) : JobScheduler(Options) {
    this->Configuration.Version = 1;
    for (const char *Pool : {"pool", "other"}) {
      this->Configuration.Queues.push_back(queueOf(Pool));
      this->Configuration.Pools[PoolId(Pool)] = {.Id = PoolId(Pool)};
    }
    this->Configuration.Organisations.push_back(
        {.Id = OrganisationId("org"), .Keys = {"key"}});
    this->JobScheduler.configure(this->Configuration);
  }

  FakeUpstream &add(const std::string &Id, std::int64_t Cpu,
                    const std::string &Pool = "pool") {
    FakeUpstream &Added = this->Upstreams[Id];
    Added.Report = {.Id = UpstreamId(Id),
                    .Pool = PoolId(Pool),
                    .Address = "127.0.0.1:1",
                    .Vm = VmId("vm-" + Id),
                    .IncarnationStartMs = 1,
                    .Capacity = {Cpu, 100000, 0},
                    .Labels = {"a", "rack-" + Id}};
    this->JobScheduler.updateUpstream(Added.Report, at(this->NowMs));
    this->addVm(Id, Pool);
    this->poll(Added);
    return Added;
  }

  /// Adds a VM that runs the upstream \p Id, whether reachable or not.
  void addVm(const std::string &Id, const std::string &Pool = "pool") {
    this->Vms.push_back({.Id = VmId("vm-" + Id),
                         .Pool = PoolId(Pool),
                         .State = VmState::Up,
                         .Capacity = {8000, 100000, 0},
                         .Upstream = UpstreamId(Id)});
    this->JobScheduler.setHostedUpstreams(this->Vms);
  }

  void submit(JobSpec Spec, bool Inherited = false) {
    this->JobScheduler.addJob(std::move(Spec), std::nullopt, Inherited,
                              at(this->NowMs), at(this->NowMs));
  }

  void poll(FakeUpstream &From) {
    if (!From.Unreachable)
      this->JobScheduler.applyListing(From.Report.Id, From.listing(this->NowMs),
                                      at(this->NowMs), at(this->NowMs));
  }

  /// Runs a scheduling round and executes its commands. \returns the starts.
  std::vector<StartCommand> schedule() {
    this->JobScheduler.schedule(at(this->NowMs), this->NowMs);
    std::vector<StartCommand> Starts;
    for (const Command &Each : this->JobScheduler.takeCommands()) {
      if (const auto *Start = std::get_if<StartCommand>(&Each)) {
        Starts.push_back(*Start);
        this->execute(*Start);
      } else if (const auto *Stop = std::get_if<StopCommand>(&Each)) {
        this->execute(*Stop);
      }
    }
    this->StartCount += int(Starts.size());
    return Starts;
  }

  /// Advances the clock, ends tasks whose run time is over, and polls all
  /// upstreams.
  void advance(std::int64_t Millis) {
    this->NowMs += Millis;
    for (auto &[Id, Each] : this->Upstreams) {
      std::vector<RunId> Over;
      for (auto &[Run, State] : Each.Running) {
        if (State.first <= this->NowMs)
          Over.push_back(Run);
        ++State.second; // Some progress at each poll.
      }
      for (const RunId &Run : Over)
        Each.end(Run, RunEnd::Done);
      this->poll(Each);
    }
  }

  void storeAll() {
    for (const ProgressChange &Change : this->JobScheduler.takeProgress())
      this->JobScheduler.progressStored(Change.Job, Change.Revision);
  }

  /// \returns the number of runs of \p Task on all upstreams.
  int running(const TaskId &Task) const {
    int Count = 0;
    for (const auto &[Id, Each] : this->Upstreams)
      for (const auto &[Run, State] : Each.Running)
        Count += Run.Task == Task;
    return Count;
  }

  std::int64_t usedCpu(const std::string &Id) {
    return this->JobScheduler.loadOf(UpstreamId(Id), at(this->NowMs))
        .Used.CpuMilli;
  }

  Scheduler JobScheduler;
  SiteConfiguration Configuration;
  std::map<std::string, FakeUpstream> Upstreams;
  std::vector<VmRecord> Vms;
  std::int64_t NowMs = 1000;
  int StartCount = 0;
  int TaskDurationMs = 500; ///< Run time of each task.

private:
  void execute(const StartCommand &Start) {
    FakeUpstream &Upstream = this->Upstreams.at(Start.Upstream.str());
    if (Upstream.Unreachable) {
      this->JobScheduler.handleStartOutcome(
          Start.Upstream, Start.Run, StartOutcome::Unknown, at(this->NowMs));
      return;
    }
    Upstream.Running[Start.Run] = {
        this->NowMs + std::int64_t(this->TaskDurationMs * Upstream.Slowdown),
        0};
    this->JobScheduler.handleStartOutcome(
        Start.Upstream, Start.Run, StartOutcome::Accepted, at(this->NowMs));
  }

  void execute(const StopCommand &Stop) {
    const auto Found = this->Upstreams.find(Stop.Upstream.str());
    if (Found == this->Upstreams.end() || Found->second.Unreachable)
      return;
    FakeUpstream &Upstream = Found->second;
    Upstream.Fenced.insert(Stop.Run);
    Upstream.end(Stop.Run, RunEnd::Stopped);
    this->JobScheduler.handleStopOutcome(
        Stop.Upstream, Stop.Run, StopOutcome::Acknowledged, at(this->NowMs));
  }
};

} // namespace sardinerill::site::testing
