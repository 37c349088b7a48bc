#include "sardinerill/escrow/escrowagent.h"
#include "sardinerill/platform/memoryplatform.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <sstream>

using namespace sardinerill;

namespace {

const ResourceId Team("team/a");
constexpr std::size_t Vms = 4;
const EscrowTimes Times{seconds(2), seconds(10), seconds(5)};

/// Background executor whose work and completion callbacks the test runs step
/// by step.
struct HeldBackground : IBackground {
  std::deque<std::function<void()>> Works;
  std::deque<std::function<void()>> Dones;
  std::deque<std::function<void()>> Pending;

  void run(std::function<void()> Work, std::function<void()> Done) override {
    this->Works.push_back(std::move(Work));
    this->Pending.push_back(std::move(Done));
  }
  void runWork() {
    if (this->Works.empty())
      return;
    this->Works.front()();
    this->Works.pop_front();
    this->Dones.push_back(std::move(this->Pending.front()));
    this->Pending.pop_front();
  }
  void runDone() {
    if (this->Dones.empty())
      return;
    auto Done = std::move(this->Dones.front());
    this->Dones.pop_front();
    Done();
  }
};

/// A table that applies some writes only after their callers timed out.
struct DelayingTable : ITable {
  MemoryPlatform &Inner;
  std::deque<Transaction> Late;
  unsigned DelayNext = 0;

  explicit DelayingTable(MemoryPlatform &Inner) : Inner(Inner) {}
  Result<std::vector<Row>> read(const std::vector<RowKey> &Keys) override {
    return this->Inner.read(Keys);
  }
  Result<std::vector<Row>> scan(const std::string &Table) override {
    return this->Inner.scan(Table);
  }
  Result<CommitOutcome> commit(const Transaction &Change) override {
    if (this->DelayNext == 0)
      return this->Inner.commit(Change);
    --this->DelayNext;
    this->Late.push_back(Change);
    return makeError(ErrorKind::PlatformUnavailable, "no answer in time");
  }
  void landOne() {
    if (this->Late.empty())
      return;
    (void)this->Inner.commit(this->Late.front());
    this->Late.pop_front();
  }
};

struct World;

/// One daemon; a crash destroys it and creates a new one.
struct Node : ILoanPeers {
  World &All;
  std::size_t Number;
  DaemonId Id;
  HeldBackground Background;
  PlatformGate Gate{100000, 1};
  Metrics Figures;
  std::unique_ptr<EscrowAgent> Agent;
  std::uint64_t Version = 0;
  bool Recovered = false;

  Node(World &All, std::size_t Number, std::uint64_t Incarnation);
  void askLoan(const DaemonId &Lender, const LoanRequest &Request) override;
  void replyLoan(const DaemonId &Borrower, std::uint64_t Ask,
                 const ResourceId &Resource, const LoanOffer &Offer) override;
  void returnLoan(const LoanId &Loan, const ResourceId &Resource) override;
  std::vector<DaemonId> reachable() const override;
};

struct RunningTask {
  DaemonId Owner;
  UnitSource Source;
  Instant EndsAt;
};

struct Mail {
  DaemonId To;
  std::function<void(Node &)> Deliver;
};

struct World {
  MemoryPlatform Platform;
  DelayingTable Table{Platform};
  ManualClock Clock;
  std::vector<unsigned> Limits{0, 3};
  std::vector<std::unique_ptr<Node>> Nodes;
  std::vector<RunningTask> Tasks;
  std::deque<Mail> Network;
  std::uint64_t NextIncarnation = 1;
  std::deque<std::string> History;
  std::size_t Started = 0;

  World() {
    this->Clock.advance(seconds(100));
    for (std::size_t Number = 0; Number < Vms; ++Number)
      this->restart(Number);
  }

