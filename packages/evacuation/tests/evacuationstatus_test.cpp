#include "sardinerill/evacuation/evacuationstatus.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

const ZoneId Zone1("z1");

std::vector<ZoneEvacuation> requested(std::int64_t Version) {
  return {{.Zone = Zone1,
           .Requested = true,
           .RequestVersion = Version,
           .KnownAt = Version}};
}

/// Confirms the writes that are missing. \returns them.
std::vector<EvacuationStatusWrite>
writeMissing(EvacuationStatus &Status, const std::vector<ZoneEvacuation> &Known,
             const std::set<ZoneId> &Idle) {
  const auto Writes = Status.missingWrites(Known, Idle);
  for (const EvacuationStatusWrite &Each : Writes)
    Status.recordWrite(Each, true);
  return Writes;
}

} // namespace

TEST_CASE("a status goes from running to completed and is removed") {
  // Operators wait for "completed" before they touch the zone.
  EvacuationStatus Status;
  CHECK(Status.missingWrites(requested(5), {}).empty()); // Not listed yet.
  Status.setPublished({});
  auto Writes = writeMissing(Status, requested(5), {Zone1});
  REQUIRE(Writes.size() == 1);
  CHECK((Writes[0].State == EvacuationState::Running));
  CHECK(writeMissing(Status, requested(5), {}).empty());
  Writes = writeMissing(Status, requested(5), {Zone1});
  REQUIRE(Writes.size() == 1);
  CHECK((Writes[0].State == EvacuationState::Completed));
  // A start that was sent before the request is carried out late.
  Writes = writeMissing(Status, requested(5), {});
  REQUIRE(Writes.size() == 1);
  CHECK((Writes[0].State == EvacuationState::Running));
  Writes = writeMissing(Status, {}, {});
  REQUIRE(Writes.size() == 1);
  CHECK_FALSE(Writes[0].State.has_value());
  CHECK(writeMissing(Status, {}, {}).empty());
}

TEST_CASE("a request made again is not shown as completed by the old status") {
  EvacuationStatus Status;
  Status.setPublished({});
  writeMissing(Status, requested(5), {});
  writeMissing(Status, requested(5), {Zone1});
  const auto Writes = writeMissing(Status, requested(9), {Zone1});
  REQUIRE(Writes.size() == 1);
  CHECK((Writes[0].State == EvacuationState::Running));
}

TEST_CASE("a new holder corrects the rows of earlier holders") {
  // Its predecessor was killed after the withdrawal, and the row stayed.
  EvacuationStatus Status;
  Status.setPublished({{Zone1, EvacuationState::Completed}});
  const auto Writes = Status.missingWrites({}, {});
  REQUIRE(Writes.size() == 1);
  CHECK(Writes[0].Zone == Zone1);
  CHECK_FALSE(Writes[0].State.has_value());
  // A completed evacuation that goes on is not shown as running in between.
  CHECK(Status.missingWrites(requested(5), {Zone1}).empty());
}

TEST_CASE("after a write with an unknown outcome the rows are listed again") {
  // It may be carried out later than the next write.
  EvacuationStatus Status;
  Status.setPublished({});
  const auto Writes = Status.missingWrites(requested(5), {});
  REQUIRE(Writes.size() == 1);
  Status.recordWrite(Writes[0], false);
  CHECK(Status.needsList());
  CHECK(Status.missingWrites(requested(5), {}).empty());
  Status.setPublished({{Zone1, EvacuationState::Running}});
  CHECK(Status.missingWrites(requested(5), {}).empty());
}
