#include "testsite.h"

#include <doctest/doctest.h>

using namespace sardinerill;
using namespace sardinerill::site;
using namespace sardinerill::site::testing;

/// \file
/// Calls to the placement advisor, which answers them one after the other.

namespace {

std::string jobId(int Number) {
  std::string Digits = std::to_string(Number);
  return std::string(16 - Digits.size(), '0') + Digits;
}

/// A site whose queue needs tickets.
struct AdvisedSite : TestSite {
  AdvisedSite() {
    this->Configuration.Queues.front().NeedsAdvice = true;
    this->JobScheduler.configure(this->Configuration);
  }

  /// \returns the calls to the advisor that a round starts.
  std::vector<AdviceRequest> ask() {
    std::vector<AdviceRequest> Requests;
    this->JobScheduler.schedule(at(this->NowMs), this->NowMs);
    for (const Command &Each : this->JobScheduler.takeCommands())
      if (const auto *Request = std::get_if<AdviceRequest>(&Each))
        Requests.push_back(*Request);
    return Requests;
  }
  void answer(const AdviceRequest &Request,
              const std::map<UpstreamId, std::string> &Tickets) {
    this->JobScheduler.handleAdvice(Request, Tickets, seconds(3),
                                    at(this->NowMs));
  }
};

/// An advisor that works on one call after the other, also on those that were
/// given up meanwhile.
struct SerialAdvisor {
  AdvisedSite &Site;
  std::int64_t WorkMs; ///< For each call.
  struct Received {
    AdviceRequest Request;
    std::int64_t EndsMs, LimitMs;
    bool GivenUp = false;
  };
  std::vector<Received> Calls;
  std::int64_t IdleAtMs = 0;
  int Answers = 0;

  /// Advances the clock by 10 ms, ends calls and takes in new ones.
  void step() {
    this->Site.NowMs += 10;
    const std::int64_t Now = this->Site.NowMs;
    for (Received &Each : this->Calls) {
      if (!Each.GivenUp && Each.EndsMs <= Now) {
        ++this->Answers;
        this->Site.answer(Each.Request, {{UpstreamId("u1"), "ticket"}});
      } else if (!Each.GivenUp && Each.LimitMs <= Now) {
        Each.GivenUp = true;
        this->Site.JobScheduler.handleAdviceFailure(
            Each.Request, AdviceFailure::TimedOut, at(Now));
      }
    }
    std::erase_if(this->Calls,
                  [Now](const Received &Each) { return Each.EndsMs <= Now; });
    for (const AdviceRequest &New : this->Site.ask()) {
      this->IdleAtMs = std::max(this->IdleAtMs, Now) + this->WorkMs;
      this->Calls.push_back(
          {New, this->IdleAtMs,
           Now +
               std::chrono::duration_cast<milliseconds>(New.Timeout).count()});
      ++this->Sent;
    }
  }
  int Sent = 0;
};

} // namespace

TEST_CASE("calls for advice are sent no faster than the advisor answers") {
  // Guards against a queue that stops for good after a burst: more calls
  // waited at the advisor than it can answer within their time limit, and each
  // that was given up was sent again at once.
  AdvisedSite Site;
  Site.add("u1", 100000);
  constexpr int Jobs = 100;
  for (int Number = 0; Number < Jobs; ++Number)
    Site.submit(jobOf(jobId(Number), {stepOf(1, 1000, 500)}));
  std::vector<AdviceRequest> UnderWay = Site.ask();
  CHECK(UnderWay.size() == 2);
  CHECK(Site.ask().empty());
  std::set<JobId> Asked;
  while (!UnderWay.empty()) {
    const AdviceRequest Answered = UnderWay.front();
    UnderWay.erase(UnderWay.begin());
    CHECK(Asked.insert(Answered.Job).second);
    Site.answer(Answered, {{UpstreamId("u1"), "ticket"}});
    for (const AdviceRequest &Next : Site.ask())
      UnderWay.push_back(Next);
    REQUIRE(UnderWay.size() <= 2);
  }
  CHECK(Asked.size() == Jobs);
}