  Node *find(const DaemonId &Id) {
    for (auto &Each : this->Nodes)
      if (Each && Each->Id == Id)
        return Each.get();
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
    Node &Each = *this->Nodes[Number];
    Each.Version = this->Limits.size() - 1;
    Each.Agent->setLimits({{Team, this->Limits.back(), Each.Version}},
                          Each.Version, Times);
  }

  /// Highest limit among the fleet versions that some daemon still applies.
  unsigned bound() const {
    std::uint64_t Oldest = this->Limits.size() - 1;
    for (const auto &Each : this->Nodes)
      Oldest = std::min(Oldest, Each->Version);
    return *std::max_element(this->Limits.begin() + long(Oldest),
                             this->Limits.end());
  }

  void endTasks() {
    // Workers stop tasks at the end of their run limit without being told to.
    for (auto Each = this->Tasks.begin(); Each != this->Tasks.end();) {
      if (Each->EndsAt > this->Clock.now()) {
        ++Each;
        continue;
      }
      const RunningTask Ended = *Each;
      Each = this->Tasks.erase(Each);
      if (Node *Owner = this->find(Ended.Owner))
        Owner->Agent->finish(Team, Ended.Source);
    }
  }

  /// \returns false if more tasks run than the limit allows.
  bool start(std::size_t Number, Duration Run) {
    Node &Each = *this->Nodes[Number];
    if (auto Source = Each.Agent->tryStart(Team)) {
      this->Tasks.push_back({Each.Id, *Source, this->Clock.now() + Run});
      ++this->Started;
      return this->Tasks.size() <= this->bound();
    }
    Each.Agent->want(Team, 1);
    return true;
  }

  void finishOne(std::size_t Which) {
    if (this->Tasks.empty())
      return;
    this->Tasks[Which % this->Tasks.size()].EndsAt = this->Clock.now();
    this->endTasks();
  }

  void deliver(bool Keep) {
    if (this->Network.empty())
      return;
    const Mail Next = this->Network.front();
    this->Network.pop_front();
    if (Keep)
      this->Network.push_back(Next);
    if (Node *To = this->find(Next.To))
      Next.Deliver(*To);
  }

  void settleAll() {
    for (int Round = 0; Round < 20; ++Round) {
      for (auto &Each : this->Nodes) {
        Each->Background.runWork();
        Each->Background.runDone();
      }
      while (!this->Network.empty())
        this->deliver(false);
    }
  }

