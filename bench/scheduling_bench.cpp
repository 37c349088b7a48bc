#include "sardinerill/scheduling/scheduler.h"

#include <benchmark/benchmark.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <random>

/// \file
/// Cost of a scheduling round at a peak: all pools are full and work waits.

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

constexpr int PoolCount = 5;
constexpr int ZoneCount = 3;
constexpr int OrganisationCount = 20;
constexpr int TasksPerStep = 8;
/// Part of the jobs that have a second step.
constexpr double TwoStepPart = 0.6;
constexpr Resources UpstreamCapacity{16000, 64000, 0};
/// Time between two rounds.
constexpr milliseconds RoundInterval{10};
/// Upstreams on which a task ends between two rounds.
constexpr std::size_t EndsPerRound = 8;
constexpr int Rounds = 60;

std::string named(const char *Kind, long Index) {
  return Kind + std::to_string(Index);
}

/// \returns the policy with switch \p Index, 0 to 5, on; none for -1, all for
/// 6.
SchedulingPolicy policyOf(std::int64_t Index) {
  const auto On = [&](int Switch) { return Index == Switch || Index == 6; };
  return {.DivideScarceVms = On(0),
          .LearnRunTimes = On(1),
          .FairShares = On(2),
          .RefuseUnservable = On(3),
          .CompareUpstreamSpeed = On(4),
          .HandOverWhenCutOff = On(5)};
}

/// A scheduler whose pools are full, and the state of its upstreams.
class BusySite {
public:
  BusySite(std::int64_t UpstreamCount, std::int64_t WaitingJobs,
           const SchedulingPolicy &Policy)
      : JobScheduler({.Policy = Policy}) {
    this->configure();
    std::vector<VmRecord> Vms;
    for (std::int64_t Index = 0; Index < UpstreamCount; ++Index)
      Vms.push_back(this->addUpstream(Index));
    this->JobScheduler.setHostedUpstreams(Vms);
    std::int64_t Cpu = UpstreamCount * UpstreamCapacity.CpuMilli;
    while (Cpu > 0)
      Cpu -= this->submit();
    this->round();
    for (std::int64_t Count = this->pending(); Count < WaitingJobs; ++Count)
      this->submit();
    this->round();
    for (Upstream &Each : this->Upstreams)
      this->list(Each);
  }

  /// \returns the time that the round took in seconds.
  double round() {
    this->Now += RoundInterval;
    const auto Begin = std::chrono::steady_clock::now();
    this->JobScheduler.schedule(this->Now, UnixMs);
    const auto End = std::chrono::steady_clock::now();
    for (const Command &Each : this->JobScheduler.takeCommands()) {
      this->countInDigest(Each);
      if (const auto *Start = std::get_if<StartCommand>(&Each)) {
        this->Upstreams[this->IndexOf.at(Start->Upstream)].Active.push_back(
            {.Run = Start->Run, .Load = 1000});
        this->JobScheduler.handleStartOutcome(
            Start->Upstream, Start->Run, StartOutcome::Accepted, this->Now);
        ++this->Started;
      }
    }
    return std::chrono::duration<double>(End - Begin).count();
  }

  /// Ends one task on each of some upstreams, and replaces the jobs that end.
  /// \returns the time that the listings took in seconds.
  double endTasks() {
    double Seconds = 0;
    for (std::size_t Count = 0; Count < EndsPerRound; ++Count) {
      Upstream &Each = this->Upstreams[this->NextEnd++ % Upstreams.size()];
      Each.Ended.clear();
      if (!Each.Active.empty()) {
        Each.Ended.push_back({.Sequence = ++Each.LastSequence,
                              .Run = Each.Active.front().Run,
                              .Kind = RunEnd::Done});
        Each.Active.erase(Each.Active.begin());
      }
      Seconds += this->list(Each);
    }
    for (const ProgressChange &Each : this->JobScheduler.takeProgress())
      this->JobScheduler.progressStored(Each.Job, Each.Revision);
    for (int Count = this->pending(); Count < this->TargetPending; ++Count)
      this->submit();
    return Seconds;
  }

  /// Makes endTasks() keep the present number of waiting jobs.
  void keepPending() { this->TargetPending = this->pending(); }
  std::int64_t started() const { return this->Started; }
  /// \returns a checksum of all commands, by which the decisions of two builds
  /// are compared.
  std::uint32_t digest() const { return std::uint32_t(this->Digest); }

private:
  struct Upstream {
    UpstreamId Id;
    std::vector<ActiveRun> Active;
    std::vector<EndedRun> Ended;
    std::int64_t LastSequence = 0;
  };

  static constexpr std::int64_t UnixMs = 1764800000000;

  static QueueSettings queueOf(long Pool) {
    return {.Id = QueueId(named("queue-", Pool)),
            .Host = "host",
            .PathPrefix = named("/", Pool),
            .Pool = PoolId(named("pool-", Pool)),
            .Priority = int(Pool % 2),
            .MaxAttempts = 3,
            .CriticalPathFactor = 1.6,
            .LatencyTarget = seconds(20)};
  }

  void configure() {
    SiteConfiguration Configuration{.Version = 1};
    for (long Pool = 0; Pool < PoolCount; ++Pool) {
      Configuration.Queues.push_back(queueOf(Pool));
      const PoolId Id = Configuration.Queues.back().Pool;
      Configuration.Pools[Id] = {.Id = Id};
    }
    for (long Index = 0; Index < OrganisationCount; ++Index)
      Configuration.Organisations.push_back(
          {.Id = OrganisationId(named("organisation-", Index)),
           .Share = double(1 + Index % 4),
           .Ceiling = {.CpuMilli = 1000000}});
    this->JobScheduler.configure(Configuration);
  }

