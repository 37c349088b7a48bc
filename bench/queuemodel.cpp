#include "models.h"
#include "sardinerill/queueing/workqueue.h"

#include <cmath>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>

namespace bench {

using namespace sardinerill;

namespace {

constexpr unsigned PoolSlots = 80;
constexpr double RunMs = 100;
constexpr double Seconds = 120;
constexpr double BurstSeconds = 5;
constexpr double WindowSeconds = 10;

struct ModelTeam {
  const char *Name;
  unsigned Share;
  double Demand; ///< Part of all arrivals.
  double TargetMs;
};

/// Two large teams and four small ones; the second large one asks for far more
/// than its share.
const std::vector<ModelTeam> Teams{
    {"large", 40, 0.25, 800},   {"greedy", 30, 0.50, 1300},
    {"small-a", 10, 0.07, 800}, {"small-b", 10, 0.07, 1300},
    {"small-c", 5, 0.06, 800},  {"small-d", 5, 0.05, 1300}};

/// Order of work under one policy.
class IPolicy {
public:
  virtual ~IPolicy() = default;
  virtual void add(const QueuedWork &Work) = 0;
  virtual std::optional<QueuedWork> take(const ITeamLoads &Loads,
                                         Instant Now) = 0;
};

/// The product's queue, shedding what is late.
class ProductPolicy : public IPolicy {
public:
  void add(const QueuedWork &Work) override { this->Queue.add(Work); }
  std::optional<QueuedWork> take(const ITeamLoads &Loads,
                                 Instant Now) override {
    (void)this->Queue.shed(Now);
    auto Next = this->Queue.pick(Loads, PoolSlots);
    if (Next)
      this->Queue.take(Next->Id);
    return Next;
  }

private:
  WorkQueue Queue;
};

/// One key decides; nothing is shed.
class KeyedPolicy : public IPolicy {
public:
  using Key = std::function<Instant(const QueuedWork &)>;
  explicit KeyedPolicy(Key Order) : Order(std::move(Order)) {}

  void add(const QueuedWork &Work) override {
    this->Waiting.emplace(this->Order(Work), Work);
  }
  std::optional<QueuedWork> take(const ITeamLoads &, Instant) override {
    if (this->Waiting.empty())
      return std::nullopt;
    QueuedWork Next = this->Waiting.begin()->second;
    this->Waiting.erase(this->Waiting.begin());
    return Next;
  }

private:
  Key Order;
  std::multimap<Instant, QueuedWork> Waiting;
};

struct ModelLoads : ITeamLoads {
  std::map<TeamId, TeamLoad> Known;
  TeamLoad loadOf(const TeamId &Team) const override {
    return this->Known.at(Team);
  }
};

struct Outcome {
  double Inside = 0;
  double ShareDistance = 0;
};

struct Ending {
  Instant At;
  std::size_t Team;
  bool operator>(const Ending &Other) const { return this->At > Other.At; }
};

/// Runs one pool at \p Load times its capacity, in bursts.
class PoolModel {
public:
  PoolModel(IPolicy &Policy, double Load) : Policy(Policy), Load(Load) {
    for (const ModelTeam &Team : Teams)
      this->Loads.Known[TeamId(Team.Name)] = TeamLoad{Team.Share, 0, false};
    this->BusyUs.resize(Teams.size());
  }

  Outcome run() {
    std::exponential_distribution<double> Gap(1.0);
    double At = 0;
    while (At < Seconds) {
      At += Gap(this->Random) / this->rateAt(At);
      this->finishUntil(Instant(Duration(long(At * 1e6))));
      this->arrive(Instant(Duration(long(At * 1e6))));
    }
    this->finishUntil(Instant(seconds(long(Seconds) + 60)));
    return {double(this->Inside) / double(this->Arrived), this->distance()};
  }

private:
  /// Arrivals a second: five times the mean for a while, a twentieth after.
  double rateAt(double At) const {
    const double Capacity = PoolSlots * 1000.0 / RunMs;
    const bool Burst = std::fmod(At, 5 * BurstSeconds) < BurstSeconds;
    return this->Steady ? Capacity * this->Load
                        : Capacity * this->Load * (Burst ? 4.8 : 0.05);
  }

