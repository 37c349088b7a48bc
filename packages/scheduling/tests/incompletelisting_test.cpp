#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

TEST_CASE("a run that ended beyond the limit of a listing has not vanished") {
  // After an outage of the table more runs have ended than one listing names.
  // A run that ended last was taken for vanished, and a task that was done ran
  // again.
  constexpr int MaxEnds = 500;
  TestSite Site;
  FakeUpstream &Upstream = Site.add("u1", 1000 * (MaxEnds + 1));
  Site.TaskDurationMs = 100;
  const std::string Id = "0123456789abcdef";
  Site.submit(jobOf(Id, {stepOf(MaxEnds + 1, 1000, 500)}));
  REQUIRE(int(Site.schedule().size()) == MaxEnds + 1);
  Site.NowMs += 10;
  for (const auto &[Run, State] : std::map(Upstream.Running))
    Upstream.end(Run, RunEnd::Done);
  RunListing Listing = Upstream.listing(Site.NowMs);
  const EndedRun Last = Listing.Ended.back();
  Listing.Ended.pop_back();
  Site.JobScheduler.applyListing(Upstream.Report.Id, Listing, at(Site.NowMs),
                                 at(Site.NowMs));
  CHECK(Site.schedule().empty());
  Listing.Ended = {Last};
  Site.NowMs += 10;
  Site.JobScheduler.applyListing(Upstream.Report.Id, Listing, at(Site.NowMs),
                                 at(Site.NowMs));
  CHECK(Site.schedule().empty());
  Site.storeAll();
  CHECK((Site.JobScheduler.stateOf(JobId(Id)) == JobState::Completed));
}
