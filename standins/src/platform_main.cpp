/// \file
/// Stand-in for the platform: serves the protocol of docs/PLATFORM.md (table,
/// objects, VM list, reboots) from memory and injects faults on request.

#include "sardinerill/base/clock.h"
#include "sardinerill/gateway/operatorserver.h"
#include "sardinerill/platform/inmemoryplatform.h"
#include "sardinerill/platform/platformcodec.h"

#include <atomic>
#include <csignal>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <tclap/CmdLine.h>
#include <thread>

using namespace sardinerill;
using nlohmann::json;

namespace {

/// One VM of the list; ControlPort is 0 for entry VMs.
struct StandinVm {
  std::string Id;
  std::string Address;
  unsigned short ControlPort = 0;
  std::uint64_t BootCount = 1;
  std::chrono::steady_clock::time_point DownUntil{};
};

/// Sends the reboot request to the stand-in of an upstream; a failure is only
/// logged.
void rebootUpstream(const StandinVm &Vm, unsigned RebootMs) {
  try {
    cxxtools::http::Client Client(Vm.Address, Vm.ControlPort);
    cxxtools::http::Request Request("/control/reboot");
    Request.method("POST");
    Request.body() << RebootMs;
    Client.execute(Request, cxxtools::Milliseconds(1000));
    Client.readBody();
  } catch (const std::exception &Exception) {
    std::cerr << "reboot of " << Vm.Id << " failed: " << Exception.what()
              << "\n";
  }
}

/// Handles the calls of the platform protocol and of the stand-in's own
/// /control/ paths.
class PlatformStandin : public IOperatorHandler {
public:
  PlatformStandin(std::vector<StandinVm> Vms, unsigned RebootMs)
      : Vms(std::move(Vms)), RebootMs(RebootMs) {}

  OperatorResponse handle(const OperatorRequest &Request) override {
    OperatorResponse Response = this->route(Request);
    this->TransferredBytes += Request.Body.size() + Response.Body.size();
    return Response;
  }

private:
  OperatorResponse route(const OperatorRequest &Request) {
    ++this->CallCount;
    Result<json> Body = parseJson(Request.Body.empty() ? "{}" : Request.Body);
    if (!Body)
      return {400, "text/plain", "request body is not valid JSON"};
    if (Request.Path.starts_with("/control/"))
      return this->handleControl(Request.Path, *Body);
    if (const unsigned DelayMs = this->ResponseDelayMs; DelayMs > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(DelayMs));
    if (this->Unavailable)
      return {503, "text/plain", "down"};
    return this->handleCall(Request.Path, *Body);
  }

  OperatorResponse handleControl(const std::string &Path, const json &Body) {
    if (Path == "/control/faults") {
      this->Unavailable = Body.value("down", false);
      this->ResponseDelayMs = Body.value("slowMs", 0U);
      this->Backend.setFaults({.RepliesToDrop = Body.value("loseReplies", 0)});
    }
    if (Path == "/control/remove") {
      std::scoped_lock Lock(this->Mutex);
      std::erase_if(this->Vms, [&](const StandinVm &Vm) {
        return Vm.Id == Body.value("vm", "");
      });
    }
    return {200, "application/json",
            json{{"calls", this->CallCount.load()},
                 {"bytes", this->TransferredBytes.load()},
                 {"commits", this->Backend.commitCount()}}
                .dump()};
  }

  OperatorResponse handleCall(const std::string &Path, const json &Body) {
    if (Path == "/v1/table/read")
      return this->makeResponse(this->read(Body));
    if (Path == "/v1/table/scan")
      return this->makeResponse(this->scan(Body));
    if (Path == "/v1/table/commit")
      return this->makeResponse(this->commit(Body));
    if (Path == "/v1/objects/put")
      return this->makeResponse(this->put(Body));
    if (Path == "/v1/objects/get")
      return this->makeResponse(this->get(Body));
    if (Path == "/v1/vms/list")
      return this->makeResponse(this->list(Body));
    if (Path == "/v1/vms/reboot")
      return this->makeResponse(this->reboot(Body));
    return {404, "text/plain", "unknown path"};
  }

  OperatorResponse makeResponse(const Result<json> &Outcome) {
    if (Outcome)
      return {200, "application/json", Outcome->dump()};
    const ErrorKind Kind = Outcome.error().Kind;
    const unsigned Status = Kind == ErrorKind::NotFound     ? 404
                            : Kind == ErrorKind::BadRequest ? 400
                                                            : 503;
    return {Status, "text/plain", Outcome.error().Detail};
  }

