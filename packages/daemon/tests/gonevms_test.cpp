#include "gonevms.h"

#include <doctest/doctest.h>

using namespace sardinerill;

TEST_CASE("a VM is gone once it was listed and is missing twice in a row") {
  GoneVms Gone;
  const std::vector<DaemonId> Known{DaemonId("a#1"), DaemonId("new#1")};
  const std::vector<VmListEntry> Both{{VmId("a"), VmListState::Live, 1}};
  const Instant Now(seconds(10));
  CHECK(Gone.update(Both, Known, Now).empty());
  CHECK(Gone.update({}, Known, Now).empty());
  // Listed again: the list had lagged.
  CHECK(Gone.update(Both, Known, Now).empty());
  CHECK(Gone.update({}, Known, Now).empty());
  CHECK(Gone.update({}, Known, Now) == std::vector<DaemonId>{DaemonId("a#1")});
  CHECK(Gone.update({}, Known, Now).empty());
  CHECK(Gone.takeSettled(Now + seconds(4), seconds(5)).empty());
  CHECK(Gone.takeSettled(Now + seconds(5), seconds(5)).size() == 1);
  CHECK(Gone.takeSettled(Now + seconds(9), seconds(5)).empty());
  CHECK(Gone.isGone(DaemonId("a#1")));
  CHECK_FALSE(Gone.isGone(DaemonId("new#1")));
  Gone.retry(DaemonId("a#1"), Now);
  CHECK(Gone.takeSettled(Now, seconds(5)).size() == 1);
}
