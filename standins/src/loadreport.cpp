#include "loadtypes.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace loadtool {

namespace {

// Limits that the daemons must keep for each upstream VM.
constexpr unsigned SlotsPerVm = 8;
constexpr unsigned ConnectionsPerVm = 64;

double percentile(std::vector<double> &Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index =
      static_cast<std::size_t>(Fraction * double(Values.size() - 1));
  return Values[Index];
}

/// \returns the highest number of runs of \p Team at the same time, over all
/// upstreams.
unsigned maxConcurrentRuns(const UpstreamStats &Stats,
                           const std::string &Team) {
  std::vector<std::pair<std::int64_t, int>> Events;
  for (const UpstreamRun &Run : Stats.Runs) {
    if (Run.Team != Team)
      continue;
    Events.emplace_back(Run.StartUs, 1);
    Events.emplace_back(Run.EndUs, -1);
  }
  std::sort(Events.begin(), Events.end());
  int Current = 0;
  int Max = 0;
  for (const auto &[TimeUs, Delta] : Events)
    Max = std::max(Max, Current += Delta);
  return static_cast<unsigned>(Max);
}

/// Prints the number of violations of each guarantee.
struct CheckList {
  bool AllPassed = true;
  void check(const char *Name, std::size_t Violations) {
    std::printf("  %-34s %zu%s\n", Name, Violations,
                Violations == 0 ? "" : "   VIOLATED");
    this->AllPassed = this->AllPassed && Violations == 0;
  }
};

/// \returns the number of requests that are not idempotent and ran repeatedly.
std::size_t
countDuplicateRuns(const LoadOptions &Load,
                   const std::vector<RequestResult> &Results,
                   const std::map<std::string, unsigned> &RunCounts) {
  std::size_t Duplicates = 0;
  for (const RequestResult &Result : Results) {
    auto Found = RunCounts.find(Result.Id);
    if (!Load.Streams[Result.StreamIndex].Idempotent &&
        Found != RunCounts.end() && Found->second > 1)
      ++Duplicates;
  }
  return Duplicates;
}

void printLatencies(const LoadOptions &Load, const ReportOptions &Options,
                    const std::vector<RequestResult> &Results) {
  std::map<std::string, std::vector<double>> LatenciesMs;
  for (const RequestResult &Result : Results)
    if (Result.HttpStatus == 200)
      LatenciesMs[Load.Streams[Result.StreamIndex].Class].push_back(
          Result.LatencyMs);
  std::printf("\n  %-12s %8s %10s %10s %10s %8s\n", "class", "answers",
              "p50 ms", "p99 ms", "target ms", "inside");
  for (auto &[Class, Values] : LatenciesMs) {
    const double P50 = percentile(Values, 0.5);
    const double P99 = percentile(Values, 0.99);
    auto Target = Options.TargetsMs.find(Class);
    const double Limit = Target == Options.TargetsMs.end() ? 0 : Target->second;
    const auto WithinTarget = std::count_if(
        Values.begin(), Values.end(), [&](double Ms) { return Ms <= Limit; });
    std::printf("  %-12s %8zu %10.2f %10.2f %10.0f %7.1f%%\n", Class.c_str(),
                Values.size(), P50, P99, Limit,
                100.0 * double(WithinTarget) / double(Values.size()));
  }
}

} // namespace

bool printReport(const LoadOptions &Load, const ReportOptions &Options,
                 const std::vector<RequestResult> &Results,
                 const UpstreamStats &Stats) {
  std::map<std::string, unsigned> RunCounts;
  for (const UpstreamRun &Run : Stats.Runs)
    ++RunCounts[Run.Id];
  std::map<std::string, std::size_t> Refusals;
  std::size_t Answered = 0;
  std::size_t WrongResponses = 0;
  std::size_t FalseRefusals = 0;
  std::size_t Disconnected = 0;
  std::size_t LostWithKilled = 0;
  std::size_t NotDelivered = 0;
  for (const RequestResult &Result : Results) {
    Answered += Result.HttpStatus == 200 ? 1 : 0;
    WrongResponses += Result.WrongResponse ? 1 : 0;
    if (!Result.ErrorKind.empty())
      ++Refusals[Result.ErrorKind];
    if (Result.Execution == "did_not_run" && RunCounts.contains(Result.Id))
      ++FalseRefusals;
    if (Result.HttpStatus != 0)
      continue;
    const bool EntryKilled =
        std::find(Options.KilledEntries.begin(), Options.KilledEntries.end(),
                  Result.DisconnectedEntry) != Options.KilledEntries.end();
    if (Result.DisconnectedEntry.empty())
      ++NotDelivered;
    else
      ++(EntryKilled ? LostWithKilled : Disconnected);
  }
  std::printf("  %-34s %zu\n", "sent", Results.size());
  std::printf("  %-34s %zu\n", "answered", Answered);
  for (const auto &[ErrorKind, Count] : Refusals)
    std::printf("  refused: %-25s %zu\n", ErrorKind.c_str(), Count);
  std::printf("  %-34s %zu\n", "lost with the killed daemon", LostWithKilled);
  std::printf("  %-34s %u of %u\n", "most running on one VM", Stats.MaxRunning,
              SlotsPerVm);
  std::printf("  %-34s %u of %u\n", "most connections to one VM",
              Stats.MaxConnections, ConnectionsPerVm);
  for (const auto &[Team, Ceiling] : Options.Ceilings)
    std::printf("  most running of team %-13s %u of %u\n", Team.c_str(),
                maxConcurrentRuns(Stats, Team), Ceiling);
  std::printf("\n  violated guarantees\n");
  CheckList Checks;
  std::size_t TeamsOverCeiling = 0;
  for (const auto &[Team, Ceiling] : Options.Ceilings)
    TeamsOverCeiling += maxConcurrentRuns(Stats, Team) > Ceiling ? 1 : 0;
  Checks.check("teams over their ceiling", TeamsOverCeiling);
  Checks.check("doubled", countDuplicateRuns(Load, Results, RunCounts));
  Checks.check("cut off by a planned stop", Disconnected);
  Checks.check("cut off by a reboot", Stats.InterruptedRuns);
  Checks.check("wrong or partial answers", WrongResponses);
  Checks.check("refused as not run, but had run", FalseRefusals);
  Checks.check("VMs over their slots", Stats.MaxRunning > SlotsPerVm ? 1 : 0);
  Checks.check("VMs over their connections",
               Stats.MaxConnections > ConnectionsPerVm ? 1 : 0);
  Checks.check("requests that reached no entry", NotDelivered);
  printLatencies(Load, Options, Results);
  return Checks.AllPassed;
}

} // namespace loadtool
