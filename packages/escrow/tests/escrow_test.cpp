#include "../../base/tests/logcapture.h"
#include "sardinerill/escrow/escrowagent.h"
#include "sardinerill/platform/inmemoryplatform.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sstream>

using namespace sardinerill;

namespace {

const ResourceId TeamResource("team/a");
constexpr std::size_t NodeCount = 4;
const EscrowTimeLimits Times{seconds(2), seconds(10), seconds(5)};

/// Background executor whose work and completion callbacks the test runs step
/// by step.
struct SteppedBackground : IBackgroundExecutor {
  std::deque<std::function<void()>> PendingWork;
  std::deque<std::function<void()>> ReadyCompletions;
  std::deque<std::function<void()>> PendingCompletions;

  void run(std::function<void()> Work, std::function<void()> Done) override {
    this->PendingWork.push_back(std::move(Work));
    this->PendingCompletions.push_back(std::move(Done));
  }
  void runWork() {
    if (this->PendingWork.empty())
      return;
    this->PendingWork.front()();
    this->PendingWork.pop_front();
    this->ReadyCompletions.push_back(
        std::move(this->PendingCompletions.front()));
    this->PendingCompletions.pop_front();
  }
  void runCompletion() {
    if (this->ReadyCompletions.empty())
      return;
    auto Done = std::move(this->ReadyCompletions.front());
    this->ReadyCompletions.pop_front();
    Done();
  }
};

/// A table that applies some writes only after their callers timed out.
struct DelayingTable : ITable {
  InMemoryPlatform &Inner;
  std::deque<Transaction> Delayed;
  unsigned CommitsToDelay = 0;

  explicit DelayingTable(InMemoryPlatform &Inner) : Inner(Inner) {}
  Result<std::vector<Row>> read(const std::vector<RowKey> &Keys) override {
    return this->Inner.read(Keys);
  }
  Result<std::vector<Row>> scan(const std::string &Table) override {
    return this->Inner.scan(Table);
  }
  Result<CommitOutcome> commit(const Transaction &Change) override {
    if (this->CommitsToDelay == 0)
      return this->Inner.commit(Change);
    --this->CommitsToDelay;
    this->Delayed.push_back(Change);
    return makeError(ErrorKind::PlatformUnavailable, "commit timed out");
  }
  void applyDelayed() {
    if (this->Delayed.empty())
      return;
    (void)this->Inner.commit(this->Delayed.front());
    this->Delayed.pop_front();
  }
};

struct SimulatedCluster;

/// One daemon; a crash destroys it and creates a new one.
struct Node : ILoanPeers {
  SimulatedCluster &Cluster;
  std::size_t Number;
  DaemonId Id;
  SteppedBackground Background;
  PlatformCallLimiter Limiter{100000, 1};
  Metrics Stats;
  std::unique_ptr<EscrowAgent> Agent;
  std::uint64_t Version = 0;
  bool Recovered = false;

  Node(SimulatedCluster &Cluster, std::size_t Number,
       std::uint64_t Incarnation);
  void sendLoanRequest(const DaemonId &Lender,
                       const LoanRequest &Request) override;
  void sendLoanReply(const DaemonId &Borrower, std::uint64_t RequestNumber,
                     const ResourceId &Resource,
                     const LoanOffer &Offer) override;
  void sendLoanReturn(const LoanId &Loan, const ResourceId &Resource) override;
  std::vector<DaemonId> reachable() const override;
};

struct RunningTask {
  DaemonId Owner;
  UnitSource Source;
  Instant EndsAt;
};

struct Message {
  DaemonId To;
  std::function<void(Node &)> Deliver;
};

struct SimulatedCluster {
  InMemoryPlatform Platform;
  DelayingTable Table{Platform};
  ManualClock Clock;
  std::vector<unsigned> Limits{0, 3};
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<RunningTask> Tasks;
  std::deque<Message> Network;
  std::uint64_t NextIncarnation = 1;
  std::deque<std::string> History;
  std::size_t Started = 0;

