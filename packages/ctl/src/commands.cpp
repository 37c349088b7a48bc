#include "commands.h"

#include "fleetfile.h"

#include <charconv>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace sardinerill {

using nlohmann::json;

namespace {

constexpr int NameWidth = 22;
constexpr int NumberWidth = 10;

/// Executes one command through the operators' endpoint of one daemon.
class CommandRunner {
public:
  CommandRunner(OperatorClient &Client, const CommandLineOptions &Args)
      : Client(Client), Args(Args) {}

  int status() {
    const HttpReply Reply = this->Client.get("/v1/status");
    if (Reply.Status != 200)
      return reportError(Reply);
    if (this->Args.AsJson)
      return print(Reply.Body.dump(2));
    this->printStatus(Reply.Body);
    return ExitSuccess;
  }

  int getFleet() {
    const HttpReply Reply = this->Client.get("/v1/fleet");
    return Reply.Status == 200 ? print(Reply.Body.dump(2)) : reportError(Reply);
  }

  int listVms() {
    return this->listSection(
        "vms", {"pool", "zone", "rack", "state", "generation", "moveTo"});
  }
  int listPools() {
    return this->listSection("pools", {"slotsPerVm", "maxUnavailable",
                                       "generation", "rolloutPaused"});
  }
  int listTeams() { return this->listSection("teams", {"share", "ceiling"}); }
  int listClasses() {
    return this->listSection(
        "classes", {"pool", "targetMs", "maxRunMs", "idempotent", "open"});
  }

  int diff() { return this->applyFile(false); }
  int apply() { return this->applyFile(true); }

  int set() {
    if (this->Args.Positional.size() != 3)
      return reportUsageError(
          "set PATH VALUE, for example: set teams.ingoma.ceiling 12");
    return this->changeCurrent(
        makePatch(this->Args.Positional[1], this->Args.Positional[2]));
  }
  int remove() {
    if (this->Args.Positional.size() != 2)
      return reportUsageError("remove PATH, for example: remove teams.ingoma");
    return this->changeCurrent(makePatch(this->Args.Positional[1], "null"));
  }

  int createKey() {
    if (this->Args.KeyName.empty())
      return reportUsageError(
          "key create --id ID [--team TEAM]; without --team an "
          "operator key is created");
    json Body{{"id", this->Args.KeyName}};
    if (!this->Args.Team.empty())
      Body["team"] = this->Args.Team;
    const HttpReply Reply = this->Client.post("/v1/keys", Body);
    if (Reply.Status != 200)
      return reportError(Reply);
    std::cout << Reply.Body.value("key", "") << "\n";
    return this->reportCommitted(Reply);
  }

  int withdrawKey() {
    if (this->Args.KeyName.empty())
      return reportUsageError("key withdraw --id ID [--team TEAM]");
    const json Keys{{"keys", {{this->Args.KeyName, {{"withdrawn", true}}}}}};
    if (this->Args.Team.empty())
      return this->changeCurrent(json{{"operators", Keys}});
    return this->changeCurrent(json{{"teams", {{this->Args.Team, Keys}}}});
  }

  int startRollout() {
    if (this->Args.Positional.size() != 3)
      return reportUsageError("rollout start POOL");
    const HttpReply Fleet = this->Client.get("/v1/fleet");
    if (Fleet.Status != 200)
      return reportError(Fleet);
    const std::string &Pool = this->Args.Positional[2];
    const json Pools = Fleet.Body["document"].value("pools", json::object());
    if (!Pools.contains(Pool))
      return reportUsageError("unknown pool \"" + Pool + "\"");
    const unsigned Next = Pools[Pool].value("generation", 0U) + 1;
    return this->submitChange(
        Fleet.Body,
        json{{"pools",
              {{Pool, {{"generation", Next}, {"rolloutPaused", false}}}}}});
  }
  int pauseRollout() { return this->setRolloutPaused(true); }
  int resumeRollout() { return this->setRolloutPaused(false); }

  int moveVm() {
    if (this->Args.Positional.size() != 4)
      return reportUsageError("vm move VM POOL");
    return this->changeCurrent(
        makePatch("vms." + this->Args.Positional[2] + ".moveTo",
                  json(this->Args.Positional[3]).dump()));
  }

  int forgetMember() {
    if (this->Args.Positional.size() != 3)
      return reportUsageError("member forget DAEMON");
    const HttpReply Reply = this->Client.post(
        "/v1/members/forget", json{{"daemon", this->Args.Positional[2]}});
    return Reply.Status == 200 ? print("forgotten") : reportError(Reply);
  }

  static int reportUsageError(const std::string &Text) {
    std::cerr << "sardinerillctl: " << Text << "\n";
    return ExitUsage;
  }

private:
  static int print(const std::string &Text) {
    std::cout << Text << "\n";
    return ExitSuccess;
  }

