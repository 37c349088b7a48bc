#include "sardinerill/capacity/vmdivision.h"

#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace sardinerill::site;

TEST_CASE("two pools at their peak share what is left above the minimums") {
  // A pool that asks for nearly the whole fleet must not leave the other at its
  // minimum: 349 VMs, minimums of 28.
  const std::vector<PoolNeed> Needs{{28, 349}, {28, 349}, {28, 30}, {28, 28}};
  const std::vector<int> Targets = divideVms(Needs, 349);
  CHECK(Targets[0] - Targets[1] <= 1);
  CHECK(Targets[1] > 140);
  CHECK(Targets[2] >= 28);
  CHECK(Targets[3] == 28);
}

TEST_CASE("minimums that exceed the VMs are scaled down together") {
  CHECK(divideVms(std::vector<PoolNeed>{{20, 50}, {10, 10}}, 15) ==
        std::vector<int>{10, 5});
  CHECK(divideVms(std::vector<PoolNeed>{{3, 5}}, 0) == std::vector<int>{0});
}

TEST_CASE("property: no pool gets more than it wants, and no VM is left over") {
  CHECK(rc::check([] {
    std::vector<PoolNeed> Needs;
    int Wanted = 0;
    for (int Index = *rc::gen::inRange(1, 7); Index > 0; --Index) {
      const int Minimum = *rc::gen::inRange(0, 40);
      Needs.push_back({Minimum, Minimum + *rc::gen::inRange(0, 400)});
      Wanted += Needs.back().Wanted;
    }
    const int Available = *rc::gen::inRange(0, 600);
    const std::vector<int> Targets = divideVms(Needs, Available);
    const int Sum = std::accumulate(Targets.begin(), Targets.end(), 0);
    RC_ASSERT(Sum == std::min(Wanted, Available));
    for (std::size_t Index = 0; Index < Needs.size(); ++Index)
      RC_ASSERT(Targets[Index] >= 0 && Targets[Index] <= Needs[Index].Wanted);
  }));
}
