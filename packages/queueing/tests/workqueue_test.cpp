#include "sardinerill/queueing/runtimeestimator.h"
#include "sardinerill/queueing/workqueue.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;

namespace {

Instant at(int Ms) { return Instant(milliseconds(Ms)); }

struct FakeLoads : ITeamLoads {
  std::map<TeamId, TeamLoad> ByTeam;
  TeamLoad loadOf(const TeamId &Team) const override {
    return this->ByTeam.at(Team);
  }
};

/// Reference implementation of the same rules: selects by scanning all work.
struct ReferenceQueue {
  std::vector<QueuedWork> Work;

  static bool hasPriorityOver(const QueuedWork &A, const TeamLoad &LoadA,
                              bool BelowA, const QueuedWork &B,
                              const TeamLoad &LoadB, bool BelowB) {
    if (BelowA != BelowB)
      return BelowA;
    const double UsageA = double(LoadA.Running) / LoadA.Share;
    const double UsageB = double(LoadB.Running) / LoadB.Share;
    if (!BelowA && UsageA != UsageB)
      return UsageA < UsageB;
    return A.LatestStart < B.LatestStart;
  }

  std::optional<QueuedWork> peekNext(const FakeLoads &Loads,
                                     unsigned Slots) const {
    std::set<TeamId> Waiting;
    for (const QueuedWork &W : this->Work)
      Waiting.insert(W.Team);
    double TotalShare = 0;
    for (const TeamId &Team : Waiting)
      TotalShare += Loads.loadOf(Team).Share;
    auto Below = [&](const QueuedWork &W) {
      const TeamLoad L = Loads.loadOf(W.Team);
      return L.Running * TotalShare < double(Slots) * L.Share;
    };
    std::optional<QueuedWork> Best;
    for (const QueuedWork &W : this->Work) {
      if (Loads.loadOf(W.Team).Blocked)
        continue;
      if (!Best || hasPriorityOver(W, Loads.loadOf(W.Team), Below(W), *Best,
                                   Loads.loadOf(Best->Team), Below(*Best)))
        Best = W;
    }
    return Best;
  }
};

} // namespace

TEST_CASE("property: picks the same work as the reference queue") {
  CHECK(rc::check(
      "the queue and its reference implementation pick the same work", [] {
        WorkQueue Queue;
        ReferenceQueue Reference;
        FakeLoads Loads;
        for (int Team = 0; Team < 5; ++Team)
          Loads.ByTeam[TeamId(std::to_string(Team))] = TeamLoad{
              *rc::gen::inRange(1U, 5U), *rc::gen::inRange(0U, 9U),
              *rc::gen::weightedElement<bool>({{4, false}, {1, true}})};
        const unsigned Slots = *rc::gen::inRange(1U, 20U);
        const auto Steps =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1000));
        int NextId = 0;
        for (int Step : Steps) {
          if (Step % 3 != 0) {
            // Distinct latest starts, so that the best choice is unambiguous.
            const Instant Latest = at((Step * 7919 % 1000) * 1000 + NextId);
            QueuedWork Work{RequestId(std::to_string(NextId++)),
                            TeamId(std::to_string(Step % 5)), ClassId("c"),
                            at(0), Latest};
            Queue.add(Work);
            Reference.Work.push_back(Work);
            continue;
          }
          auto Picked = Queue.peekNext(Loads, Slots);
          RC_ASSERT(Picked == Reference.peekNext(Loads, Slots));
          if (!Picked)
            continue;
          RC_ASSERT(Queue.remove(Picked->Id));
          std::erase(Reference.Work, *Picked);
          ++Loads.ByTeam[Picked->Team].Running;
        }
        RC_ASSERT(Queue.size() == Reference.Work.size());
      }));
}

TEST_CASE(
    "property: removes exactly the work that can no longer meet its target") {
  CHECK(
      rc::check("work is removed exactly when its latest start has passed", [] {
        WorkQueue Queue;
        const auto Starts =
            *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
        for (std::size_t Index = 0; Index < Starts.size(); ++Index)
          Queue.add({RequestId(std::to_string(Index)), TeamId("t"),
                     ClassId("c"), at(0), at(Starts[Index])});
        const int Now = *rc::gen::inRange(0, 100);
        const auto ExpiredCount =
            std::count_if(Starts.begin(), Starts.end(),
                          [&](int Start) { return Start < Now; });
        RC_ASSERT(Queue.removeExpired(at(Now)).size() ==
                  std::size_t(ExpiredCount));
        RC_ASSERT(Queue.size() == Starts.size() - std::size_t(ExpiredCount));
      }));
}

TEST_CASE("with all teams backlogged, each team runs its share of the slots") {
  WorkQueue Queue;
  FakeLoads Loads;
  const std::vector<unsigned> Shares{50, 30, 15, 5};
  int NextId = 0;
  for (std::size_t Team = 0; Team < Shares.size(); ++Team) {
    Loads.ByTeam[TeamId(std::to_string(Team))] =
        TeamLoad{Shares[Team], 0, false};
    for (int Index = 0; Index < 200; ++Index)
      Queue.add({RequestId(std::to_string(NextId++)),
                 TeamId(std::to_string(Team)), ClassId("c"), at(0), at(Index)});
  }
  for (int Slot = 0; Slot < 100; ++Slot) {
    auto Picked = Queue.peekNext(Loads, 100);
    REQUIRE(Picked);
    Queue.remove(Picked->Id);
    ++Loads.ByTeam[Picked->Team].Running;
  }
  for (std::size_t Team = 0; Team < Shares.size(); ++Team)
    CHECK(Loads.ByTeam[TeamId(std::to_string(Team))].Running == Shares[Team]);
}

TEST_CASE("estimated run times bring the latest start forward but leave a "
          "fifth of the target for waiting") {
  RunTimeEstimator Times;
  const ClassId Class("pattern");
  const TeamId Team("ingoma");
  CHECK_FALSE(Times.estimate(Class, Team).has_value());
  for (int Run = 0; Run < 100; ++Run)
    Times.record(Class, Team, milliseconds(300));
  auto Expected = Times.estimate(Class, Team);
  REQUIRE(Expected);
  CHECK(*Expected >= milliseconds(300));
  CHECK(*Expected < milliseconds(320));
  CHECK(latestStart(at(0), milliseconds(800), Expected) < at(501));
  CHECK(latestStart(at(0), milliseconds(100), Expected) == at(20));
}
