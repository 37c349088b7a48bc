/// \file
/// Stand-in for the platform: table, objects, VM list and reboots in memory,
/// behind docs/PLATFORM.md, with faults by request.

#include "sardinerill/base/clock.h"
#include "sardinerill/gateway/operatordoor.h"
#include "sardinerill/platform/memoryplatform.h"
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

/// One VM of the list; an entry VM has no control port.
struct StandinVm {
  std::string Id;
  std::string Address;
  unsigned short ControlPort = 0;
  std::uint64_t Boots = 1;
  std::chrono::steady_clock::time_point DownUntil{};
};

/// Asks an upstream stand-in to reboot.
void rebootUpstream(const StandinVm &Vm, unsigned RebootMs) {
  try {
    cxxtools::http::Client Client(Vm.Address, Vm.ControlPort);
    cxxtools::http::Request Request("/control/reboot");
    Request.method("POST");
    Request.body() << RebootMs;
    Client.execute(Request, cxxtools::Milliseconds(1000));
    Client.readBody();
  } catch (const std::exception &Fault) {
    std::cerr << "reboot of " << Vm.Id << ": " << Fault.what() << "\n";
  }
}

/// Serves the platform's protocol and the control paths of the stand-in.
class PlatformStandin : public IOperations {
public:
  PlatformStandin(std::vector<StandinVm> Vms, unsigned RebootMs)
      : Vms(std::move(Vms)), RebootMs(RebootMs) {}

  OperatorAnswer handle(const OperatorCall &Call) override {
    OperatorAnswer Answer = this->route(Call);
    this->Bytes += Call.Body.size() + Answer.Body.size();
    return Answer;
  }

private:
  OperatorAnswer route(const OperatorCall &Call) {
    ++this->Calls;
    Result<json> Body = parseJson(Call.Body.empty() ? "{}" : Call.Body);
    if (!Body)
      return {400, "text/plain", "not JSON"};
    if (Call.Path.starts_with("/control/"))
      return this->control(Call.Path, *Body);
    if (const unsigned Slow = this->SlowMs; Slow > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(Slow));
    if (this->Down)
      return {503, "text/plain", "down"};
    return this->serve(Call.Path, *Body);
  }

  OperatorAnswer control(const std::string &Path, const json &Body) {
    if (Path == "/control/faults") {
      this->Down = Body.value("down", false);
      this->SlowMs = Body.value("slowMs", 0U);
      this->Inner.setFaults({.LoseReplies = Body.value("loseReplies", 0)});
    }
    if (Path == "/control/remove") {
      std::scoped_lock Lock(this->Guard);
      std::erase_if(this->Vms, [&](const StandinVm &Vm) {
        return Vm.Id == Body.value("vm", "");
      });
    }
    return {200, "application/json",
            json{{"calls", this->Calls.load()},
                 {"bytes", this->Bytes.load()},
                 {"commits", this->Inner.commits()}}
                .dump()};
  }

  OperatorAnswer serve(const std::string &Path, const json &Body) {
    if (Path == "/v1/table/read")
      return this->answer(this->read(Body));
    if (Path == "/v1/table/scan")
      return this->answer(this->scan(Body));
    if (Path == "/v1/table/commit")
      return this->answer(this->commit(Body));
    if (Path == "/v1/objects/put")
      return this->answer(this->put(Body));
    if (Path == "/v1/objects/get")
      return this->answer(this->get(Body));
    if (Path == "/v1/vms/list")
      return this->answer(this->list(Body));
    if (Path == "/v1/vms/reboot")
      return this->answer(this->reboot(Body));
    return {404, "text/plain", "no such call"};
  }

