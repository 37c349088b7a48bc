#include "commands.h"

#include "fleetfile.h"

#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace sardinerill {

using nlohmann::json;

namespace {

constexpr int NameWidth = 22;
constexpr int NumberWidth = 10;

/// Runs one verb against one daemon.
class CommandRun {
public:
  CommandRun(OperatorClient &Client, const Invocation &Wanted)
      : Client(Client), Wanted(Wanted) {}

  int status() {
    const OperatorReply Reply = this->Client.get("/v1/status");
    if (Reply.Status != 200)
      return fail(Reply);
    if (this->Wanted.AsJson)
      return print(Reply.Body.dump(2));
    this->printStatus(Reply.Body);
    return ExitDone;
  }

  int getFleet() {
    const OperatorReply Reply = this->Client.get("/v1/fleet");
    return Reply.Status == 200 ? print(Reply.Body.dump(2)) : fail(Reply);
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
    if (this->Wanted.Words.size() != 3)
      return usage("set PATH VALUE, as in: set teams.ingoma.ceiling 12");
    return this->change(patchAt(this->Wanted.Words[1], this->Wanted.Words[2]));
  }
  int remove() {
    if (this->Wanted.Words.size() != 2)
      return usage("remove PATH, as in: remove teams.ingoma");
    return this->change(patchAt(this->Wanted.Words[1], "null"));
  }

  int createKey() {
    if (this->Wanted.Id.empty())
      return usage("key create --id ID [--team TEAM]; without a team the key "
                   "is an operator's");
    json Body{{"id", this->Wanted.Id}};
    if (!this->Wanted.Team.empty())
      Body["team"] = this->Wanted.Team;
    const OperatorReply Reply = this->Client.post("/v1/keys", Body);
    if (Reply.Status != 200)
      return fail(Reply);
    std::cout << Reply.Body.value("key", "") << "\n";
    return this->reportInForce(Reply);
  }

  int withdrawKey() {
    if (this->Wanted.Id.empty())
      return usage("key withdraw --id ID [--team TEAM]");
    const json Keys{{"keys", {{this->Wanted.Id, {{"withdrawn", true}}}}}};
    if (this->Wanted.Team.empty())
      return this->change(json{{"operators", Keys}});
    return this->change(json{{"teams", {{this->Wanted.Team, Keys}}}});
  }

  int startRollout() {
    if (this->Wanted.Words.size() != 3)
      return usage("rollout start POOL");
    const OperatorReply Fleet = this->Client.get("/v1/fleet");
    if (Fleet.Status != 200)
      return fail(Fleet);
    const std::string &Pool = this->Wanted.Words[2];
    const json Pools = Fleet.Body["document"].value("pools", json::object());
    if (!Pools.contains(Pool))
      return usage("no pool is named \"" + Pool + "\"");
    const unsigned Next = Pools[Pool].value("generation", 0U) + 1;
    return this->changeOn(
        Fleet.Body,
        json{{"pools",
              {{Pool, {{"generation", Next}, {"rolloutPaused", false}}}}}});
  }
  int pauseRollout() { return this->setPaused(true); }
  int resumeRollout() { return this->setPaused(false); }

  int moveVm() {
    if (this->Wanted.Words.size() != 4)
      return usage("vm move VM POOL");
    return this->change(patchAt("vms." + this->Wanted.Words[2] + ".moveTo",
                                json(this->Wanted.Words[3]).dump()));
  }

  int forgetMember() {
    if (this->Wanted.Words.size() != 3)
      return usage("member forget DAEMON");
    const OperatorReply Reply = this->Client.post(
        "/v1/members/forget", json{{"daemon", this->Wanted.Words[2]}});
    return Reply.Status == 200 ? print("forgotten") : fail(Reply);
  }

  static int usage(const std::string &Text) {
    std::cerr << "sardinerillctl: " << Text << "\n";
    return ExitUsage;
  }

private:
  static int print(const std::string &Text) {
    std::cout << Text << "\n";
    return ExitDone;
  }

  static int fail(const OperatorReply &Reply) {
    if (Reply.Status == 0) {
      std::cerr << "sardinerillctl: no daemon answers: " << Reply.Text << "\n";
      return ExitUnreachable;
    }
    const bool IsProblem = Reply.Body.is_object();
    std::cerr << "sardinerillctl: refused ("
              << (IsProblem ? Reply.Body.value("kind", "") : "") << "): "
              << (IsProblem ? Reply.Body.value("detail", "") : Reply.Text)
              << "\n";
    return ExitRefused;
  }

  int change(const json &Patch) {
    const OperatorReply Fleet = this->Client.get("/v1/fleet");
    return Fleet.Status == 200 ? this->changeOn(Fleet.Body, Patch)
                               : fail(Fleet);
  }

  /// The change names the version it was made on.
  int changeOn(const json &Fleet, const json &Patch) {
    const OperatorReply Reply =
        this->Client.post("/v1/fleet/change",
                          json{{"madeOn", Fleet["version"]}, {"patch", Patch}});
    return Reply.Status == 200 ? this->reportInForce(Reply) : fail(Reply);
  }

