#include "removedvmtracker.h"

#include <doctest/doctest.h>

using namespace sardinerill;

// The platform's VM list can lag. A VM missing from a single list must not
// count as removed, or the units of a daemon that still runs are reclaimed.
TEST_CASE("a VM counts as removed if it was listed before and is then missing "
          "from two consecutive lists, and is reclaimable after the delay") {
  RemovedVmTracker Tracker;
  // "new" is never listed, so it never counts as removed.
  const std::vector<DaemonId> Known{DaemonId("a#1"), DaemonId("new#1")};
  const std::vector<VmListEntry> ListWithA{{VmId("a"), VmListState::Live, 1}};
  const Instant Now(seconds(10));
  CHECK(Tracker.update(ListWithA, Known, Now).empty());
  CHECK(Tracker.update({}, Known, Now).empty());
  // The VM is listed again: the previous list was outdated.
  CHECK(Tracker.update(ListWithA, Known, Now).empty());
  CHECK(Tracker.update({}, Known, Now).empty());
  CHECK(Tracker.update({}, Known, Now) ==
        std::vector<DaemonId>{DaemonId("a#1")});
  CHECK(Tracker.update({}, Known, Now).empty());
  CHECK(Tracker.takeReclaimable(Now + seconds(4), seconds(5)).empty());
  CHECK(Tracker.takeReclaimable(Now + seconds(5), seconds(5)).size() == 1);
  CHECK(Tracker.takeReclaimable(Now + seconds(9), seconds(5)).empty());
  CHECK(Tracker.isRemoved(DaemonId("a#1")));
  CHECK_FALSE(Tracker.isRemoved(DaemonId("new#1")));
  Tracker.requeue(DaemonId("a#1"), Now);
  CHECK(Tracker.takeReclaimable(Now, seconds(5)).size() == 1);
}

// Gossip of a peer that lags can add a removed member again.
TEST_CASE("a removed daemon that peers report again is removed again but not "
          "reclaimed twice") {
  RemovedVmTracker Tracker;
  const std::vector<DaemonId> Known{DaemonId("a#1")};
  const Instant Now(seconds(10));
  (void)Tracker.update({{VmId("a"), VmListState::Live, 1}}, Known, Now);
  (void)Tracker.update({}, Known, Now);
  REQUIRE(Tracker.update({}, Known, Now) == Known);
  REQUIRE(Tracker.takeReclaimable(Now + seconds(5), seconds(5)) == Known);
  CHECK(Tracker.update({}, Known, Now + seconds(6)) == Known);
  CHECK(Tracker.takeReclaimable(Now + seconds(60), seconds(5)).empty());
  CHECK(Tracker.isRemoved(DaemonId("a#1")));
}
