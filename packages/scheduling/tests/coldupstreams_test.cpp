#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

namespace {

constexpr std::int64_t Cpu = 4000;

} // namespace

TEST_CASE("a cold upstream is used only if no warm one has room") {
  TestSite Site;
  FakeUpstream &Cold = Site.add("a", Cpu);
  Cold.Report.ColdRemaining = milliseconds(3000);
  Site.JobScheduler.updateUpstream(Cold.Report, at(Site.NowMs));
  Site.add("b", Cpu);
  Site.submit(jobOf("j1", {stepOf(5, 1000, 500)}));
  const auto Starts = Site.schedule();
  REQUIRE(Starts.size() == 5);
  CHECK(Site.Upstreams.at("b").Running.size() == 4);
  CHECK(Cold.Running.size() == 1);
}

TEST_CASE("an entry that is read again does not keep its upstream cold") {
  TestSite Site;
  FakeUpstream &Warming = Site.add("a", Cpu);
  Warming.Report.ColdRemaining = milliseconds(1000);
  Site.JobScheduler.updateUpstream(Warming.Report, at(Site.NowMs));
  FakeUpstream &Other = Site.add("b", Cpu);
  Other.Report.ColdRemaining = milliseconds(5000);
  Site.JobScheduler.updateUpstream(Other.Report, at(Site.NowMs));
  Site.advance(900);
  Site.JobScheduler.updateUpstream(Warming.Report, at(Site.NowMs));
  Site.advance(200);
  Site.submit(jobOf("j1", {stepOf(4, 1000, 500)}));
  REQUIRE(Site.schedule().size() == 4);
  CHECK(Warming.Running.size() == 4);
}
