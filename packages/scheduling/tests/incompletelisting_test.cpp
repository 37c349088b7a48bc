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

namespace {

constexpr std::size_t MostEnds = 500;

/// A site after a takeover. An upstream has more ended runs than one listing
/// names, all of one inherited job, and lists the next part once the holder has
/// acknowledged one.
struct ManyEndsSite : TestSite {
  static constexpr int TaskCount = int(2 * MostEnds) + 1;

  ManyEndsSite() : TestSite({.Term = 1, .InheritedRunsUntil = at(5000)}) {
    this->submit(jobOf(this->Id, {stepOf(TaskCount, 1000, 500)}), true);
    this->Upstream = &this->Upstreams["u1"];
    this->Upstream->Report = {
        .Id = UpstreamId("u1"),
        .Pool = PoolId("pool"),
        .IncarnationStartMs = 1,
        .Capacity = {std::int64_t(1000) * TaskCount, 1000000, 0}};
    this->JobScheduler.updateUpstream(this->Upstream->Report, at(this->NowMs));
    this->addVm("u1");
    for (int Index = 0; Index < TaskCount; ++Index)
      this->Left.push_back(
          {Index + 1, {{JobId(this->Id), 0, 0, Index}, 1}, RunEnd::Done, ""});
  }

  /// The upstream answers a poll that acknowledges what is stored.
  void answer() {
    const std::int64_t Acked =
        this->JobScheduler.acknowledgedSequence(this->Upstream->Report.Id);
    std::erase_if(this->Left,
                  [&](const EndedRun &Each) { return Each.Sequence <= Acked; });
    this->Upstream->Ended.assign(
        this->Left.begin(),
        this->Left.begin() +
            std::ptrdiff_t(std::min(MostEnds, this->Left.size())));
    this->poll(*this->Upstream);
  }

  const std::string Id = "0123456789abcdef";
  FakeUpstream *Upstream = nullptr;
  std::vector<EndedRun> Left; ///< Not acknowledged yet.
};

} // namespace

TEST_CASE("an inherited task is not started while its end may be beyond the "
          "limit of a listing") {
  // Guards against tasks that run twice after a takeover: the first listing of
  // an upstream with more ends than it can name was taken for all of them.
  for (const std::int64_t NowMs : {1000, 6000}) {
    CAPTURE(NowMs); // Also once leases of earlier holders have expired.
    ManyEndsSite Site;
    Site.NowMs = NowMs;
    while (!Site.Left.empty()) {
      const std::size_t Before = Site.Left.size();
      Site.answer();
      CHECK(Site.schedule().empty());
      Site.storeAll();
      if (Before <= MostEnds)
        break;
    }
    CHECK((Site.JobScheduler.stateOf(JobId(Site.Id)) == JobState::Completed));
  }
}

TEST_CASE("a task that is not among the ends is started once all are listed") {
  // Guards against a pool that waits for good after a long listing.
  ManyEndsSite Site;
  Site.Left.pop_back(); // The last task has not run.
  int Started = 0;
  for (int Poll = 0; Poll < 4; ++Poll) {
    Site.answer();
    Started += int(Site.schedule().size());
    Site.storeAll();
  }
  CHECK(Started == 1);
}
