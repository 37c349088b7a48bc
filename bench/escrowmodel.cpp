#include "models.h"
#include "sardinerill/escrow/escrowagent.h"
#include "sardinerill/platform/inmemoryplatform.h"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace bench {

using namespace sardinerill;

namespace {

const ResourceId TeamCeiling("team/t");
constexpr Duration PeerLatency = milliseconds(1);
constexpr Duration TableLatency = milliseconds(4);
constexpr Duration TaskTime = milliseconds(100);
/// A request is refused after waiting this long.
constexpr Duration MaxWait = milliseconds(1000);
constexpr Duration SimulatedTime = seconds(60);
constexpr Duration TickInterval = milliseconds(25);

/// Runs events in virtual time.
class EventSimulator : public IClock {
public:
  Instant now() const override { return this->Current; }
  void scheduleAfter(Duration Delay, std::function<void()> Action) {
    this->Events.emplace(this->Current + Delay, std::move(Action));
  }
  void runUntil(Instant End) {
    while (!this->Events.empty() && this->Events.begin()->first <= End) {
      auto Next = this->Events.extract(this->Events.begin());
      this->Current = Next.key();
      Next.mapped()();
    }
  }

private:
  Instant Current{seconds(100)};
  std::multimap<Instant, std::function<void()>> Events;
};

struct CeilingModel;

/// A daemon with its escrow agent; calls of the table and messages to peers are
/// delayed by the latencies above.
struct ModelDaemon : ILoanPeers, IBackgroundExecutor {
  CeilingModel &Model;
  DaemonId Id;
  PlatformCallLimiter Limiter{60, 1};
  Metrics DaemonMetrics;
  std::unique_ptr<EscrowAgent> Agent;
  std::vector<Instant> WaitingSince;

  ModelDaemon(CeilingModel &Model, unsigned Index);
  void run(std::function<void()> Work, std::function<void()> Callback) override;
  void sendLoanRequest(const DaemonId &Lender,
                       const LoanRequest &Request) override;
  void sendLoanReply(const DaemonId &Borrower, std::uint64_t RequestNumber,
                     const ResourceId &Resource,
                     const LoanOffer &Offer) override;
  void sendLoanReturn(const LoanId &Loan, const ResourceId &Resource) override;
  std::vector<DaemonId> reachable() const override;
  /// Refuses requests that waited too long and starts others while units are
  /// available.
  void startQueuedRequests();
};

/// Daemons that share one ceiling; each request arrives at a random daemon.
struct CeilingModel {
  EventSimulator Simulator;
  InMemoryPlatform Platform;
  std::vector<std::unique_ptr<ModelDaemon>> Daemons;
  std::size_t Arrived = 0;
  std::size_t Refused = 0;
  std::vector<double> WaitTimesMs;
  std::mt19937_64 Random{20261204};

  CeilingModel(unsigned Count, unsigned Ceiling) {
    for (unsigned Index = 0; Index < Count; ++Index)
      this->Daemons.push_back(std::make_unique<ModelDaemon>(*this, Index));
    for (auto &Daemon : this->Daemons)
      Daemon->Agent->setLimits({{TeamCeiling, Ceiling, 1}}, 1,
                               EscrowTimeLimits{});
  }

  ModelDaemon *findDaemon(const DaemonId &Id) {
    for (auto &Daemon : this->Daemons)
      if (Daemon->Id == Id)
        return Daemon.get();
    return nullptr;
  }

  void run(double RatePerSecond) {
    this->scheduleArrival(RatePerSecond);
    for (auto &Daemon : this->Daemons)
      this->scheduleTick(*Daemon);
    this->Simulator.runUntil(this->Simulator.now() + SimulatedTime);
  }

  void scheduleArrival(double Rate) {
    std::exponential_distribution<double> Interval(Rate);
    this->Simulator.scheduleAfter(
        Duration(long(Interval(this->Random) * 1e6)), [this, Rate] {
          ModelDaemon &Daemon =
              *this->Daemons[this->Random() % this->Daemons.size()];
          ++this->Arrived;
          Daemon.WaitingSince.push_back(this->Simulator.now());
          Daemon.startQueuedRequests();
          this->scheduleArrival(Rate);
        });
  }

