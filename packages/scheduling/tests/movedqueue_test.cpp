#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

/// \file
/// Inherited jobs of queues that the configuration has moved to another pool.

namespace {

const JobId TestJob("0123456789abcdef");

/// A site whose jobs may be started in other pools than at their acceptance.
struct RecordingSite : TestSite {
  using TestSite::TestSite;

  /// Checks that nothing is started before the pool of the start is stored.
  /// \returns the number of starts after that.
  int startsOnceRecorded() {
    CHECK(this->schedule().empty());
    this->storeAll();
    return int(this->schedule().size());
  }
};

/// A site after a takeover, in which the queue of the pool "pool" has been
/// moved to "other".
struct MovedQueueSite : RecordingSite {
  MovedQueueSite()
      : RecordingSite({.Term = 1, .InheritedRunsUntil = at(5000)}) {
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
  RecordingSite Site({.Term = 1, .InheritedRunsUntil = at(5000)});
  JobSpec Spec = jobOf(TestJob.str(), {stepOf(1, 1000, 500)}, "other");
  Spec.Queue.Pool = PoolId("pool");
  Site.add("u1", 8000, "pool");
  Site.add("u2", 8000, "other");
  SUBCASE("an upstream of the pool at acceptance has not answered") {
    Site.addVm("u3", "pool");
    Site.submit(Spec, true);
    CHECK(Site.schedule().empty());
    Site.NowMs = 5001;
    CHECK(Site.startsOnceRecorded() == 1);
  }
  SUBCASE("an upstream of the present pool has not answered") {
    Site.addVm("u3", "other");
    Site.submit(Spec, true);
    CHECK(Site.schedule().empty());
  }
  SUBCASE("both have answered") {
    Site.submit(Spec, true);
    CHECK(Site.startsOnceRecorded() == 1);
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
  CHECK(Site.startsOnceRecorded() == 1);
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

namespace {

/// Starts a task of a job in a pool to which its queue has been moved.
/// \returns the progress that the next holder loads.
JobProgress progressAfterMove() {
  RecordingSite Site;
  Site.add("u1", 8000, "pool").Unreachable = true;
  Site.add("u2", 8000, "other");
  Site.Configuration.Queues[0].Pool = PoolId("other");
  Site.JobScheduler.configure(Site.Configuration);
  Site.submit(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}));
  CHECK(Site.schedule().empty()); // Not stored yet.
  CHECK(Site.schedule().empty());
  const auto Changes = Site.JobScheduler.takeProgress();
  REQUIRE(Changes.size() == 1);
  CHECK(Site.JobScheduler.progressStored(TestJob, Changes[0].Revision));
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Upstream == UpstreamId("u2"));
  const auto Stored = decodeProgress(Changes[0].Text);
  REQUIRE(Stored.has_value());
  return *Stored;
}

} // namespace

TEST_CASE("the next holder waits for each pool in which a job may have been "
          "started") {
  // Guards against tasks that run twice after a takeover: their queue was moved
  // and moved back, which no configuration shows, or was removed since.
  const JobProgress Stored = progressAfterMove();
  CHECK(Stored.OtherPools == std::set{PoolId("other")});
  TestSite Next({.Term = 2, .InheritedRunsUntil = at(5000)});
  SUBCASE("the queue is back in its first pool") {}
  SUBCASE("the queue was removed") {
    Next.Configuration.Queues.erase(Next.Configuration.Queues.begin());
    Next.JobScheduler.configure(Next.Configuration);
  }
  Next.add("u1", 8000, "pool");
  const auto AddJob = [&](const JobId &Id, const JobProgress &Progress) {
    Next.JobScheduler.addJob(jobOf(Id.str(), {stepOf(1, 1000, 500)}), Progress,
                             true, at(Next.NowMs), at(Next.NowMs));
  };
  AddJob(TestJob, Stored);
  SUBCASE("an upstream of the other pool has not answered") {
    Next.addVm("u2", "other");
    CHECK(Next.schedule().empty());
    // Jobs that ran in their own pool only wait for nothing.
    AddJob(JobId("1123456789abcdef"), {});
    CHECK(Next.schedule().size() == 1);
    Next.NowMs = 5001;
    CHECK(Next.schedule().size() == 1);
  }
  SUBCASE("all upstreams of the other pool have answered") {
    Next.add("u2", 8000, "other");
    CHECK(Next.schedule().size() == 1);
  }
  SUBCASE("the other pool has no VM any more") {
    CHECK(Next.schedule().size() == 1);
  }
}

TEST_CASE("a ceiling includes what a job may have running in a former pool") {
  const JobProgress Stored = progressAfterMove();
  TestSite Next({.Term = 2, .InheritedRunsUntil = at(5000)});
  Next.Configuration.Organisations[0].Ceiling = {1500, 0, 0};
  Next.JobScheduler.configure(Next.Configuration);
  Next.add("u1", 8000, "pool");
  Next.addVm("u2", "other");
  Next.JobScheduler.addJob(jobOf(TestJob.str(), {stepOf(1, 1000, 500)}), Stored,
                           true, at(Next.NowMs), at(Next.NowMs));
  Next.submit(jobOf("1123456789abcdef", {stepOf(1, 1000, 500)}));
  CHECK(Next.schedule().empty());
  Next.NowMs = 5001;
  CHECK(Next.schedule().size() == 1);
}