  void arrive(Instant Now) {
    std::vector<double> Parts;
    for (const ModelTeam &Team : Teams)
      Parts.push_back(Team.Demand);
    std::discrete_distribution<std::size_t> Draw(Parts.begin(), Parts.end());
    const ModelTeam &Team = Teams[Draw(this->Random)];
    const auto Slack = milliseconds(long(Team.TargetMs - RunMs));
    this->Policy.add({RequestId(std::to_string(this->Arrived++)),
                      TeamId(Team.Name), ClassId("c"), Now, Now + Slack});
    this->startAll(Now);
  }

  void startAll(Instant Now) {
    while (this->Running < PoolSlots) {
      auto Next = this->Policy.take(this->Loads, Now);
      if (!Next)
        return;
      std::size_t Number = 0;
      while (Next->Team.str() != Teams[Number].Name)
        ++Number;
      ++this->Running;
      ++this->Loads.Known[Next->Team].Running;
      this->BusyUs[Number] += RunMs * 1000;
      this->Inside += Now <= Next->LatestStart ? 1 : 0;
      this->Endings.push({Now + milliseconds(long(RunMs)), Number});
    }
  }

  void finishUntil(Instant Now) {
    while (!this->Endings.empty() && this->Endings.top().At <= Now) {
      const Ending Next = this->Endings.top();
      this->Endings.pop();
      --this->Running;
      --this->Loads.Known[TeamId(Teams[Next.Team].Name)].Running;
      this->startAll(Next.At);
    }
  }

  /// Mean distance of what each team got from its share, while the pool was
  /// full; a team that asks for less than its share is not counted.
  double distance() const {
    double Total = 0;
    double Shares = 0;
    for (std::size_t Number = 0; Number < Teams.size(); ++Number) {
      Total += this->BusyUs[Number];
      Shares += Teams[Number].Share;
    }
    double Worst = 0;
    for (std::size_t Number = 0; Number < Teams.size(); ++Number) {
      const double Got = this->BusyUs[Number] / Total;
      const double Part = Teams[Number].Share / Shares;
      Worst = std::max(Worst, Part - Got);
    }
    return Worst;
  }

public:
  bool Steady = false;

private:
  IPolicy &Policy;
  double Load;
  std::mt19937_64 Random{20261204};
  ModelLoads Loads;
  std::vector<double> BusyUs;
  std::priority_queue<Ending, std::vector<Ending>, std::greater<>> Endings;
  unsigned Running = 0;
  std::size_t Arrived = 0;
  std::size_t Inside = 0;
};

std::unique_ptr<IPolicy> makePolicy(int Which) {
  if (Which == 0)
    return std::make_unique<ProductPolicy>();
  if (Which == 1)
    return std::make_unique<KeyedPolicy>(
        [](const QueuedWork &Work) { return Work.Arrived; });
  return std::make_unique<KeyedPolicy>(
      [](const QueuedWork &Work) { return Work.LatestStart; });
}

constexpr const char *PolicyNames[] = {"sardinerill", "first come",
                                       "earliest deadline"};

} // namespace

void measureQueues() {
  std::printf("one pool of %u slots, work of %.0f ms, bursts of 4.8 times the "
              "mean for %.0f s of every %.0f s\n",
              PoolSlots, RunMs, BurstSeconds, 5 * BurstSeconds);
  std::printf("%-20s %10s %14s\n", "policy", "load", "inside target");
  for (const double Load : {0.2, 0.5, 1.0})
    for (int Which = 0; Which < 3; ++Which) {
      auto Policy = makePolicy(Which);
      const Outcome Got = PoolModel(*Policy, Load).run();
      std::printf("%-20s %10.1f %13.1f%%\n", PolicyNames[Which], Load,
                  100 * Got.Inside);
    }
  std::printf("\nsteady demand of 2 times the pool, every team above its "
              "share\n%-20s %24s\n",
              "policy", "worst team below share by");
  for (int Which = 0; Which < 3; ++Which) {
    auto Policy = makePolicy(Which);
    PoolModel Model(*Policy, 2.0);
    Model.Steady = true;
    std::printf("%-20s %23.1f%%\n", PolicyNames[Which],
                100 * Model.run().ShareDistance);
  }
  std::printf("\n");
}

} // namespace bench