  SimulatedCluster() {
    this->Clock.advance(seconds(100));
    for (std::size_t Number = 0; Number < NodeCount; ++Number)
      this->restart(Number);
  }

  Node *find(const DaemonId &Id) {
    for (auto &Member : this->Nodes)
      if (Member && Member->Id == Id)
        return Member.get();
    return nullptr;
  }

  void restart(std::size_t Number) {
    if (this->Nodes.size() <= Number)
      this->Nodes.resize(Number + 1);
    this->Nodes[Number].reset();
    this->Nodes[Number] =
        std::make_unique<Node>(*this, Number, this->NextIncarnation++);
    this->apply(Number);
  }

  void apply(std::size_t Number) {
    Node &Member = *this->Nodes[Number];
    Member.Version = this->Limits.size() - 1;
    Member.Agent->setLimits(
        {{TeamResource, this->Limits.back(), Member.Version}}, Member.Version,
        Times);
  }

  /// Highest limit among the fleet versions that some daemon still applies.
  unsigned allowedTasks() const {
    std::uint64_t Oldest = this->Limits.size() - 1;
    for (const auto &Member : this->Nodes)
      Oldest = std::min(Oldest, Member->Version);
    return *std::max_element(this->Limits.begin() + long(Oldest),
                             this->Limits.end());
  }

  void endTasks() {
    // VMs stop tasks at the end of their run limit without a command.
    for (auto Task = this->Tasks.begin(); Task != this->Tasks.end();) {
      if (Task->EndsAt > this->Clock.now()) {
        ++Task;
        continue;
      }
      const RunningTask Ended = *Task;
      Task = this->Tasks.erase(Task);
      if (Node *Owner = this->find(Ended.Owner))
        Owner->Agent->release(TeamResource, Ended.Source);
    }
  }

  /// \returns false if more tasks run than the limit allows.
  bool start(std::size_t Number, Duration Run) {
    Node &Member = *this->Nodes[Number];
    if (auto Source = Member.Agent->tryAcquire(TeamResource)) {
      this->Tasks.push_back({Member.Id, *Source, this->Clock.now() + Run});
      ++this->Started;
      return this->Tasks.size() <= this->allowedTasks();
    }
    Member.Agent->requestUnits(TeamResource, 1);
    return true;
  }

  void finishOne(std::size_t Index) {
    if (this->Tasks.empty())
      return;
    this->Tasks[Index % this->Tasks.size()].EndsAt = this->Clock.now();
    this->endTasks();
  }

  void deliver(bool Duplicate) {
    if (this->Network.empty())
      return;
    const Message Next = this->Network.front();
    this->Network.pop_front();
    if (Duplicate)
      this->Network.push_back(Next);
    if (Node *To = this->find(Next.To))
      Next.Deliver(*To);
  }

  void runUntilQuiescent() {
    for (int Round = 0; Round < 20; ++Round) {
      for (auto &Member : this->Nodes) {
        Member->Background.runWork();
        Member->Background.runCompletion();
      }
      while (!this->Network.empty())
        this->deliver(false);
    }
  }

  /// Keeps the last events with the state before each, for failure messages.
  void recordEvent(unsigned Event, unsigned Detail) {
    std::ostringstream Line;
    Line << "\n"
         << Event << "/" << Detail << " limit " << this->Limits.back()
         << " tasks " << this->Tasks.size() << " row "
         << this->Platform.read({grantRowKey(TeamResource)})
                .value_or(std::vector<Row>(1))
                .front()
                .Value;
    for (const auto &Member : this->Nodes)
      Line << " | " << Member->Id.str() << " v" << Member->Version << " "
           << Member->Agent->describe(TeamResource);
    this->History.push_back(Line.str());
    if (this->History.size() > 60)
      this->History.pop_front();
  }

  std::string history() const {
    std::string Text;
    for (const std::string &Line : this->History)
      Text += Line;
    return Text;
  }

