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
constexpr double TaskMs = 100;
constexpr double SimulatedSeconds = 120;
constexpr double BurstSeconds = 5;
constexpr double WindowSeconds = 10;

struct ModelTeam {
  const char *Name;
  unsigned Share;
  double ArrivalFraction; ///< Fraction of all arrivals.
  double TargetMs;
};

/// Two large and four small teams; the second large team sends far more than
/// its share.
const std::vector<ModelTeam> Teams{
    {"large", 40, 0.25, 800},   {"greedy", 30, 0.50, 1300},
    {"small-a", 10, 0.07, 800}, {"small-b", 10, 0.07, 1300},
    {"small-c", 5, 0.06, 800},  {"small-d", 5, 0.05, 1300}};

/// Queue of waiting requests, ordered by one policy.
class IPolicy {
public:
  virtual ~IPolicy() = default;
  virtual void add(const QueuedWork &Work) = 0;
  virtual std::optional<QueuedWork> popNext(const ITeamLoads &Loads,
                                            Instant Now) = 0;
};

/// The work queue of the daemon; drops requests that can no longer start in
/// time.
class WorkQueuePolicy : public IPolicy {
public:
  void add(const QueuedWork &Work) override { this->Queue.add(Work); }
  std::optional<QueuedWork> popNext(const ITeamLoads &Loads,
                                    Instant Now) override {
    (void)this->Queue.removeExpired(Now);
    auto Next = this->Queue.peekNext(Loads, PoolSlots);
    if (Next)
      this->Queue.remove(Next->Id);
    return Next;
  }

private:
  WorkQueue Queue;
};

/// Orders by a single key and drops nothing.
class SingleKeyPolicy : public IPolicy {
public:
  using Key = std::function<Instant(const QueuedWork &)>;
  explicit SingleKeyPolicy(Key Order) : Order(std::move(Order)) {}

  void add(const QueuedWork &Work) override {
    this->Waiting.emplace(this->Order(Work), Work);
  }
  std::optional<QueuedWork> popNext(const ITeamLoads &, Instant) override {
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
  std::map<TeamId, TeamLoad> ByTeam;
  TeamLoad loadOf(const TeamId &Team) const override {
    return this->ByTeam.at(Team);
  }
};

struct PolicyResult {
  double WithinTarget = 0; ///< Fraction of the requests.
  double ShareDeficit = 0; ///< As from PoolModel::worstShareDeficit().
};

struct Completion {
  Instant Time;
  std::size_t Team;
  bool operator>(const Completion &Other) const {
    return this->Time > Other.Time;
  }
};

/// Simulates one pool with an offered load of \p Load times its capacity, in
/// bursts unless Steady is set.
class PoolModel {
public:
  PoolModel(IPolicy &Policy, double Load) : Policy(Policy), Load(Load) {
    for (const ModelTeam &Team : Teams)
      this->Loads.ByTeam[TeamId(Team.Name)] = TeamLoad{Team.Share, 0, false};
    this->RunTimeUs.resize(Teams.size());
  }

  PolicyResult run() {
    std::exponential_distribution<double> NextInterval(1.0);
    double AtSeconds = 0;
    while (AtSeconds < SimulatedSeconds) {
      AtSeconds += NextInterval(this->Random) / this->arrivalRateAt(AtSeconds);
      this->completeUntil(Instant(Duration(long(AtSeconds * 1e6))));
      this->addRandomRequest(Instant(Duration(long(AtSeconds * 1e6))));
    }
    this->completeUntil(Instant(seconds(long(SimulatedSeconds) + 60)));
    return {double(this->WithinTarget) / double(this->Arrived),
            this->worstShareDeficit()};
  }

private:
  /// \returns the arrivals per second: 4.8 times the mean during a burst, which
  /// is a fifth of the time, and 0.05 times the mean otherwise.
  double arrivalRateAt(double AtSeconds) const {
    const double Capacity = PoolSlots * 1000.0 / TaskMs;
    const bool IsBurst = std::fmod(AtSeconds, 5 * BurstSeconds) < BurstSeconds;
    return this->Steady ? Capacity * this->Load
                        : Capacity * this->Load * (IsBurst ? 4.8 : 0.05);
  }