  void scheduleTick(ModelDaemon &Daemon) {
    this->Simulator.scheduleAfter(TickInterval, [this, &Daemon] {
      Daemon.Agent->tick();
      Daemon.startQueuedRequests();
      this->scheduleTick(Daemon);
    });
  }
};

ModelDaemon::ModelDaemon(CeilingModel &Model, unsigned Index)
    : Model(Model), Id("entry-" + std::to_string(Index) + "#1") {
  this->Agent = std::make_unique<EscrowAgent>(
      EscrowAgentOptions{.Self = this->Id}, Model.Platform, *this, *this,
      this->Limiter, Model.Simulator, this->DaemonMetrics);
  this->Agent->setAvailabilityHandler(
      [this](const ResourceId &) { this->startQueuedRequests(); });
}

void ModelDaemon::run(std::function<void()> Work,
                      std::function<void()> Callback) {
  this->Model.Simulator.scheduleAfter(
      TableLatency / 2,
      [this, Work = std::move(Work), Callback = std::move(Callback)]() mutable {
        Work();
        this->Model.Simulator.scheduleAfter(TableLatency / 2,
                                            std::move(Callback));
      });
}

void ModelDaemon::sendLoanRequest(const DaemonId &Lender,
                                  const LoanRequest &Request) {
  this->Model.Simulator.scheduleAfter(PeerLatency, [this, Lender, Request] {
    if (ModelDaemon *Receiver = this->Model.findDaemon(Lender))
      Receiver->Agent->onLoanRequest(this->Id, Request);
  });
}

void ModelDaemon::sendLoanReply(const DaemonId &Borrower,
                                std::uint64_t RequestNumber,
                                const ResourceId &Resource,
                                const LoanOffer &Offer) {
  this->Model.Simulator.scheduleAfter(PeerLatency, [=, this] {
    if (ModelDaemon *Receiver = this->Model.findDaemon(Borrower))
      Receiver->Agent->onLoanReply(this->Id, RequestNumber, Resource, Offer);
  });
}

void ModelDaemon::sendLoanReturn(const LoanId &Loan,
                                 const ResourceId &Resource) {
  this->Model.Simulator.scheduleAfter(PeerLatency, [=, this] {
    if (ModelDaemon *Receiver = this->Model.findDaemon(Loan.Lender))
      Receiver->Agent->onLoanReturn(Resource, Loan.Number);
  });
}

std::vector<DaemonId> ModelDaemon::reachable() const {
  std::vector<DaemonId> Ids;
  for (const auto &Daemon : this->Model.Daemons)
    if (Daemon->Id != this->Id)
      Ids.push_back(Daemon->Id);
  return Ids;
}

void ModelDaemon::startQueuedRequests() {
  const Instant Now = this->Model.Simulator.now();
  while (!this->WaitingSince.empty()) {
    if (Now - this->WaitingSince.front() > MaxWait) {
      this->WaitingSince.erase(this->WaitingSince.begin());
      ++this->Model.Refused;
      continue;
    }
    auto Unit = this->Agent->tryAcquire(TeamCeiling);
    if (!Unit) {
      this->Agent->requestUnits(TeamCeiling,
                                unsigned(this->WaitingSince.size()));
      return;
    }
    const Duration WaitTime = Now - this->WaitingSince.front();
    this->Model.WaitTimesMs.push_back(double(WaitTime.count()) / 1000);
    this->WaitingSince.erase(this->WaitingSince.begin());
    this->Model.Simulator.scheduleAfter(TaskTime, [this, Unit] {
      this->Agent->release(TeamCeiling, *Unit);
      this->startQueuedRequests();
    });
  }
}

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  return Values[std::size_t(Fraction * double(Values.size() - 1))];
}

} // namespace

void measureCeilings() {
  std::printf(
      "one ceiling divided among daemons: tasks of 100 ms, load of 0.7 times "
      "the ceiling, refusal after waiting 1 s; 1 daemon is the baseline\n");
  std::printf("%8s %8s %9s %9s %9s %9s %9s %10s\n", "ceiling", "daemons",
              "requests", "refused", "p50 ms", "p99 ms", "loans", "writes/s");
  for (const unsigned Ceiling : {1U, 2U, 8U, 40U})
    for (const unsigned Count : {1U, 8U, 48U}) {
      CeilingModel Model(Count, Ceiling);
      // One unit runs 10 tasks of 100 ms per second.
      Model.run(0.7 * 10 * Ceiling);
      std::uint64_t Loans = 0;
      for (const auto &Daemon : Model.Daemons)
        Loans += Daemon->DaemonMetrics.counter("loans_received_total");
      std::printf("%8u %8u %9zu %8.2f%% %9.1f %9.1f %9llu %10.1f\n", Ceiling,
                  Count, Model.Arrived,
                  100.0 * double(Model.Refused) / double(Model.Arrived),
                  percentile(Model.WaitTimesMs, 0.5),
                  percentile(Model.WaitTimesMs, 0.99),
                  static_cast<unsigned long long>(Loans),
                  double(Model.Platform.commitCount()) / 60);
    }
}

} // namespace bench