  int reportInForce(const OperatorReply &Reply) const {
    const json Pending = Reply.Body.value("pending", json::array());
    if (this->Wanted.AsJson)
      std::cout << Reply.Body.dump(2) << "\n";
    std::cerr << "version " << Reply.Body["version"] << " is committed; ";
    if (Pending.empty()) {
      std::cerr << "in force everywhere\n";
      return ExitDone;
    }
    std::cerr << "pending at:";
    for (const json &Each : Pending)
      std::cerr << " " << Each.get<std::string>();
    std::cerr << "\n";
    return ExitPending;
  }

  int setPaused(bool Paused) {
    if (this->Wanted.Words.size() != 3)
      return usage("rollout pause|resume POOL");
    return this->change(json{
        {"pools", {{this->Wanted.Words[2], {{"rolloutPaused", Paused}}}}}});
  }

  int applyFile(bool Commit) {
    std::ifstream Stream(this->Wanted.File);
    if (!Stream)
      return usage("can't open \"" + this->Wanted.File + "\"; name it by -f");
    std::ostringstream Text;
    Text << Stream.rdbuf();
    const Result<json> File = parseFleetFile(Text.str());
    if (!File)
      return usage(this->Wanted.File + ": " + File.error().Detail);
    const OperatorReply Fleet = this->Client.get("/v1/fleet");
    if (Fleet.Status != 200)
      return fail(Fleet);
    const json Patch = planApply(Fleet.Body["document"], *File);
    if (Patch.empty())
      return print("nothing changes");
    std::cout << renderDiff(Fleet.Body["document"], Patch);
    return Commit ? this->changeOn(Fleet.Body, Patch) : ExitDone;
  }

  int listSection(const std::string &Section,
                  const std::vector<std::string> &Fields) {
    const OperatorReply Reply = this->Client.get("/v1/fleet");
    if (Reply.Status != 200)
      return fail(Reply);
    const json Entries = Reply.Body["document"].value(Section, json::object());
    if (this->Wanted.AsJson)
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
    return ExitDone;
  }

  void printStatus(const json &Status) const {
    std::cout << "daemon " << Status.value("daemon", "") << ", fleet version "
              << Status["version"] << ", platform "
              << (Status.value("platformAnswers", false) ? "answers"
                                                         : "does not answer")
              << ", proof of freshness " << Status["freshForMs"].dump()
              << " ms old\n\n";
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
  const Invocation &Wanted;
};

/// One verb.
struct Command {
  std::string Name; ///< One word or two.
  std::string Help;
  int (CommandRun::*Run)();
};

const std::vector<Command> &commands() {
  static const std::vector<Command> Table{
      {"status", "pools, members and freshness as one daemon sees them",
       &CommandRun::status},
      {"fleet get", "the whole configuration and its version",
       &CommandRun::getFleet},
      {"diff", "what applying the file (-f) would change", &CommandRun::diff},
      {"apply", "apply the file (-f)", &CommandRun::apply},
      {"set", "set one value: set teams.ingoma.ceiling 12", &CommandRun::set},
      {"remove", "remove one entry: remove teams.ingoma", &CommandRun::remove},
      {"team list", "teams with shares and ceilings", &CommandRun::listTeams},
      {"class list", "classes with targets", &CommandRun::listClasses},
      {"pool list", "pools with budgets", &CommandRun::listPools},
      {"vm list", "VMs with pools and states", &CommandRun::listVms},
      {"vm move", "drain a VM and move it: vm move VM POOL",
       &CommandRun::moveVm},
      {"key create", "make a key, shown once: --id ID [--team TEAM]",
       &CommandRun::createKey},
      {"key withdraw", "withdraw a key: --id ID [--team TEAM]",
       &CommandRun::withdrawKey},
      {"rollout start", "reboot every VM of a pool within its budgets",
       &CommandRun::startRollout},
      {"rollout pause", "begin no more VMs of a pool",
       &CommandRun::pauseRollout},
      {"rollout resume", "go on with a paused roll-out",
       &CommandRun::resumeRollout},
      {"member forget", "a daemon's VM is gone for certain",
       &CommandRun::forgetMember},
  };
  return Table;
}

const Command *findCommand(const std::vector<std::string> &Words) {
  for (const Command &Each : commands()) {
    if (!Words.empty() && Each.Name == Words[0])
      return &Each;
    if (Words.size() > 1 && Each.Name == Words[0] + " " + Words[1])
      return &Each;
  }
  return nullptr;
}

} // namespace

std::string describeCommands() {
  std::ostringstream Out;
  for (const Command &Each : commands())
    Out << "  " << std::left << std::setw(NameWidth) << Each.Name << Each.Help
        << "\n";
  return Out.str();
}

std::string bashCompletion() {
  std::ostringstream Out;
  Out << "complete -W \"";
  for (const Command &Each : commands())
    Out << Each.Name << " ";
  Out << "--server --key-file --output --file --team --id\" sardinerillctl\n";
  return Out.str();
}

int runCommand(OperatorClient &Client, const Invocation &Wanted) {
  const Command *Found = findCommand(Wanted.Words);
  if (Found == nullptr)
    return CommandRun::usage("no such command; the commands are\n" +
                             describeCommands());
  CommandRun Run(Client, Wanted);
  return (Run.*Found->Run)();
}

} // namespace sardinerill