  VmRecord addUpstream(std::int64_t Index) {
    const UpstreamReport Report{
        .Id = UpstreamId(named("upstream-", Index)),
        .Pool = PoolId(named("pool-", Index % PoolCount)),
        .Zone = ZoneId(named("zone-", Index % ZoneCount)),
        .Vm = VmId(named("vm-", Index)),
        .IncarnationStartMs = 1,
        .Capacity = UpstreamCapacity,
        .Labels = {"standard", named("rack-", Index / 8)}};
    this->JobScheduler.updateUpstream(Report, this->Now);
    this->IndexOf[Report.Id] = this->Upstreams.size();
    this->Upstreams.push_back({.Id = Report.Id});
    this->list(this->Upstreams.back());
    return {.Id = Report.Vm,
            .Pool = Report.Pool,
            .State = VmState::Up,
            .Zone = Report.Zone,
            .Labels = Report.Labels,
            .Capacity = Report.Capacity,
            .Upstream = Report.Id};
  }

  /// \returns the CPU of the tasks that can start at once.
  std::int64_t submit() {
    const long Number = this->NextJob++;
    // The texts of identifiers are as long as those of callers' jobs.
    std::array<char, 64> Id{};
    std::snprintf(Id.data(), Id.size(), "job-%08lx-%08lx", Number * 7919 % 4096,
                  Number);
    JobSpec Spec{.Id = JobId(Id.data()),
                 .Queue = queueOf(Number % PoolCount),
                 .Organisation = OrganisationId(named(
                     "organisation-", Number / PoolCount % OrganisationCount)),
                 .Payload = "payload"};
    const auto Pick = [this](int Low, int High) {
      return std::uniform_int_distribution<int>(Low, High)(this->Random);
    };
    const int Steps = Pick(0, 99) < int(100 * TwoStepPart) ? 2 : 1;
    for (int Step = 0; Step < Steps; ++Step)
      Spec.Steps.push_back(
          {.Count = TasksPerStep,
           .Requested = {.CpuMilli = 1000 * Pick(1, 3), .MemoryMb = 512},
           .Estimate = milliseconds(Pick(500, 4000)),
           .DependsOn =
               Step == 0 ? std::vector<int>() : std::vector<int>{Step - 1},
           .Speculative = true,
           .Image = named("image-", Pick(0, 9))});
    const std::int64_t Cpu =
        TasksPerStep * Spec.Steps.front().Requested.CpuMilli;
    this->JobScheduler.addJob(std::move(Spec), std::nullopt, false, this->Now,
                              this->Now);
    return Cpu;
  }

  void countInDigest(const Command &Issued) {
    std::string Text = std::to_string(Issued.index());
    if (const auto *Start = std::get_if<StartCommand>(&Issued))
      Text += Start->Upstream.str() + describe(Start->Run.Task) +
              std::to_string(Start->Run.Number);
    else if (const auto *Stop = std::get_if<StopCommand>(&Issued))
      Text += Stop->Upstream.str() + describe(Stop->Run.Task) +
              std::to_string(Stop->Run.Number);
    // FNV-1a.
    for (const char Each : Text)
      this->Digest = (this->Digest ^ std::uint8_t(Each)) * 0x100000001B3ULL;
  }

  double list(Upstream &From) {
    for (ActiveRun &Each : From.Active)
      Each.ProgressPercent = std::min(99, Each.ProgressPercent + 1);
    const RunListing Listing{
        .IncarnationStartMs = 1, .Active = From.Active, .Ended = From.Ended};
    const auto Begin = std::chrono::steady_clock::now();
    this->JobScheduler.applyListing(From.Id, Listing, this->Now, this->Now);
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         Begin)
        .count();
  }

  int pending() const {
    int Sum = 0;
    for (long Pool = 0; Pool < PoolCount; ++Pool)
      Sum += this->JobScheduler.pendingJobs(queueOf(Pool).Id);
    return Sum;
  }

  Scheduler JobScheduler;
  std::vector<Upstream> Upstreams;
  std::map<UpstreamId, std::size_t> IndexOf;
  Instant Now{seconds(1000)};
  long NextJob = 0;
  std::size_t NextEnd = 0;
  int TargetPending = 0;
  std::int64_t Started = 0;
  std::uint64_t Digest = 0xCBF29CE484222325ULL;
  std::mt19937_64 Random{1};
};

/// A round; the arguments are upstreams, waiting jobs and the policy.
/// \param Changes whether tasks end and are replaced between the rounds.
void runRounds(benchmark::State &State, bool Changes) {
  BusySite Site(State.range(0), State.range(1), policyOf(State.range(2)));
  Site.keepPending();
  const std::int64_t StartedBefore = Site.started();
  double ListingSeconds = 0;
  for (auto _ : State) {
    if (Changes)
      ListingSeconds += Site.endTasks();
    State.SetIterationTime(Site.round());
  }
  const auto Count = double(State.iterations());
  State.counters["starts"] = double(Site.started() - StartedBefore) / Count;
  State.counters["digest"] = double(Site.digest());
  State.counters["listings_us"] = 1e6 * ListingSeconds / Count;
}

void scheduleUnchanged(benchmark::State &State) { runRounds(State, false); }
void scheduleChanging(benchmark::State &State) { runRounds(State, true); }

void sizesAndPolicies(benchmark::internal::Benchmark *Cases) {
  Cases->Unit(benchmark::kMicrosecond)->UseManualTime()->Iterations(Rounds);
  for (std::int64_t Policy = -1; Policy <= 6; ++Policy)
    Cases->Args({371, 3000, Policy})->Args({1020, 8000, Policy});
}
BENCHMARK(scheduleUnchanged)->Apply(sizesAndPolicies);
BENCHMARK(scheduleChanging)->Apply(sizesAndPolicies);

} // namespace
