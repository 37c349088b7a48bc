#include "loadtypes.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace loadtool {

namespace {

constexpr unsigned SlotsPerVm = 8;
constexpr unsigned ConnectionsPerVm = 64;

double percentile(std::vector<double> &Values, double Part) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  const auto Index = static_cast<std::size_t>(Part * double(Values.size() - 1));
  return Values[Index];
}

/// \returns the most runs of \p Team at one time, over all upstreams.
unsigned mostAtOnce(const UpstreamStats &Stats, const std::string &Team) {
  std::vector<std::pair<std::int64_t, int>> Edges;
  for (const UpstreamRun &Run : Stats.Runs) {
    if (Run.Team != Team)
      continue;
    Edges.emplace_back(Run.StartUs, 1);
    Edges.emplace_back(Run.EndUs, -1);
  }
  std::sort(Edges.begin(), Edges.end());
  int Now = 0;
  int Most = 0;
  for (const auto &[At, Step] : Edges)
    Most = std::max(Most, Now += Step);
  return static_cast<unsigned>(Most);
}

struct Verdict {
  bool AllHeld = true;
  void line(const char *Name, std::size_t Count) {
    std::printf("  %-34s %zu%s\n", Name, Count, Count == 0 ? "" : "   BROKEN");
    this->AllHeld = this->AllHeld && Count == 0;
  }
};

std::size_t countDoubled(const LoadOptions &Load,
                         const std::vector<Sample> &Samples,
                         const std::map<std::string, unsigned> &RunsOf) {
  std::size_t Doubled = 0;
  for (const Sample &Each : Samples) {
    auto Runs = RunsOf.find(Each.Id);
    if (!Load.Streams[Each.Stream].Idempotent && Runs != RunsOf.end() &&
        Runs->second > 1)
      ++Doubled;
  }
  return Doubled;
}

void printClasses(const LoadOptions &Load, const ReportOptions &Options,
                  const std::vector<Sample> &Samples) {
  std::map<std::string, std::vector<double>> Latency;
  for (const Sample &Each : Samples)
    if (Each.Status == 200)
      Latency[Load.Streams[Each.Stream].Class].push_back(Each.Ms);
  std::printf("\n  %-12s %8s %10s %10s %10s %8s\n", "class", "answers",
              "p50 ms", "p99 ms", "target ms", "inside");
  for (auto &[Class, Values] : Latency) {
    const double P50 = percentile(Values, 0.5);
    const double P99 = percentile(Values, 0.99);
    auto Target = Options.TargetsMs.find(Class);
    const double Limit = Target == Options.TargetsMs.end() ? 0 : Target->second;
    const auto Inside = std::count_if(Values.begin(), Values.end(),
                                      [&](double Ms) { return Ms <= Limit; });
    std::printf("  %-12s %8zu %10.2f %10.2f %10.0f %7.1f%%\n", Class.c_str(),
                Values.size(), P50, P99, Limit,
                100.0 * double(Inside) / double(Values.size()));
  }
}

} // namespace

bool printReport(const LoadOptions &Load, const ReportOptions &Options,
                 const std::vector<Sample> &Samples,
                 const UpstreamStats &Stats) {
  std::map<std::string, unsigned> RunsOf;
  for (const UpstreamRun &Run : Stats.Runs)
    ++RunsOf[Run.Id];
  std::map<std::string, std::size_t> Refused;
  std::size_t Answered = 0;
  std::size_t Wrong = 0;
  std::size_t Untrue = 0;
  std::size_t CutOff = 0;
  std::size_t CutByKill = 0;
  std::size_t Unreached = 0;
  for (const Sample &Each : Samples) {
    Answered += Each.Status == 200 ? 1 : 0;
    Wrong += Each.WrongAnswer ? 1 : 0;
    if (!Each.Kind.empty())
      ++Refused[Each.Kind];
    if (Each.Ran == "did_not_run" && RunsOf.contains(Each.Id))
      ++Untrue;
    if (Each.Status != 0)
      continue;
    const bool Killed = std::find(Options.Killed.begin(), Options.Killed.end(),
                                  Each.CutOffBy) != Options.Killed.end();
    if (Each.CutOffBy.empty())
      ++Unreached;
    else
      ++(Killed ? CutByKill : CutOff);
  }
  std::printf("  %-34s %zu\n", "sent", Samples.size());
  std::printf("  %-34s %zu\n", "answered", Answered);
  for (const auto &[Kind, Count] : Refused)
    std::printf("  refused: %-25s %zu\n", Kind.c_str(), Count);
  std::printf("  %-34s %zu\n", "lost with the killed daemon", CutByKill);
  std::printf("  %-34s %u of %u\n", "most running on one VM", Stats.MaxRunning,
              SlotsPerVm);
  std::printf("  %-34s %u of %u\n", "most connections to one VM",
              Stats.MaxConnections, ConnectionsPerVm);
  for (const auto &[Team, Ceiling] : Options.Ceilings)
    std::printf("  most running of team %-13s %u of %u\n", Team.c_str(),
                mostAtOnce(Stats, Team), Ceiling);
  std::printf("\n  promises\n");
  Verdict All;
  std::size_t Over = 0;
  for (const auto &[Team, Ceiling] : Options.Ceilings)
    Over += mostAtOnce(Stats, Team) > Ceiling ? 1 : 0;
  All.line("teams over their ceiling", Over);
  All.line("doubled", countDoubled(Load, Samples, RunsOf));
  All.line("cut off by a planned stop", CutOff);
  All.line("cut off by a reboot", Stats.CutOff);
  All.line("wrong or partial answers", Wrong);
  All.line("refusals that were not true", Untrue);
  All.line("VMs over their slots", Stats.MaxRunning > SlotsPerVm ? 1 : 0);
  All.line("VMs over their connections",
           Stats.MaxConnections > ConnectionsPerVm ? 1 : 0);
  All.line("callers that reached no entry", Unreached);
  printClasses(Load, Options, Samples);
  return All.AllHeld;
}

} // namespace loadtool
