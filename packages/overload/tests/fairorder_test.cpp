#include "sardinerill/overload/fairorder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace sardinerill;
using namespace sardinerill::overload;

namespace {

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

/// \returns the order of \p Works if each one adds \p UsePerWork to its lane.
std::vector<std::size_t> orderOf(const std::vector<FairWork> &Works,
                                 std::vector<double> Uses, double UsePerWork) {
  FairOrder Order(Works, Uses);
  std::vector<std::size_t> Result;
  while (const auto Index = Order.next()) {
    Result.push_back(*Index);
    Order.setUse(Uses[Works[*Index].Lane] += UsePerWork);
  }
  return Result;
}

using Indices = std::vector<std::size_t>;

} // namespace

TEST_CASE("the classes of work precede the comparison of use") {
  // Guards against an organisation without use that serves its late, excess or
  // worthless work before work of others that earns its full value, and against
  // half-finished jobs that wait for new ones.
  const std::vector<FairWork> Works{
      {.Lane = 0, .Priority = 1},
      {.Lane = 0, .Worthless = true, .CanMeetObjective = false},
      {.Lane = 0, .OverRate = true},
      {.Lane = 0, .CanMeetObjective = false},
      {.Lane = 0},
      {.Lane = 1, .Started = true},
      {.Lane = 1, .Priority = -1}};
  CHECK(orderOf(Works, {0.0, 5.0}, 0.0) == Indices{6, 5, 4, 3, 2, 1, 0});
}

TEST_CASE("the use that a placement adds counts at once") {
  // Guards against a static order, in which the organisation with the least use
  // at the start of a round gets all that is free in this round.
  std::vector<FairWork> Works;
  for (int Count = 0; Count < 3; ++Count)
    for (const std::size_t Lane : {0, 1})
      Works.push_back({.Lane = Lane, .RemainingCpuSeconds = Lane ? 9.0 : 1.0});
  // Lane 0 has used one job more.
  CHECK(orderOf(Works, {1.0, 0.0}, 1.0) == Indices{1, 0, 3, 2, 5, 4});
  // Without any use, the larger jobs of lane 1 follow those of lane 0.
  CHECK(orderOf(Works, {0.0, 0.0}, 0.0) == Indices{0, 2, 4, 1, 3, 5});
}

TEST_CASE("at similar use the order is by remaining time, or by acceptance") {
  // Guards against an order in which small differences of use decide, so that
  // large jobs precede many small ones.
  const std::vector<FairWork> Timely{
      {.Lane = 0, .RemainingCpuSeconds = 3},
      {.Lane = 1, .RemainingCpuSeconds = 2, .Objective = at(9)},
      {.Lane = 1, .RemainingCpuSeconds = 2, .Objective = at(8)},
      {.Lane = 0, .Preferred = true, .RemainingCpuSeconds = 7}};
  CHECK(orderOf(Timely, {0.6, 0.9}, 0.0) == Indices{3, 2, 1, 0});
  const std::vector<FairWork> Late{{.Lane = 0,
                                    .CanMeetObjective = false,
                                    .RemainingCpuSeconds = 1,
                                    .AcceptedAt = at(2)},
                                   {.Lane = 1,
                                    .CanMeetObjective = false,
                                    .RemainingCpuSeconds = 2,
                                    .AcceptedAt = at(1)}};
  CHECK(orderOf(Late, {0.0, 0.0}, 0.0) == Indices{1, 0});
}

TEST_CASE("use is relative to the weight of an organisation") {
  // Guards against equal parts for organisations with different weights.
  CHECK(relativeUse({.Weight = 1, .DominantUse = 0.25}, 4) == 1.0);
  CHECK(relativeUse({.Weight = 2, .DominantUse = 0.25}, 4) == 0.5);
  CHECK(relativeUse({.Weight = 0, .DominantUse = 0.25}, 4) > 1000);
  CHECK(relativeUse({.Weight = 0, .DominantUse = 0}, 0) == 0);
}

TEST_CASE("each work is returned once, whatever the use") {
  // Guards against lanes that are lost when they leave and enter the heap.
  CHECK(rc::check([] {
    const auto Count = *rc::gen::inRange<std::size_t>(0, 60);
    std::vector<FairWork> Works;
    for (std::size_t Index = 0; Index < Count; ++Index)
      Works.push_back({.Lane = *rc::gen::inRange<std::size_t>(0, 4),
                       .Priority = *rc::gen::inRange(0, 2),
                       .OverRate = *rc::gen::arbitrary<bool>(),
                       .Started = *rc::gen::arbitrary<bool>(),
                       .RemainingCpuSeconds = double(*rc::gen::inRange(0, 9))});
    const Indices Order =
        orderOf(Works, {0.0, 0.3, 2.0, 1e300}, double(*rc::gen::inRange(0, 3)));
    RC_ASSERT(Order.size() == Count);
    RC_ASSERT(std::set(Order.begin(), Order.end()).size() == Count);
    RC_ASSERT(std::ranges::is_sorted(Order, {}, [&](std::size_t Index) {
      return std::tuple(Works[Index].Priority, Works[Index].OverRate,
                        !Works[Index].Started);
    }));
  }));
}