  void inheritGrants(std::size_t Number) {
    const DaemonId Self = this->Nodes[Number]->Id;
    const std::string Vm = std::to_string(Number) + "#";
    this->Nodes[Number]->Agent->inheritGrants(
        [Self, Vm](const DaemonId &Id) {
          return Id != Self && Id.str().starts_with(Vm);
        },
        [](bool) {});
  }

  /// Runs one random event. Numbers without a case of their own start a task,
  /// so that starts are the most frequent event.
  /// \returns false if more tasks run than the limit allows.
  bool step(unsigned Event, unsigned Detail) {
    const std::size_t Number = Detail % NodeCount;
    Node &Member = *this->Nodes[Number];
    this->recordEvent(Event, Detail);
    switch (Event) {
    default:
      return this->start(Number, milliseconds(500 + Detail % 9500));
    case 4:
      this->finishOne(Detail);
      return true;
    case 5:
      Member.Background.runWork();
      return true;
    case 0:
    case 6:
      for (auto &EachNode : this->Nodes)
        EachNode->Background.runCompletion();
      return true;
    case 7:
    case 18:
    case 19:
      this->deliver(Detail % 5 == 0);
      return true;
    case 8:
      if (!this->Network.empty() && Detail % 3 == 0)
        this->Network.pop_front();
      return true;
    case 1:
      for (auto &EachNode : this->Nodes)
        EachNode->Background.runWork();
      return true;
    case 9:
      Member.Agent->tick();
      return true;
    case 10:
      this->Clock.advance(milliseconds(Detail % 700));
      this->endTasks();
      return true;
    case 11:
      if (Detail % 4 == 0)
        this->Limits.push_back(1 + Detail / 4 % 4);
      this->apply(Number);
      return true;
    case 12:
      if (Detail % 5 == 0)
        this->restart(Number);
      else
        this->inheritGrants(Number);
      return true;
    case 13:
      this->Platform.setFaults(
          {.Unavailable = Detail % 7 == 0, .RepliesToDrop = int(Detail % 2)});
      return true;
    case 14:
      // Delays a commit and all three retries of commitAndVerify().
      if (Detail % 3 == 0)
        this->Table.CommitsToDelay = 4;
      else
        this->Table.applyDelayed();
      return true;
    case 15:
      if (Detail % 8 == 0)
        Member.Agent->beginDrain();
      return true;
    case 16:
    case 17:
      this->Table.CommitsToDelay = 0;
      this->runUntilQuiescent();
      return true;
    }
  }
};

Node::Node(SimulatedCluster &Cluster, std::size_t Number,
           std::uint64_t Incarnation)
    : Cluster(Cluster), Number(Number),
      Id(std::to_string(Number) + "#" + std::to_string(Incarnation)) {
  this->Agent = std::make_unique<EscrowAgent>(
      EscrowAgentOptions{this->Id, Times, seconds(1)}, Cluster.Table,
      this->Background, *this, this->Limiter, Cluster.Clock, this->Stats);
}

void Node::sendLoanRequest(const DaemonId &Lender, const LoanRequest &Request) {
  this->Cluster.Network.push_back({Lender, [=, From = this->Id](Node &To) {
                                     To.Agent->onLoanRequest(From, Request);
                                   }});
}

void Node::sendLoanReply(const DaemonId &Borrower, std::uint64_t RequestNumber,
                         const ResourceId &Resource, const LoanOffer &Offer) {
  this->Cluster.Network.push_back({Borrower, [=, From = this->Id](Node &To) {
                                     To.Agent->onLoanReply(From, RequestNumber,
                                                           Resource, Offer);
                                   }});
}

void Node::sendLoanReturn(const LoanId &Loan, const ResourceId &Resource) {
  this->Cluster.Network.push_back(
      {Loan.Lender,
       [=](Node &To) { To.Agent->onLoanReturn(Resource, Loan.Number); }});
}

std::vector<DaemonId> Node::reachable() const {
  std::vector<DaemonId> Ids;
  for (const auto &Member : this->Cluster.Nodes)
    if (Member && Member->Id != this->Id)
      Ids.push_back(Member->Id);
  return Ids;
}

} // namespace