  static int reportError(const HttpReply &Reply) {
    if (Reply.Status == 0) {
      std::cerr << "sardinerillctl: no response from the daemon: " << Reply.Text
                << "\n";
      return ExitUnreachable;
    }
    const bool HasErrorBody = Reply.Body.is_object();
    std::cerr << "sardinerillctl: refused ("
              << (HasErrorBody ? Reply.Body.value("kind", "") : "") << "): "
              << (HasErrorBody ? Reply.Body.value("detail", "") : Reply.Text)
              << "\n";
    return ExitRefused;
  }

  int changeCurrent(const json &Patch) {
    const HttpReply Fleet = this->Client.get("/v1/fleet");
    return Fleet.Status == 200 ? this->submitChange(Fleet.Body, Patch)
                               : reportError(Fleet);
  }

  /// Submits a change together with the configuration version that it is based
  /// on, so that the daemon can reject it if the configuration has changed
  /// since.
  int submitChange(const json &Fleet, const json &Patch) {
    const HttpReply Reply =
        this->Client.post("/v1/fleet/change",
                          json{{"madeOn", Fleet["version"]}, {"patch", Patch}});
    return Reply.Status == 200 ? this->reportCommitted(Reply)
                               : reportError(Reply);
  }

  int reportCommitted(const HttpReply &Reply) const {
    const json Pending = Reply.Body.value("pending", json::array());
    if (this->Args.AsJson)
      std::cout << Reply.Body.dump(2) << "\n";
    std::cerr << "version " << Reply.Body["version"] << " is committed; ";
    if (Pending.empty()) {
      std::cerr << "in force everywhere\n";
      return ExitSuccess;
    }
    std::cerr << "pending at:";
    for (const json &Entry : Pending)
      std::cerr << " " << Entry.get<std::string>();
    std::cerr << "\n";
    return ExitPending;
  }

  int setRolloutPaused(bool Paused) {
    if (this->Args.Positional.size() != 3)
      return reportUsageError("rollout pause|resume POOL");
    return this->changeCurrent(json{
        {"pools", {{this->Args.Positional[2], {{"rolloutPaused", Paused}}}}}});
  }

  int applyFile(bool Commit) {
    std::ifstream Stream(this->Args.File);
    if (!Stream)
      return reportUsageError("cannot open the fleet file \"" +
                              this->Args.File + "\"; specify it with -f");
    std::ostringstream Text;
    Text << Stream.rdbuf();
    const Result<json> File = parseFleetFile(Text.str());
    if (!File)
      return reportUsageError(this->Args.File + ": " + File.error().Detail);
    const HttpReply Fleet = this->Client.get("/v1/fleet");
    if (Fleet.Status != 200)
      return reportError(Fleet);
    const json Patch = computePatch(Fleet.Body["document"], *File);
    if (Patch.empty())
      return print("no changes");
    std::cout << renderDiff(Fleet.Body["document"], Patch);
    return Commit ? this->submitChange(Fleet.Body, Patch) : ExitSuccess;
  }

  int listSection(const std::string &Section,
                  const std::vector<std::string> &Fields) {
    const HttpReply Reply = this->Client.get("/v1/fleet");
    if (Reply.Status != 200)
      return reportError(Reply);
    const json Entries = Reply.Body["document"].value(Section, json::object());
    if (this->Args.AsJson)
      return print(Entries.dump(2));
    std::cout << std::left << std::setw(NameWidth) << "name";
    for (const std::string &Field : Fields)
      std::cout << std::setw(NameWidth) << Field;
    std::cout << "\n";
    for (const auto &[Name, Entry] : Entries.items()) {
      std::cout << std::setw(NameWidth) << Name;
      for (const std::string &Field : Fields) {
        const json Value = Entry.value(Field, json());
        std::cout << std::setw(NameWidth)
                  << (Value.is_null()     ? "-"
                      : Value.is_string() ? Value.get<std::string>()
                                          : Value.dump());
      }
      std::cout << "\n";
    }
    return ExitSuccess;
  }