TEST_CASE("the advisor is asked again after a pause, and given more time") {
  // Guards against an advisor that is never heard, because it takes longer
  // than the time limit, and against calls that are repeated without a pause.
  AdvisedSite Site;
  Site.add("u1", 100000);
  Site.submit(jobOf(jobId(1), {stepOf(1, 1000, 500)}));
  Duration Timeout{};
  for (int Attempt = 0; Attempt < 4; ++Attempt) {
    const std::vector<AdviceRequest> Requests = Site.ask();
    REQUIRE(Requests.size() == 1);
    CHECK((Attempt < 3 ? Requests[0].Timeout > Timeout
                       : Requests[0].Timeout >= Timeout));
    Timeout = Requests[0].Timeout;
    Site.NowMs += std::chrono::duration_cast<milliseconds>(Timeout).count();
    Site.JobScheduler.handleAdviceFailure(Requests[0], AdviceFailure::TimedOut,
                                          at(Site.NowMs));
    CHECK(Site.ask().empty());
    Site.NowMs += 800;
  }
  CHECK(Timeout >= seconds(20));
  Site.answer(Site.ask().at(0), {{UpstreamId("u1"), "ticket"}});
  Site.submit(jobOf(jobId(2), {stepOf(1, 1000, 500)}));
  CHECK(Site.ask().at(0).Timeout == milliseconds(2500));
}

TEST_CASE("an advisor that answers after the usual limit is heard each time") {
  // Guards against calls that are given up shortly before their answer again
  // and again, while the advisor works on them: with answers after 3 s, 18
  // calls were worked on for 7 jobs, and one job never started.
  constexpr int Jobs = 7;
  for (const std::int64_t WorkMs : {2600, 3000, 5100, 9000})
    for (const bool Stated : {true, false}) {
      CAPTURE(WorkMs);
      CAPTURE(Stated);
      AdvisedSite Site;
      if (Stated) {
        // The step names one upstream.
        Site.Configuration.Queues.front().Advisor = {
            .PerCall = milliseconds(WorkMs - 10),
            .PerUpstream = milliseconds(10)};
        Site.JobScheduler.configure(Site.Configuration);
      }
      Site.add("u1", 100000);
      SerialAdvisor Advisor{.Site = Site, .WorkMs = WorkMs};
      for (int Number = 0; Number < Jobs; ++Number)
        Site.submit(jobOf(jobId(Number), {stepOf(1, 1000, 500)}));
      // At most the calls of the first two limits are wasted.
      const int MostSent = Stated ? Jobs : Jobs + 6;
      for (std::int64_t Until = Site.NowMs + MostSent * WorkMs + 1000;
           Site.NowMs < Until;)
        Advisor.step();
      CHECK(Advisor.Answers == Jobs);
      CHECK(Advisor.Sent <= MostSent);
    }
}

TEST_CASE("a slow answer is expected again") {
  // Guards against a time limit that an answer sets back, so that the next
  // calls are given up again.
  AdvisedSite Site;
  Site.add("u1", 100000);
  Site.submit(jobOf(jobId(1), {stepOf(1, 1000, 500)}));
  const AdviceRequest First = Site.ask().at(0);
  Site.JobScheduler.handleAdviceFailure(First, AdviceFailure::TimedOut,
                                        at(Site.NowMs += 2500));
  Site.NowMs += 100;
  const AdviceRequest Second = Site.ask().at(0);
  Site.NowMs += 3000;
  Site.answer(Second, {{UpstreamId("u1"), "ticket"}});
  Site.submit(jobOf(jobId(2), {stepOf(1, 1000, 500)}));
  CHECK(Site.ask().at(0).Timeout >= milliseconds(5500));
}