  /// Keeps the last events with the state before each, for failure messages.
  void note(unsigned Event, unsigned Detail) {
    std::ostringstream Line;
    Line << "\n"
         << Event << "/" << Detail << " limit " << this->Limits.back()
         << " tasks " << this->Tasks.size() << " row "
         << this->Platform.read({grantRowKey(Team)})
                .value_or(std::vector<Row>(1))
                .front()
                .Value;
    for (const auto &Each : this->Nodes)
      Line << " | " << Each->Id.str() << " v" << Each->Version << " "
           << Each->Agent->describe(Team);
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

  void recover(std::size_t Number) {
    const DaemonId Self = this->Nodes[Number]->Id;
    const std::string Vm = std::to_string(Number) + "#";
    this->Nodes[Number]->Agent->recover(
        [Self, Vm](const DaemonId &Id) {
          return Id != Self && Id.str().starts_with(Vm);
        },
        [](bool) {});
  }

  /// Runs one random event.
  /// \returns false if more tasks run than the limit allows.
  bool step(unsigned Event, unsigned Detail) {
    const std::size_t Number = Detail % Vms;
    Node &Each = *this->Nodes[Number];
    this->note(Event, Detail);
    switch (Event) {
    default:
      return this->start(Number, milliseconds(500 + Detail % 9500));
    case 4:
      this->finishOne(Detail);
      return true;
    case 5:
      Each.Background.runWork();
      return true;
    case 0:
    case 6:
      for (auto &Any : this->Nodes)
        Any->Background.runDone();
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
      for (auto &Any : this->Nodes)
        Any->Background.runWork();
      return true;
    case 9:
      Each.Agent->tick();
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
        this->recover(Number);
      return true;
    case 13:
      this->Platform.setFaults(
          {.Down = Detail % 7 == 0, .LoseReplies = int(Detail % 2)});
      return true;
    case 14:
      // Enough that the retries that settle a lost reply fail as well.
      if (Detail % 3 == 0)
        this->Table.DelayNext = 4;
      else
        this->Table.landOne();
      return true;
    case 15:
      if (Detail % 8 == 0)
        Each.Agent->beginGiveBack();
      return true;
    case 16:
    case 17:
      this->Table.DelayNext = 0;
      this->settleAll();
      return true;
    }
  }
};

Node::Node(World &All, std::size_t Number, std::uint64_t Incarnation)
    : All(All), Number(Number),
      Id(std::to_string(Number) + "#" + std::to_string(Incarnation)) {
  this->Agent = std::make_unique<EscrowAgent>(
      EscrowAgentOptions{this->Id, Times, seconds(1)}, All.Table,
      this->Background, *this, this->Gate, All.Clock, this->Figures);
}

void Node::askLoan(const DaemonId &Lender, const LoanRequest &Request) {
  this->All.Network.push_back({Lender, [=, From = this->Id](Node &To) {
                                 To.Agent->onLoanAsk(From, Request);
                               }});
}

void Node::replyLoan(const DaemonId &Borrower, std::uint64_t Ask,
                     const ResourceId &Resource, const LoanOffer &Offer) {
  this->All.Network.push_back({Borrower, [=, From = this->Id](Node &To) {
                                 To.Agent->onLoanReply(From, Ask, Resource,
                                                       Offer);
                               }});
}

void Node::returnLoan(const LoanId &Loan, const ResourceId &Resource) {
  this->All.Network.push_back({Loan.Lender, [=](Node &To) {
                                 To.Agent->onLoanReturn(Resource, Loan.Number);
                               }});
}

std::vector<DaemonId> Node::reachable() const {
  std::vector<DaemonId> Ids;
  for (const auto &Each : this->All.Nodes)
    if (Each && Each->Id != this->Id)
      Ids.push_back(Each->Id);
  return Ids;
}

} // namespace

// Guards the invariant that no team runs more tasks than its ceiling, whatever
// the order of crashes, lost messages, late writes and changes of the ceiling.
TEST_CASE("in no history does more run than a ceiling in force allows") {
  std::size_t Started = 0;
  CHECK(rc::check("ceiling", [&] {
    World All;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            400, rc::gen::pair(rc::gen::inRange(0U, 26U),
                               rc::gen::inRange(0U, 10000U)));
    for (const auto &[Event, Detail] : Events)
      if (!All.step(Event, Detail))
        RC_FAIL("running " + std::to_string(All.Tasks.size()) + " of " +
                std::to_string(All.bound()) + " after " + All.history());
    Started += All.Started;
  }));
  CHECK(Started > 1000);
}

TEST_CASE("all units are found again once everything has settled") {
  CHECK(rc::check("no unit is lost for good", [] {
    World All;
    const auto Events =
        *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(
            200, rc::gen::pair(rc::gen::inRange(0U, 26U),
                               rc::gen::inRange(0U, 10000U)));
    for (const auto &[Event, Detail] : Events)
      All.step(Event, Detail);
    All.Platform.setFaults({});
    All.Table.DelayNext = 0;
    for (std::size_t Number = 0; Number < Vms; ++Number)
      All.restart(Number);
    for (int Round = 0; Round < 60; ++Round) {
      All.Clock.advance(seconds(1));
      All.endTasks();
      for (std::size_t Number = 0; Number < Vms; ++Number) {
        All.recover(Number);
        All.apply(Number);
        All.Nodes[Number]->Agent->tick();
      }
      All.settleAll();
    }
    // A single daemon must now be able to get every unit of the ceiling.
    for (int Round = 0; Round < 60; ++Round) {
      All.Clock.advance(milliseconds(500));
      RC_ASSERT(All.start(0, seconds(9)));
      for (std::size_t Number = 0; Number < Vms; ++Number)
        All.Nodes[Number]->Agent->tick();
      All.settleAll();
      if (All.Tasks.size() == All.Limits.back())
        return;
    }
    RC_FAIL("only " + std::to_string(All.Tasks.size()) + " of " +
            std::to_string(All.Limits.back()));
  }));
}

