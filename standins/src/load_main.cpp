/// \file
/// Load generator: sends several request streams for a limited time and checks
/// the results against the guarantees of the service.

#include "loadtypes.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

using namespace loadtool;
using nlohmann::json;

namespace {

Endpoint parseEndpoint(const std::string &Text) {
  const std::size_t ColonPos = Text.rfind(':');
  return Endpoint{Text.substr(0, ColonPos), Text.substr(ColonPos + 1)};
}

/// Reads the load from a scenario; "ceilings" and "targetsMs" are read by
/// main().
LoadOptions readScenario(const json &Scenario) {
  LoadOptions Options;
  for (const json &Entry : Scenario.at("entries"))
    Options.Entries.push_back(parseEndpoint(Entry));
  for (const json &Entry : Scenario.at("upstreams"))
    Options.Upstreams.push_back(parseEndpoint(Entry));
  for (const json &Stream : Scenario.at("streams"))
    Options.Streams.push_back({Stream.at("team"), Stream.at("key"),
                               Stream.at("class"), Stream.at("rate"),
                               Stream.at("runMs"), Stream.at("idempotent")});
  Options.Seconds = Scenario.at("seconds");
  Options.ThreadsPerStream = Scenario.value("threads", 16U);
  Options.PathPrefix = Scenario.value("pathPrefix", "/v1/work/");
  return Options;
}

} // namespace

int main(int ArgCount, char **Args) {
  TCLAP::CmdLine CommandLine("load tool", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> ScenarioFile("f", "file", "scenario in JSON",
                                            true, "", "file", CommandLine);
  TCLAP::MultiArg<std::string> KilledEntries(
      "", "killed", "entry that is killed during the test", false,
      "address:port", CommandLine);
  CommandLine.parse(ArgCount, Args);
  std::ifstream Input(ScenarioFile.getValue());
  const json Scenario = json::parse(Input);
  const LoadOptions Options = readScenario(Scenario);
  ReportOptions Limits;
  Limits.Ceilings = Scenario.value("ceilings", Limits.Ceilings);
  Limits.TargetsMs = Scenario.value("targetsMs", Limits.TargetsMs);
  Limits.KilledEntries = KilledEntries.getValue();
  const std::vector<RequestResult> Results = runLoad(Options);
  const UpstreamStats Stats = fetchStats(Options.Upstreams);
  return printReport(Options, Limits, Results, Stats) ? 0 : 1;
}
