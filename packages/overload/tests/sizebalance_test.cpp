#include "sardinerill/overload/sizebalance.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>

using namespace sardinerill;
using namespace sardinerill::overload;

namespace {

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

struct Job {
  double CpuSeconds = 0;
  SizeClass Class = SizeClass::Ordinary;
  int ArrivedMs = 0;
};

struct Served {
  double Arrived = 0;
  double Started = 0;
  double rate() const { return this->Started / this->Arrived; }
};

/// Serves a queue at half of its demand, smallest job first. A job that has
/// waited for 2 s is dropped.
std::array<Served, 3> serve(bool UseBalance) {
  std::mt19937 Random(7);
  std::lognormal_distribution<double> Size(3, 0.8);
  SizeBalance Balance;
  std::vector<Job> Waiting;
  std::array<Served, 3> Result;
  double Free = 0;
  const double CapacityPerMs = 0.5 * std::exp(3 + 0.8 * 0.8 / 2) / 10;
  for (int Ms = 0; Ms < 60000; Ms += 10) {
    Job New{.CpuSeconds = Size(Random), .ArrivedMs = Ms};
    New.Class = Balance.arrived(New.CpuSeconds, at(Ms));
    Result[std::size_t(New.Class)].Arrived += 1;
    Waiting.push_back(New);
    std::erase_if(Waiting,
                  [&](const Job &Each) { return Ms - Each.ArrivedMs > 2000; });
    for (Free += 10 * CapacityPerMs; Free > 0 && !Waiting.empty();) {
      auto Chosen = std::ranges::min_element(Waiting, {}, &Job::CpuSeconds);
      for (auto Each = Waiting.begin(); UseBalance && Each != Waiting.end();
           ++Each)
        if (Balance.deficit(Each->Class, at(Ms)) > 0)
          Chosen = Each;
      Free -= Chosen->CpuSeconds;
      Balance.started(Chosen->Class, at(Ms));
      Result[std::size_t(Chosen->Class)].Started += 1;
      Waiting.erase(Chosen);
    }
  }
  return Result;
}

} // namespace

TEST_CASE("both classes of large jobs are served at least half as often") {
  // Guards against the starvation of the largest jobs at half of the demand,
  // which the order by remaining time alone shows.
  const auto Rates = [](const std::array<Served, 3> &Of) {
    Served All;
    for (const Served &Each : Of) {
      All.Arrived += Each.Arrived;
      All.Started += Each.Started;
    }
    return std::array{Of[1].rate() / All.rate(), Of[2].rate() / All.rate()};
  };
  const auto Without = Rates(serve(false));
  CHECK(Without[1] < 0.5);
  CHECK(Without[0] + Without[1] < 0.8);
  const auto With = Rates(serve(true));
  CHECK(With[0] >= 0.5);
  CHECK(With[1] >= 0.5);
  // No more capacity is spent on them than required.
  CHECK(With[1] < 0.75);
}

TEST_CASE("classes are bounded by the sizes of recent jobs") {
  // Guards against the first jobs, or all jobs of a queue whose jobs are equal,
  // counting as large.
  SizeBalance Balance;
  for (int Count = 0; Count < 19; ++Count)
    CHECK(Balance.arrived(Count, at(0)) == SizeClass::Ordinary);
  CHECK(Balance.arrived(1000, at(0)) == SizeClass::Ordinary);
  CHECK(Balance.arrived(15, at(0)) == SizeClass::Large);
  CHECK(Balance.arrived(1001, at(0)) == SizeClass::Largest);
  // After 200 jobs of another size the old sizes are forgotten.
  for (int Count = 0; Count < 200; ++Count)
    Balance.arrived(5000, at(0));
  CHECK(Balance.arrived(5000, at(0)) == SizeClass::Ordinary);
  CHECK(Balance.arrived(1001, at(0)) == SizeClass::Ordinary);
}

TEST_CASE("an idle or fully served queue prefers no size") {
  // Guards against large jobs being preferred while nothing has been served, or
  // although all are.
  SizeBalance Balance;
  CHECK(Balance.deficit(SizeClass::Largest, at(0)) == 0);
  for (int Count = 0; Count < 30; ++Count)
    Balance.started(Balance.arrived(Count, at(Count)), at(Count));
  CHECK(Balance.deficit(SizeClass::Large, at(30)) == 0);
  CHECK(Balance.deficit(SizeClass::Largest, at(30)) == 0);
  CHECK(Balance.deficit(SizeClass::Ordinary, at(30)) == 0);
}