  OperatorAnswer answer(const Result<json> &Outcome) {
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
        .and_then([this](const auto &Keys) { return this->Inner.read(Keys); })
        .map(encodeRows);
  }
  Result<json> scan(const json &Body) {
    return this->Inner.scan(Body.value("table", "")).map(encodeRows);
  }
  Result<json> commit(const json &Body) {
    return decodeTransaction(Body)
        .and_then(
            [this](const auto &Change) { return this->Inner.commit(Change); })
        .map([](CommitOutcome Outcome) {
          return json{{"committed", Outcome == CommitOutcome::Committed}};
        });
  }
  Result<json> put(const json &Body) {
    return this->Inner
        .putObject(Body.value("name", ""), Body.value("bytes", ""))
        .map([] { return json::object(); });
  }
  Result<json> get(const json &Body) {
    return this->Inner.getObject(Body.value("name", ""))
        .map([](const std::string &Bytes) {
          return json{{"bytes", Bytes}};
        });
  }

  Result<json> list(const json &Body) {
    std::scoped_lock Lock(this->Guard);
    const auto Now = std::chrono::steady_clock::now();
    std::vector<VmListEntry> Entries;
    for (const StandinVm &Vm : this->Vms) {
      const bool Up = Now >= Vm.DownUntil;
      Entries.push_back({VmId(Vm.Id),
                         Up ? VmListState::Live : VmListState::Leaving,
                         Vm.Boots});
    }
    json Answer = encodeVms(Entries);
    const std::string Tag =
        std::to_string(std::hash<std::string>()(Answer.dump()));
    if (Body.value("tag", "") == Tag)
      Answer = json::object();
    Answer["tag"] = Tag;
    return Answer;
  }

  Result<json> reboot(const json &Body) {
    std::scoped_lock Lock(this->Guard);
    for (StandinVm &Vm : this->Vms) {
      if (Vm.Id != Body.value("vm", "") ||
          Vm.Boots != Body.value("expectedBoots", std::uint64_t(0)))
        continue;
      ++Vm.Boots;
      Vm.DownUntil = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(this->RebootMs);
      rebootUpstream(Vm, this->RebootMs);
    }
    return json::object();
  }

  MemoryPlatform Inner;
  std::mutex Guard;
  std::vector<StandinVm> Vms;
  unsigned RebootMs;
  std::atomic<bool> Down{false};
  std::atomic<unsigned> SlowMs{0};
  std::atomic<std::uint64_t> Calls{0};
  std::atomic<std::uint64_t> Bytes{0};
};

/// Reads lines of "id address controlPort".
std::vector<StandinVm> readVms(const std::string &Path) {
  std::ifstream Stream(Path);
  std::vector<StandinVm> Vms;
  std::string Line;
  while (std::getline(Stream, Line)) {
    std::istringstream Words(Line);
    StandinVm Vm;
    if (Words >> Vm.Id >> Vm.Address >> Vm.ControlPort)
      Vms.push_back(Vm);
  }
  return Vms;
}

} // namespace

int main(int Count, char **Arguments) {
  TCLAP::CmdLine Line("platform stand-in", ' ', "0.1.0");
  TCLAP::ValueArg<unsigned> Port("p", "port", "port on 127.0.0.1", true, 0,
                                 "port", Line);
  TCLAP::ValueArg<std::string> Vms("", "vms", "file of VMs", true, "", "file",
                                   Line);
  TCLAP::ValueArg<unsigned> RebootMs("", "reboot-ms", "time a reboot takes",
                                     false, 500, "ms", Line);
  Line.parse(Count, Arguments);
  sigset_t Stop;
  sigemptyset(&Stop);
  sigaddset(&Stop, SIGTERM);
  sigaddset(&Stop, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Stop, nullptr);
  PlatformStandin Standin(readVms(Vms.getValue()), RebootMs.getValue());
  OperatorDoor Door({.Address = "127.0.0.1",
                     .Port = static_cast<unsigned short>(Port.getValue()),
                     .MaxThreads = 64},
                    Standin);
  if (const std::string Why = Door.open(); !Why.empty()) {
    std::cerr << Why << "\n";
    return 1;
  }
  int Signal = 0;
  sigwait(&Stop, &Signal);
  Door.close();
  return 0;
}