  Result<json> read(const json &Body) {
    return decodeKeys(Body)
        .and_then([this](const auto &Keys) { return this->Backend.read(Keys); })
        .map(encodeRows);
  }
  Result<json> scan(const json &Body) {
    return this->Backend.scan(Body.value("table", "")).map(encodeRows);
  }
  Result<json> commit(const json &Body) {
    return decodeTransaction(Body)
        .and_then(
            [this](const auto &Change) { return this->Backend.commit(Change); })
        .map([](CommitOutcome Outcome) {
          return json{{"committed", Outcome == CommitOutcome::Committed}};
        });
  }
  Result<json> put(const json &Body) {
    return this->Backend
        .putObject(Body.value("name", ""), Body.value("bytes", ""))
        .map([] { return json::object(); });
  }
  Result<json> get(const json &Body) {
    return this->Backend.getObject(Body.value("name", ""))
        .map([](const std::string &Bytes) {
          return json{{"bytes", Bytes}};
        });
  }

  Result<json> list(const json &Body) {
    std::scoped_lock Lock(this->Mutex);
    const auto Now = std::chrono::steady_clock::now();
    std::vector<VmListEntry> Entries;
    for (const StandinVm &Vm : this->Vms) {
      const bool IsUp = Now >= Vm.DownUntil;
      Entries.push_back({VmId(Vm.Id),
                         IsUp ? VmListState::Live : VmListState::Leaving,
                         Vm.BootCount});
    }
    json Response = encodeVms(Entries);
    const std::string Tag =
        std::to_string(std::hash<std::string>()(Response.dump()));
    if (Body.value("tag", "") == Tag)
      Response = json::object();
    Response["tag"] = Tag;
    return Response;
  }

  Result<json> reboot(const json &Body) {
    std::scoped_lock Lock(this->Mutex);
    for (StandinVm &Vm : this->Vms) {
      if (Vm.Id != Body.value("vm", "") ||
          Vm.BootCount != Body.value("expectedBoots", std::uint64_t(0)))
        continue;
      ++Vm.BootCount;
      Vm.DownUntil = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(this->RebootMs);
      rebootUpstream(Vm, this->RebootMs);
    }
    return json::object();
  }

  InMemoryPlatform Backend;
  std::mutex Mutex;
  std::vector<StandinVm> Vms;
  unsigned RebootMs;
  std::atomic<bool> Unavailable{false};
  std::atomic<unsigned> ResponseDelayMs{0};
  std::atomic<std::uint64_t> CallCount{0};
  std::atomic<std::uint64_t> TransferredBytes{0};
};

/// Reads a file with lines of "id address controlPort"; other lines are
/// ignored.
std::vector<StandinVm> readVms(const std::string &Path) {
  std::ifstream Input(Path);
  std::vector<StandinVm> Vms;
  std::string Line;
  while (std::getline(Input, Line)) {
    std::istringstream Fields(Line);
    StandinVm Vm;
    if (Fields >> Vm.Id >> Vm.Address >> Vm.ControlPort)
      Vms.push_back(Vm);
  }
  return Vms;
}

} // namespace

int main(int ArgCount, char **Args) {
  TCLAP::CmdLine CommandLine("platform stand-in", ' ', "0.1.0");
  TCLAP::ValueArg<unsigned> Port("p", "port", "port on 127.0.0.1", true, 0,
                                 "port", CommandLine);
  TCLAP::ValueArg<std::string> Vms("", "vms", "file with the VMs of the list",
                                   true, "", "file", CommandLine);
  TCLAP::ValueArg<unsigned> RebootMs("", "reboot-ms", "duration of a reboot",
                                     false, 500, "ms", CommandLine);
  CommandLine.parse(ArgCount, Args);
  sigset_t StopSignals;
  sigemptyset(&StopSignals);
  sigaddset(&StopSignals, SIGTERM);
  sigaddset(&StopSignals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &StopSignals, nullptr);
  PlatformStandin Standin(readVms(Vms.getValue()), RebootMs.getValue());
  OperatorServer Server({.Address = "127.0.0.1",
                         .Port = static_cast<unsigned short>(Port.getValue()),
                         .MaxThreads = 64},
                        Standin);
  if (const std::string Failure = Server.start(); !Failure.empty()) {
    std::cerr << Failure << "\n";
    return 1;
  }
  int Signal = 0;
  sigwait(&StopSignals, &Signal);
  Server.stop();
  return 0;
}
