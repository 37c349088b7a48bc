#include "sardinerill/control/operations.h"

#include "sardinerill/admission/keys.h"
#include "sardinerill/base/logging.h"
#include "sardinerill/fleet/fleetdocument.h"
#include "sardinerill/gateway/problem.h"
#include "sardinerill/platform/platformcodec.h"

#include <openssl/crypto.h>
#include <thread>

namespace sardinerill {

using nlohmann::json;

namespace {

constexpr auto LoopTimeout = std::chrono::seconds(10);
constexpr auto InForceTimeout = std::chrono::seconds(8);
constexpr auto PendingPoll = std::chrono::milliseconds(20);

OperatorAnswer problem(const Error &Why) {
  return {static_cast<unsigned>(answerFor(Why.Kind).HttpStatus),
          ProblemContentType, renderProblem(Why, {})};
}

OperatorAnswer success(const json &Body) {
  return {200, "application/json", Body.dump()};
}

json listOf(const std::vector<DaemonId> &Ids) {
  json List = json::array();
  for (const DaemonId &Id : Ids)
    List.push_back(Id.str());
  return List;
}

bool sameText(const std::string &A, const std::string &B) {
  return A.size() == B.size() &&
         CRYPTO_memcmp(A.data(), B.data(), A.size()) == 0;
}

} // namespace

const std::vector<Operations::Route> &Operations::routes() {
  static const std::vector<Route> Table{
      {"GET", "/metrics", false, &Operations::showMetrics},
      {"GET", "/v1/fleet", true, &Operations::showFleet},
      {"GET", "/v1/status", true, &Operations::showStatus},
      {"GET", "/v1/fleet/pending", true, &Operations::showPending},
      {"POST", "/v1/fleet/change", true, &Operations::changeFleet},
      {"POST", "/v1/keys", true, &Operations::makeTeamKey},
      {"POST", "/v1/members/forget", true, &Operations::forgetMember},
  };
  return Table;
}

OperatorAnswer Operations::handle(const OperatorCall &Call) {
  for (const Route &Each : routes()) {
    if (Each.Method != Call.Method || Each.Path != Call.Path)
      continue;
    OperatorAnswer Answer = this->runOnLoop(Each, Call);
    const bool Changes = Call.Method == "POST" && Answer.Status == 200;
    return Changes ? this->waitInForce(std::move(Answer), Call) : Answer;
  }
  return problem(Error{ErrorKind::NotFound, "no such operation"});
}

OperatorAnswer Operations::runOnLoop(const Route &Found,
                                     const OperatorCall &Call) {
  auto Answer = std::make_shared<Reply>();
  std::future<OperatorAnswer> Later = Answer->get_future();
  this->Parts.Post([this, Call, Answer, &Found] {
    if (Found.NeedsKey)
      if (Result<std::string> Author = this->authorOf(Call.Key); !Author) {
        this->Parts.Figures.countRefusal(Author.error().Kind);
        Answer->set_value(problem(Author.error()));
        return;
      }
    (this->*Found.Run)(Call, Answer);
  });
  if (Later.wait_for(LoopTimeout) != std::future_status::ready)
    return problem(Error{ErrorKind::Internal, "the daemon did not answer"});
  return Later.get();
}

Result<std::string> Operations::authorOf(const std::string &Key) const {
  if (Key.empty())
    return makeError(ErrorKind::KeyMissing,
                     "send an operator's key as Authorization: Bearer");
  const std::shared_ptr<const Fleet> Current = this->Parts.Keeper.current();
  const bool HasOperators = Current && !Current->OperatorKeys.empty();
  if (!HasOperators) {
    if (!this->Parts.BootstrapKey.empty() &&
        sameText(Key, this->Parts.BootstrapKey))
      return std::string("bootstrap");
    return makeError(ErrorKind::KeyUnknown, "not the bootstrap key");
  }
  Result<KeyId> Operator = this->Parts.Work.admission()->admitOperator(Key);
  if (!Operator)
    return tl::unexpected(Operator.error());
  return Operator->str();
}

OperatorAnswer Operations::waitInForce(OperatorAnswer Answer,
                                       const OperatorCall &Call) {
  json Body = json::parse(Answer.Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("version"))
    return Answer;
  const auto Until = std::chrono::steady_clock::now() + InForceTimeout;
  OperatorCall Ask = Call;
  Ask.Query = "version=" + Body["version"].dump();
  const Route Pending{"GET", "/v1/fleet/pending", false,
                      &Operations::showPending};
  for (;;) {
    const OperatorAnswer Now = this->runOnLoop(Pending, Ask);
    const json State = json::parse(Now.Body, nullptr, false);
    Body["pending"] = State.value("pending", json::array());
    Body["inForce"] = Body["pending"].empty();
    if (Body["inForce"].get<bool>() ||
        std::chrono::steady_clock::now() >= Until)
      break;
    std::this_thread::sleep_for(PendingPoll);
  }
  return success(Body);
}

void Operations::showMetrics(const OperatorCall &, ReplyPtr Answer) {
  Answer->set_value({200, "text/plain; version=0.0.4",
                     this->Parts.Figures.renderPrometheus()});
}

void Operations::showFleet(const OperatorCall &, ReplyPtr Answer) {
  const FleetSnapshot &Newest = this->Parts.Keeper.snapshot();
  Answer->set_value(
      success(json{{"version", Newest.Version},
                   {"document", redactDocument(Newest.Document)}}));
}

void Operations::showPending(const OperatorCall &Call, ReplyPtr Answer) {
  constexpr std::string_view Name = "version=";
  FleetVersion Version = this->Parts.Keeper.snapshot().Version;
  if (Call.Query.starts_with(Name))
    Version = std::strtoull(Call.Query.c_str() + Name.size(), nullptr, 10);
  Answer->set_value(success(
      json{{"version", Version},
           {"pending", listOf(this->Parts.Members.pendingFor(Version))}}));
}

void Operations::showStatus(const OperatorCall &, ReplyPtr Answer) {
  const Instant Now = this->Parts.Clock.now();
  const std::shared_ptr<const Fleet> Current = this->Parts.Keeper.current();
  json Status{{"daemon", this->Parts.Members.self().str()},
              {"version", this->Parts.Keeper.snapshot().Version},
              {"platformAnswers", this->Parts.Keeper.platformAnswers()},
              {"maintenanceHeld", this->Parts.Maintenance.isHeld()},
              {"requestsInHand", this->Parts.Work.inHand()}};
  const Instant Fresh = this->Parts.Members.freshSince();
  Status["freshForMs"] =
      Fresh == Instant{}
          ? json()
          : json(std::chrono::duration_cast<milliseconds>(Now - Fresh).count());
  Status["members"] = json::array();
  const std::vector<DaemonId> Alive = this->Parts.Members.alive(Now);
  for (const auto &[Id, Other] : this->Parts.Members.members()) {
    const bool IsAlive =
        std::find(Alive.begin(), Alive.end(), Id) != Alive.end();
    Status["members"].push_back(json{{"daemon", Id.str()},
                                     {"zone", Other.Where.Zone.str()},
                                     {"version", Other.Report.Version},
                                     {"alive", IsAlive}});
  }
  Status["pools"] = json::array();
  for (const PoolStatus &Pool : this->Parts.Work.poolStatus()) {
    json Entry{{"pool", Pool.Pool.str()},
               {"waiting", Pool.Waiting},
               {"running", Pool.Running},
               {"vms", Pool.Vms},
               {"ejected", Pool.Ejected}};
    if (Current) {
      const RolloutProgress Progress = rolloutProgress(*Current, Pool.Pool);
      Entry["rollout"] = json{{"total", Progress.Total},
                              {"done", Progress.Done},
                              {"inWork", Progress.InWork},
                              {"paused", Progress.Paused}};
    }
    Status["pools"].push_back(std::move(Entry));
  }
  Answer->set_value(success(Status));
}

void Operations::append(FleetChange Change, json Extra, ReplyPtr Answer) {
  const std::string Author = Change.Author;
  this->Parts.Keeper.append(
      std::move(Change), [Answer, Author, Extra = std::move(Extra)](
                             Result<FleetVersion> Written) mutable {
        if (!Written) {
          Answer->set_value(problem(Written.error()));
          return;
        }
        logEvent(LogLevel::Info, "fleet.changed",
                 {{"version", std::to_string(*Written)}, {"author", Author}});
        Extra["version"] = *Written;
        Answer->set_value(success(Extra));
      });
}

void Operations::changeFleet(const OperatorCall &Call, ReplyPtr Answer) {
  Result<json> Body = parseJson(Call.Body);
  if (!Body || !Body->is_object() || !Body->contains("patch") ||
      !Body->value("madeOn", json()).is_number_unsigned()) {
    Answer->set_value(
        problem(Error{ErrorKind::BadRequest,
                      "a change has \"madeOn\", a version, and \"patch\""}));
    return;
  }
  FleetChange Change;
  Change.MadeOn = (*Body)["madeOn"].get<FleetVersion>();
  Change.Patch = (*Body)["patch"];
  Change.Author = this->authorOf(Call.Key).value_or("unknown");
  this->append(std::move(Change), json::object(), Answer);
}

void Operations::makeTeamKey(const OperatorCall &Call, ReplyPtr Answer) {
  Result<json> Body = parseJson(Call.Body);
  const json Id =
      Body && Body->is_object() ? Body->value("id", json()) : json();
  const json Team =
      Body && Body->is_object() ? Body->value("team", json()) : json();
  if (!Id.is_string() || !(Team.is_string() || Team.is_null())) {
    Answer->set_value(problem(Error{
        ErrorKind::BadRequest,
        "a key has an \"id\" and, unless it is an operator's, a \"team\""}));
    return;
  }
  const FleetSnapshot &Newest = this->Parts.Keeper.snapshot();
  const std::string Name = Id.get<std::string>();
  const json Teams = Newest.Document.value("teams", json::object());
  const bool IsOperator = Team.is_null();
  if (!IsOperator && !Teams.contains(Team.get<std::string>())) {
    Answer->set_value(
        problem(Error{ErrorKind::NotFound, "no such team: " + Team.dump()}));
    return;
  }
  const json Owner = IsOperator
                         ? Newest.Document.value("operators", json::object())
                         : Teams[Team.get<std::string>()];
  if (Owner.value("keys", json::object()).contains(Name)) {
    Answer->set_value(
        problem(Error{ErrorKind::VersionConflict, "the key id is in use"}));
    return;
  }
  const NewKey Made = makeKey(KeyId(Name));
  const json Keys{
      {"keys",
       {{Name, {{"salt", Made.Record.Salt}, {"hash", Made.Record.Hash}}}}}};
  FleetChange Change;
  Change.MadeOn = Newest.Version;
  if (IsOperator)
    Change.Patch = json{{"operators", Keys}};
  else
    Change.Patch = json{{"teams", {{Team.get<std::string>(), Keys}}}};
  Change.Author = this->authorOf(Call.Key).value_or("unknown");
  this->append(std::move(Change), json{{"key", Made.Text}}, Answer);
}

void Operations::forgetMember(const OperatorCall &Call, ReplyPtr Answer) {
  Result<json> Body = parseJson(Call.Body);
  if (!Body || !Body->is_object() ||
      !Body->value("daemon", json()).is_string()) {
    Answer->set_value(
        problem(Error{ErrorKind::BadRequest, "name the \"daemon\""}));
    return;
  }
  const DaemonId Gone((*Body)["daemon"].get<std::string>());
  if (!this->Parts.Members.members().contains(Gone)) {
    Answer->set_value(
        problem(Error{ErrorKind::NotFound, "no such daemon is known here"}));
    return;
  }
  this->Parts.Members.forget(Gone);
  // The other daemons remove the member once its roster row is gone.
  this->Parts.SignOff(Gone);
  Answer->set_value(success(json{{"forgotten", Gone.str()}}));
}

} // namespace sardinerill