// Guards the invariant that no team runs more tasks than its ceiling, whatever
// the order of crashes, lost messages, late writes and changes of the ceiling.
TEST_CASE("property: no more tasks run than a ceiling in force allows") {
  std::size_t Started = 0;
  CHECK(rc::check("running tasks never exceed the ceiling", [&] {
    SimulatedCluster Cluster;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            400, rc::gen::pair(rc::gen::inRange(0U, 26U),
                               rc::gen::inRange(0U, 10000U)));
    for (const auto &[Event, Detail] : Events)
      if (!Cluster.step(Event, Detail))
        RC_FAIL("tasks running: " + std::to_string(Cluster.Tasks.size()) +
                ", allowed: " + std::to_string(Cluster.allowedTasks()) +
                " after events" + Cluster.history());
    Started += Cluster.Started;
  }));
  CHECK(Started > 1000);
}

TEST_CASE("property: all units can be acquired again once no messages or "
          "writes are pending") {
  CHECK(rc::check("no unit is lost permanently", [] {
    SimulatedCluster Cluster;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            200, rc::gen::pair(rc::gen::inRange(0U, 26U),
                               rc::gen::inRange(0U, 10000U)));
    for (const auto &[Event, Detail] : Events)
      Cluster.step(Event, Detail);
    Cluster.Platform.setFaults({});
    Cluster.Table.CommitsToDelay = 0;
    for (std::size_t Number = 0; Number < NodeCount; ++Number)
      Cluster.restart(Number);
    for (int Round = 0; Round < 60; ++Round) {
      Cluster.Clock.advance(seconds(1));
      Cluster.endTasks();
      for (std::size_t Number = 0; Number < NodeCount; ++Number) {
        Cluster.inheritGrants(Number);
        Cluster.apply(Number);
        Cluster.Nodes[Number]->Agent->tick();
      }
      Cluster.runUntilQuiescent();
    }
    // A single daemon must now be able to get every unit of the ceiling.
    for (int Round = 0; Round < 60; ++Round) {
      Cluster.Clock.advance(milliseconds(500));
      RC_ASSERT(Cluster.start(0, seconds(9)));
      for (std::size_t Number = 0; Number < NodeCount; ++Number)
        Cluster.Nodes[Number]->Agent->tick();
      Cluster.runUntilQuiescent();
      if (Cluster.Tasks.size() == Cluster.Limits.back())
        return;
    }
    RC_FAIL("units acquired: " + std::to_string(Cluster.Tasks.size()) + " of " +
            std::to_string(Cluster.Limits.back()));
  }));
}

TEST_CASE("reclaiming frees the units of a removed VM") {
  SimulatedCluster Cluster;
  for (int Try = 0; Try < 40; ++Try) {
    Cluster.start(0, seconds(9));
    Cluster.runUntilQuiescent();
    Cluster.Clock.advance(milliseconds(300));
  }
  REQUIRE(Cluster.Tasks.size() == 3);
  const DaemonId Removed = Cluster.Nodes[0]->Id;
  // A daemon on another VM replaces the removed one.
  Cluster.Nodes[0] = std::make_unique<Node>(Cluster, 7, 99);
  Cluster.apply(0);
  Cluster.Clock.advance(Times.maxUnitUse());
  Cluster.endTasks();
  CHECK(*reclaimGrants(Cluster.Platform, Removed) == 3);
  CHECK(*reclaimGrants(Cluster.Platform, Removed) == 0);
}