  void printStatus(const json &Status) const {
    std::cout << "daemon " << Status.value("daemon", "") << ", fleet version "
              << Status["version"] << ", platform "
              << (Status.value("platformAnswers", false) ? "answers"
                                                         : "does not answer")
              << ", configuration confirmed " << Status["freshForMs"].dump()
              << " ms ago\n\n";
    std::cout << std::left << std::setw(NameWidth) << "pool"
              << std::setw(NumberWidth) << "waiting" << std::setw(NumberWidth)
              << "running" << std::setw(NumberWidth) << "vms"
              << std::setw(NumberWidth) << "ejected"
              << "roll-out\n";
    for (const json &Pool : Status["pools"]) {
      const json Rollout = Pool.value("rollout", json::object());
      std::cout << std::setw(NameWidth) << Pool.value("pool", "")
                << std::setw(NumberWidth) << Pool["waiting"].dump()
                << std::setw(NumberWidth) << Pool["running"].dump()
                << std::setw(NumberWidth) << Pool["vms"].dump()
                << std::setw(NumberWidth) << Pool["ejected"].dump()
                << Rollout.value("done", 0) << " of "
                << Rollout.value("total", 0)
                << (Rollout.value("paused", false) ? ", paused" : "") << "\n";
    }
    std::cout << "\n"
              << std::setw(NameWidth * 2) << "member" << std::setw(NameWidth)
              << "zone" << std::setw(NumberWidth) << "version"
              << "heard\n";
    for (const json &Member : Status["members"])
      std::cout << std::setw(NameWidth * 2) << Member.value("daemon", "")
                << std::setw(NameWidth) << Member.value("zone", "")
                << std::setw(NumberWidth) << Member["version"].dump()
                << (Member.value("alive", false) ? "yes" : "no") << "\n";
  }

  OperatorClient &Client;
  const CommandLineOptions &Args;
};

struct Command {
  std::string Name; ///< One or two words.
  std::string Help;
  int (CommandRunner::*Run)();
};

const std::vector<Command> &commands() {
  static const std::vector<Command> Table{
      {"status", "show pools, members and the state of the configuration",
       &CommandRunner::status},
      {"fleet get", "show the complete configuration and its version",
       &CommandRunner::getFleet},
      {"diff", "show the changes that applying the file (-f) would make",
       &CommandRunner::diff},
      {"apply", "apply the fleet file (-f)", &CommandRunner::apply},
      {"set", "set one value: set teams.ingoma.ceiling 12",
       &CommandRunner::set},
      {"remove", "remove one entry: remove teams.ingoma",
       &CommandRunner::remove},
      {"team list", "list teams with shares and ceilings",
       &CommandRunner::listTeams},
      {"class list", "list classes with targets", &CommandRunner::listClasses},
      {"pool list", "list pools with availability budgets",
       &CommandRunner::listPools},
      {"vm list", "list VMs with pools and states", &CommandRunner::listVms},
      {"vm move", "drain a VM and move it: vm move VM POOL",
       &CommandRunner::moveVm},
      {"key create", "create a key and print it once: --id ID [--team TEAM]",
       &CommandRunner::createKey},
      {"key withdraw", "withdraw a key: --id ID [--team TEAM]",
       &CommandRunner::withdrawKey},
      {"rollout start",
       "reboot all VMs of a pool within its availability budgets",
       &CommandRunner::startRollout},
      {"rollout pause", "stop rebooting further VMs of a pool",
       &CommandRunner::pauseRollout},
      {"rollout resume", "continue a paused roll-out",
       &CommandRunner::resumeRollout},
      {"member forget", "remove a daemon whose VM no longer exists",
       &CommandRunner::forgetMember},
  };
  return Table;
}

const Command *findCommand(const std::vector<std::string> &Positional) {
  for (const Command &Entry : commands()) {
    if (!Positional.empty() && Entry.Name == Positional[0])
      return &Entry;
    if (Positional.size() > 1 &&
        Entry.Name == Positional[0] + " " + Positional[1])
      return &Entry;
  }
  return nullptr;
}

} // namespace

bool parseServer(const std::string &Text, OperatorClientOptions &Options) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  Options.Address = Text.substr(0, Colon);
  const char *const End = Text.data() + Text.size();
  const auto Parsed =
      std::from_chars(Text.data() + Colon + 1, End, Options.Port);
  return !Options.Address.empty() && Parsed.ec == std::errc() &&
         Parsed.ptr == End && Options.Port > 0;
}

bool parseOutput(const std::string &Text, CommandLineOptions &Options) {
  Options.AsJson = Text == "json";
  return Options.AsJson || Text == "table";
}

std::string describeCommands() {
  std::ostringstream Out;
  for (const Command &Entry : commands())
    Out << "  " << std::left << std::setw(NameWidth) << Entry.Name << Entry.Help
        << "\n";
  return Out.str();
}

std::string bashCompletion() {
  std::ostringstream Out;
  Out << "complete -W \"";
  for (const Command &Entry : commands())
    Out << Entry.Name << " ";
  Out << "--server --key-file --output --file --team --id\" sardinerillctl\n";
  return Out.str();
}

int runCommand(OperatorClient &Client, const CommandLineOptions &Args) {
  const Command *Found = findCommand(Args.Positional);
  if (Found == nullptr)
    return CommandRunner::reportUsageError(
        "unknown command; available commands:\n" + describeCommands());
  CommandRunner Runner(Client, Args);
  return (Runner.*Found->Run)();
}

} // namespace sardinerill
