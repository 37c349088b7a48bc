/// \file
/// Sends a bounded mix of work and holds what came back against the promises.

#include "loadtypes.h"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <tclap/CmdLine.h>

using namespace loadtool;
using nlohmann::json;

namespace {

Target parseTarget(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  return Target{Text.substr(0, Colon), Text.substr(Colon + 1)};
}

/// Reads a scenario file; its fields have the names of the options' members.
LoadOptions readScenario(const json &Scenario) {
  LoadOptions Options;
  for (const json &Entry : Scenario.at("entries"))
    Options.Entries.push_back(parseTarget(Entry));
  for (const json &Entry : Scenario.at("upstreams"))
    Options.Upstreams.push_back(parseTarget(Entry));
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

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("load tool", ' ', "0.1.0");
  TCLAP::ValueArg<std::string> File("f", "file", "scenario in JSON", true, "",
                                    "file", Line);
  TCLAP::MultiArg<std::string> Killed("", "killed", "entry that is killed",
                                      false, "address:port", Line);
  Line.parse(Count, Arguments);
  std::ifstream Stream(File.getValue());
  const json Scenario = json::parse(Stream);
  const LoadOptions Load = readScenario(Scenario);
  ReportOptions Report;
  Report.Ceilings = Scenario.value("ceilings", Report.Ceilings);
  Report.TargetsMs = Scenario.value("targetsMs", Report.TargetsMs);
  Report.Killed = Killed.getValue();
  const std::vector<Sample> Samples = runLoad(Load);
  const UpstreamStats Stats = fetchStats(Load.Upstreams);
  return printReport(Load, Report, Samples, Stats) ? 0 : 1;
}