TEST_CASE("units of a VM that is gone come back by reclaiming") {
  World All;
  for (int Try = 0; Try < 40; ++Try) {
    All.start(0, seconds(9));
    All.settleAll();
    All.Clock.advance(milliseconds(300));
  }
  REQUIRE(All.Tasks.size() == 3);
  const DaemonId Gone = All.Nodes[0]->Id;
  All.Nodes[0] = std::make_unique<Node>(All, 7, 99);
  All.apply(0);
  All.Clock.advance(Times.settleTime());
  All.endTasks();
  CHECK(*reclaimAll(All.Platform, Gone) == 3);
  CHECK(*reclaimAll(All.Platform, Gone) == 0);
}

TEST_CASE("a loan is no good for runs longer than its lender reckons with") {
  const Instant Now(seconds(100));
  EscrowLedger Lender(DaemonId("a#1"), Times);
  Lender.applyGrant({DaemonId("a#1"), 1, 1});
  const LoanOffer Offer = Lender.lend(1, Now);
  CHECK(Offer.MaxRun == Times.MaxRun);
  EscrowLedger Borrower(DaemonId("b#1"), Times);
  Borrower.acceptLoan(Offer, Now);
  CHECK(Borrower.available(Now) == 1);
  EscrowTimes Longer = Times;
  Longer.MaxRun = seconds(60);
  Borrower.setTimes(Longer, Now);
  CHECK_FALSE(Borrower.tryStart(Now).has_value());
  // A borrower with longer runs must not accept such an offer either.
  World All;
  All.Nodes[0]->Agent->setLimits({{Team, 3, 1}}, 1, Longer);
  for (int Try = 0; Try < 30; ++Try) {
    All.start(1, seconds(9));
    All.start(0, seconds(9));
    All.settleAll();
    All.Clock.advance(milliseconds(100));
  }
  CHECK(All.Nodes[0]->Figures.counter("loans_asked_total") > 0);
  CHECK(All.Nodes[0]->Figures.counter("loans_received_total") == 0);
}

TEST_CASE("a lowered ceiling gives holders targets, and frees units only by "
          "their own hand") {
  GrantRow Row{8, 1, {{DaemonId("a"), 5, 5}, {DaemonId("b"), 3, 3}}};
  Row = withLimit(Row, 4, 2);
  CHECK(totalUnits(Row) == 8);
  CHECK(grantOf(Row, DaemonId("a")).Target == 2);
  CHECK(grantOf(Row, DaemonId("b")).Target == 1);
  CHECK(withRaised(Row, DaemonId("c"), 1) == Row);
  Row = withLowered(Row, DaemonId("a"), 2);
  CHECK(withRaised(Row, DaemonId("c"), 1) == Row);
  Row = withLowered(Row, DaemonId("b"), 1);
  CHECK(grantOf(withRaised(Row, DaemonId("c"), 3), DaemonId("c")).Units == 1);
  CHECK(withLimit(Row, 100, 1) == Row);
}

TEST_CASE("any text in the table gives a row or an error") {
  CHECK(rc::check("rows", [] {
    std::string Text =
        encodeGrantRow({8, 1, {{DaemonId("a"), 5, 5}, {DaemonId("b"), 3, 3}}});
    CHECK(decodeGrantRow(Text).has_value());
    const auto Place = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[Place] = *rc::gen::arbitrary<char>();
    (void)decodeGrantRow(Text);
  }));
}