TEST_CASE("a loan is not used for runs longer than its lender assumes") {
  const Instant Now(seconds(100));
  EscrowLedger Lender(DaemonId("a#1"), Times);
  Lender.applyGrant({DaemonId("a#1"), 1, 1});
  const LoanOffer Offer = Lender.lend(1, Now);
  CHECK(Offer.MaxRun == Times.MaxRun);
  EscrowLedger Borrower(DaemonId("b#1"), Times);
  Borrower.acceptLoan(Offer, Now);
  CHECK(Borrower.available(Now) == 1);
  EscrowTimeLimits Longer = Times;
  Longer.MaxRun = seconds(60);
  Borrower.setTimes(Longer, Now);
  CHECK_FALSE(Borrower.tryAcquire(Now).has_value());
  // A borrower with longer runs must not accept such an offer either.
  SimulatedCluster Cluster;
  Cluster.Nodes[0]->Agent->setLimits({{TeamResource, 3, 1}}, 1, Longer);
  for (int Try = 0; Try < 30; ++Try) {
    Cluster.start(1, seconds(9));
    Cluster.start(0, seconds(9));
    Cluster.runUntilQuiescent();
    Cluster.Clock.advance(milliseconds(100));
  }
  CHECK(Cluster.Nodes[0]->Stats.counter("loans_asked_total") > 0);
  CHECK(Cluster.Nodes[0]->Stats.counter("loans_received_total") == 0);
}

TEST_CASE("a lowered ceiling requests reductions, and units become free only "
          "when their holders give them up") {
  GrantRow Row{8, 1, {{DaemonId("a"), 5, 5}, {DaemonId("b"), 3, 3}}};
  Row = withLimit(Row, 4, 2);
  CHECK(totalUnits(Row) == 8);
  CHECK(grantOf(Row, DaemonId("a")).AllowedUnits == 2);
  CHECK(grantOf(Row, DaemonId("b")).AllowedUnits == 1);
  CHECK(withRaised(Row, DaemonId("c"), 1) == Row);
  Row = withLowered(Row, DaemonId("a"), 2);
  CHECK(withRaised(Row, DaemonId("c"), 1) == Row);
  Row = withLowered(Row, DaemonId("b"), 1);
  CHECK(grantOf(withRaised(Row, DaemonId("c"), 3), DaemonId("c")).Units == 1);
  CHECK(withLimit(Row, 100, 1) == Row);
}

TEST_CASE("property: decoding any stored text gives a row or an error") {
  CHECK(rc::check("decoding rows with a changed byte does not crash", [] {
    std::string Text =
        encodeGrantRow({8, 1, {{DaemonId("a"), 5, 5}, {DaemonId("b"), 3, 3}}});
    CHECK(decodeGrantRow(Text).has_value());
    const auto Position = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[Position] = *rc::gen::arbitrary<char>();
    (void)decodeGrantRow(Text);
  }));
}

// The units of such a row are out of use for as long as nobody looks.
TEST_CASE("an escrow row that can't be decoded is logged and doesn't keep the "
          "others from being reclaimed") {
  InMemoryPlatform Platform;
  const GrantOperation Raise{.Resource = ResourceId("team/good"),
                             .Limit = 5,
                             .LimitVersion = 1,
                             .Holder = DaemonId("gone#1"),
                             .RaiseBy = 3};
  REQUIRE(runGrantOperation(Platform, Raise).Known);
  REQUIRE(Platform
              .commit({makeWriteId(),
                       {},
                       {{grantRowKey(ResourceId("team/broken")), "[1"}}})
              .has_value());
  Result<std::vector<ResourceGrant>> Found;
  std::string Log = captureLog([&] {
    Found = scanGrants(Platform, [](const DaemonId &) { return true; });
  });
  REQUIRE(Found.has_value());
  CHECK(Found->size() == 1);
  const std::string Line = "event=escrow.row_unreadable resource=team/broken";
  CHECK(Log.find(Line) != std::string::npos);
  Result<unsigned> Units = 0;
  Log =
      captureLog([&] { Units = reclaimGrants(Platform, DaemonId("gone#1")); });
  CHECK(Units == 3U);
  CHECK(Log.find(Line) != std::string::npos);
  // Nothing is granted from it either.
  GrantOperation OnBroken = Raise;
  OnBroken.Resource = ResourceId("team/broken");
  Log = captureLog(
      [&] { CHECK_FALSE(runGrantOperation(Platform, OnBroken).Known); });
  CHECK(Log.find(Line) != std::string::npos);
}