  void addRandomRequest(Instant Now) {
    std::vector<double> Weights;
    for (const ModelTeam &Team : Teams)
      Weights.push_back(Team.ArrivalFraction);
    std::discrete_distribution<std::size_t> PickTeam(Weights.begin(),
                                                     Weights.end());
    const ModelTeam &Team = Teams[PickTeam(this->Random)];
    const auto Slack = milliseconds(long(Team.TargetMs - TaskMs));
    this->Policy.add({RequestId(std::to_string(this->Arrived++)),
                      TeamId(Team.Name), ClassId("c"), Now, Now + Slack});
    this->startQueued(Now);
  }

  void startQueued(Instant Now) {
    while (this->Running < PoolSlots) {
      auto Next = this->Policy.popNext(this->Loads, Now);
      if (!Next)
        return;
      std::size_t TeamIndex = 0;
      while (Next->Team.str() != Teams[TeamIndex].Name)
        ++TeamIndex;
      ++this->Running;
      ++this->Loads.ByTeam[Next->Team].Running;
      this->RunTimeUs[TeamIndex] += TaskMs * 1000;
      this->WithinTarget += Now <= Next->LatestStart ? 1 : 0;
      this->Completions.push({Now + milliseconds(long(TaskMs)), TeamIndex});
    }
  }

  void completeUntil(Instant Now) {
    while (!this->Completions.empty() && this->Completions.top().Time <= Now) {
      const Completion Next = this->Completions.top();
      this->Completions.pop();
      --this->Running;
      --this->Loads.ByTeam[TeamId(Teams[Next.Team].Name)].Running;
      this->startQueued(Next.Time);
    }
  }

  /// \returns the largest amount by which a team's fraction of the run time
  /// lies below its fraction of the shares. This is valid only if the pool is
  /// full and every team requests at least its share, as in the steady run.
  double worstShareDeficit() const {
    double TotalUs = 0;
    double TotalShares = 0;
    for (std::size_t TeamIndex = 0; TeamIndex < Teams.size(); ++TeamIndex) {
      TotalUs += this->RunTimeUs[TeamIndex];
      TotalShares += Teams[TeamIndex].Share;
    }
    double Worst = 0;
    for (std::size_t TeamIndex = 0; TeamIndex < Teams.size(); ++TeamIndex) {
      const double Received = this->RunTimeUs[TeamIndex] / TotalUs;
      const double Entitled = Teams[TeamIndex].Share / TotalShares;
      Worst = std::max(Worst, Entitled - Received);
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
  std::vector<double> RunTimeUs;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>>
      Completions;
  unsigned Running = 0;
  std::size_t Arrived = 0;
  std::size_t WithinTarget = 0;
};

std::unique_ptr<IPolicy> makePolicy(int PolicyIndex) {
  if (PolicyIndex == 0)
    return std::make_unique<WorkQueuePolicy>();
  if (PolicyIndex == 1)
    return std::make_unique<SingleKeyPolicy>(
        [](const QueuedWork &Work) { return Work.ArrivedAt; });
  return std::make_unique<SingleKeyPolicy>(
      [](const QueuedWork &Work) { return Work.LatestStart; });
}

constexpr const char *PolicyNames[] = {"sardinerill", "first come",
                                       "earliest deadline"};

} // namespace

void measureQueues() {
  std::printf("one pool of %u slots, work of %.0f ms, bursts of 4.8 times the "
              "mean for %.0f s of every %.0f s\n",
              PoolSlots, TaskMs, BurstSeconds, 5 * BurstSeconds);
  std::printf("%-20s %10s %14s\n", "policy", "load", "inside target");
  for (const double Load : {0.2, 0.5, 1.0})
    for (int PolicyIndex = 0; PolicyIndex < 3; ++PolicyIndex) {
      auto Policy = makePolicy(PolicyIndex);
      const PolicyResult Result = PoolModel(*Policy, Load).run();
      std::printf("%-20s %10.1f %13.1f%%\n", PolicyNames[PolicyIndex], Load,
                  100 * Result.WithinTarget);
    }
  std::printf(
      "\nsteady load of 2 times the pool's capacity, every team above its "
      "share\n%-20s %24s\n",
      "policy", "worst team below share by");
  for (int PolicyIndex = 0; PolicyIndex < 3; ++PolicyIndex) {
    auto Policy = makePolicy(PolicyIndex);
    PoolModel Model(*Policy, 2.0);
    Model.Steady = true;
    std::printf("%-20s %23.1f%%\n", PolicyNames[PolicyIndex],
                100 * Model.run().ShareDeficit);
  }
  std::printf("\n");
}

} // namespace bench