TEST_CASE("tickets without a stated validity get that of the configuration") {
  // Guards against tickets that count as expired at once.
  AdvisedSite Site;
  Site.Configuration.Queues.front().Advisor.TicketValidity = seconds(3);
  Site.JobScheduler.configure(Site.Configuration);
  Site.add("u1", 100000);
  Site.submit(jobOf(jobId(1), {stepOf(1, 1000, 500)}));
  Site.JobScheduler.handleAdvice(Site.ask().at(0),
                                 {{UpstreamId("u1"), "ticket"}}, Duration{},
                                 at(Site.NowMs));
  CHECK(Site.schedule().size() == 1);
}

TEST_CASE("a call for advice counts as answered also if its job has ended") {
  // Guards against calls that count as under way for good.
  AdvisedSite Site;
  Site.add("u1", 100000);
  for (int Number = 0; Number < 4; ++Number)
    Site.submit(jobOf(jobId(Number), {stepOf(1, 1000, 500)}));
  const std::vector<AdviceRequest> Requests = Site.ask();
  REQUIRE(Requests.size() == 2);
  for (const AdviceRequest &Each : Requests)
    Site.JobScheduler.cancelJob(Each.Job, at(Site.NowMs));
  Site.JobScheduler.handleAdviceFailure(Requests[0], AdviceFailure::TimedOut,
                                        at(Site.NowMs));
  Site.answer(Requests[1], {});
  Site.NowMs += 100;
  CHECK(Site.ask().size() == 2);
}

TEST_CASE("the advisor is asked for each upstream of a pool") {
  // Guards against a step that never starts: only the first 30 upstreams of
  // the pool were named, in every call, and none of them may run it.
  AdvisedSite Site;
  for (int Index = 0; Index < 64; ++Index)
    Site.add("u" + std::to_string(Index), 8000);
  Site.submit(jobOf(jobId(1), {stepOf(1, 1000, 500)}));
  std::set<UpstreamId> Named;
  for (std::size_t Expected : {30, 30, 4}) {
    const std::vector<AdviceRequest> Requests = Site.ask();
    REQUIRE(Requests.size() == 1);
    CHECK(Requests[0].Candidates.size() == Expected);
    for (const UpstreamId &Id : Requests[0].Candidates)
      CHECK(Named.insert(Id).second);
    Site.answer(Requests[0], {});
  }
  CHECK(Site.ask().empty()); // The answers don't change.
  Site.add("v", 8000);
  const std::vector<AdviceRequest> Requests = Site.ask();
  REQUIRE(Requests.size() == 1);
  CHECK(Requests[0].Candidates == std::vector{UpstreamId("v")});
  Site.answer(Requests[0], {{UpstreamId("v"), "ticket"}});
  const std::vector<StartCommand> Starts = Site.schedule();
  REQUIRE(Starts.size() == 1);
  CHECK(Starts[0].Upstream == UpstreamId("v"));
}

TEST_CASE("upstreams that were admitted are asked for again after the others") {
  // Guards against tickets that are renewed for the same upstreams while the
  // rest of the pool is never asked for.
  AdvisedSite Site;
  for (int Index = 0; Index < 40; ++Index)
    Site.add("u" + std::to_string(10 + Index), 8000);
  Site.submit(jobOf(jobId(1), {stepOf(1, 9000, 500)})); // Fits nowhere.
  const std::vector<AdviceRequest> First = Site.ask();
  REQUIRE(First.size() == 1);
  const UpstreamId Admitted = First[0].Candidates.front();
  Site.answer(First[0], {{Admitted, "ticket"}});
  CHECK(Site.ask().empty());
  Site.NowMs += 3000;
  const std::vector<AdviceRequest> Second = Site.ask();
  REQUIRE(Second.size() == 1);
  CHECK(Second[0].Candidates.size() == 11);
  CHECK(Second[0].Candidates.back() == Admitted);
}
