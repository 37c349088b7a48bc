#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// \file
/// Data types of the load tool: options, request results and upstream
/// statistics.

namespace loadtool {

/// Address and port of an entry daemon or an upstream.
struct Endpoint {
  std::string Address;
  std::string Port;
  std::string toString() const { return this->Address + ":" + this->Port; }
};

/// Requests of one team to one class at a constant rate.
struct StreamSpec {
  std::string Team;
  std::string Key;
  std::string Class;
  double RatePerSecond = 1;
  unsigned RunMs = 10;
  bool Idempotent = true;
};

/// Load to send and the processes to send it to.
struct LoadOptions {
  std::vector<Endpoint> Entries;
  std::vector<Endpoint> Upstreams;
  std::vector<StreamSpec> Streams;
  double Seconds = 5;
  unsigned ThreadsPerStream = 16;
  /// Path before the class: "/v1/work/", or "/run/" to call upstreams directly.
  std::string PathPrefix = "/v1/work/";
};

/// Result of one request, as seen by its caller.
struct RequestResult {
  std::string Id;
  std::size_t StreamIndex = 0;   ///< Index into LoadOptions::Streams.
  unsigned HttpStatus = 0;       ///< 0 if there was no response.
  std::string ErrorKind;         ///< Field "kind" of an error response.
  std::string Execution;         ///< Field "ran" of an error response.
  bool WrongResponse = false;    ///< The body is not the expected one.
  std::string DisconnectedEntry; ///< Entry that closed the connection before
                                 ///< responding.
  double LatencyMs = 0;
};

/// One run, as recorded by an upstream stand-in.
struct UpstreamRun {
  std::string Id;
  std::string Team;
  std::int64_t StartUs = 0;
  std::int64_t EndUs = 0;
};

/// Statistics of all upstream stand-ins.
struct UpstreamStats {
  std::vector<UpstreamRun> Runs;
  unsigned MaxRunning = 0;      ///< Highest value of any upstream.
  unsigned MaxConnections = 0;  ///< Highest value of any upstream.
  unsigned InterruptedRuns = 0; ///< Runs ended by a reboot, in total.
};

/// Sends the load and returns after the last response.
std::vector<RequestResult> runLoad(const LoadOptions &Options);
/// Reads the statistics of every upstream stand-in.
UpstreamStats fetchStats(const std::vector<Endpoint> &Upstreams);

/// Limits that the results are checked against.
struct ReportOptions {
  std::map<std::string, unsigned> Ceilings;
  std::map<std::string, double> TargetsMs;
  /// Entries killed during the test; requests lost with them are expected.
  std::vector<std::string> KilledEntries;
};

/// Prints the results. \returns whether all guarantees were kept.
bool printReport(const LoadOptions &Load, const ReportOptions &Options,
                 const std::vector<RequestResult> &Results,
                 const UpstreamStats &Stats);

} // namespace loadtool
