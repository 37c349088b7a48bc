#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

/// \file
/// Inherited jobs of queues that the configuration has moved to another pool.

namespace {

const JobId TestJob("0123456789abcdef");

/// A site after a takeover, in which the queue of the pool "pool" has been
/// moved to "other".
struct MovedQueueSite : TestSite {
  MovedQueueSite() : TestSite({.Term = 1, .InheritedRunsUntil = at(5000)}) {
    this->moveTo("other");
  }
  void moveTo(const std::string &Pool) {
    this->Configuration.Queues[0].Pool = PoolId(Pool);
    this->JobScheduler.configure(this->Configuration);
  }
};

} // namespace

TEST_CASE("an inherited task is not started in the new pool of its queue while "
          "the old one may run it") {
  // Only the stored job tells that the queue was moved.
  TestSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  JobSpec Spec = jobOf(TestJob.str(), {stepOf(1, 1000, 500)}, "other");
  Spec.Queue.Pool = PoolId("pool");
  Site.add("u1", 8000, "pool");
  Site.add("u2", 8000, "other");
  SUBCASE("an upstream of the pool at acceptance has not answered") {
    Site.addVm("u3", "pool");
    Site.submit(Spec, true);
    CHECK(Site.schedule().empty());
    Site.NowMs = 5001;
    CHECK(Site.schedule().size() == 1);
  }
  SUBCASE("an upstream of the present pool has not answered") {
    Site.addVm("u3", "other");
    Site.submit(Spec, true);
    CHECK(Site.schedule().empty());
  }
  SUBCASE("both have answered") {
    Site.submit(Spec, true);
    CHECK(Site.schedule().size() == 1);
  }
}

TEST_CASE("a pool that the queue had between acceptance and now counts too") {
  // It is not known here; only that the queue has been moved at all.
  MovedQueueSite Site;
  Site.add("u1", 8000, "pool");
  Site.add("u2", 8000, "other");
  Site.add("u3", 8000, "between");
  Site.addVm("u4", "between");
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
  CHECK(Site.schedule().empty());
  Site.submit(jobOf("ffffffffffffffff", {stepOf(1, 1000, 500)}, "other"), true);
  CHECK(Site.schedule().size() == 1); // Its queue was not moved.
}

TEST_CASE("a queue that is moved there and back counts as moved") {
  MovedQueueSite Site;
  Site.add("u1", 8000, "pool");
  Site.add("u2", 8000, "other");
  Site.addVm("u3", "other");
  Site.moveTo("pool");
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
  CHECK(Site.schedule().empty());
}

TEST_CASE("a former pool without any VM is not waited for") {
  MovedQueueSite Site;
  Site.add("u2", 8000, "other");
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), true);
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("a ceiling includes what may run in the former pool of a queue") {
  MovedQueueSite Site;
  Site.Configuration.Organisations[0].Ceiling = {10000, 0, 0};
  Site.JobScheduler.configure(Site.Configuration);
  Site.add("u1", 8000, "pool");
  Site.add("u2", 8000, "other");
  Site.addVm("u3", "pool"); // 8 cores
  Site.submit(jobOf(TestJob.str(), {stepOf(50, 1000, 500)}), true);
  Site.submit(jobOf("ffffffffffffffff", {stepOf(8, 1000, 500)}, "other"));
  CHECK(Site.schedule().size() == 2);
}
