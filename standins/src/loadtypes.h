#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// What the load tool sends and what came of it.

namespace loadtool {

struct Target {
  std::string Address;
  std::string Port;
  std::string name() const { return this->Address + ":" + this->Port; }
};

/// A stream of requests of one team to one class.
struct StreamSpec {
  std::string Team;
  std::string Key;
  std::string Class;
  double RatePerSecond = 1;
  unsigned RunMs = 10;
  bool Idempotent = true;
};

struct LoadOptions {
  std::vector<Target> Entries;
  std::vector<Target> Upstreams;
  std::vector<StreamSpec> Streams;
  double Seconds = 5;
  unsigned ThreadsPerStream = 16;
  /// Path before the class: "/v1/work/", or "/run/" to call upstreams directly.
  std::string PathPrefix = "/v1/work/";
};

/// One request as its caller saw it.
struct Sample {
  std::string Id;
  std::size_t Stream = 0;
  unsigned Status = 0; ///< 0 where no answer came.
  std::string Kind;    ///< Of a refusal.
  std::string Ran;
  bool WrongAnswer = false;
  std::string CutOffBy; ///< Entry whose connection broke after sending.
  double Ms = 0;
};

/// One run as an upstream saw it.
struct UpstreamRun {
  std::string Id;
  std::string Team;
  std::int64_t StartUs = 0;
  std::int64_t EndUs = 0;
};

struct UpstreamStats {
  std::vector<UpstreamRun> Runs;
  unsigned MaxRunning = 0;
  unsigned MaxConnections = 0;
  unsigned CutOff = 0;
};

/// Sends everything and waits for the last answer.
std::vector<Sample> runLoad(const LoadOptions &Options);
/// Asks every upstream what it ran.
UpstreamStats fetchStats(const std::vector<Target> &Upstreams);

struct ReportOptions {
  std::map<std::string, unsigned> Ceilings;
  std::map<std::string, double> TargetsMs;
  /// Entries that were killed: what they cut off is expected.
  std::vector<std::string> Killed;
};

/// Prints the table. \returns whether every promise held.
bool printReport(const LoadOptions &Load, const ReportOptions &Options,
                 const std::vector<Sample> &Samples,
                 const UpstreamStats &Stats);

} // namespace loadtool
