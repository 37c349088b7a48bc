#include "sardinerill/ownership/ownership.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace sardinerill;
using namespace sardinerill::site;

namespace {

Instant at(std::int64_t Millis) { return Instant(milliseconds(Millis)); }

const OwnershipRow Row{.Holder = "a", .Incarnation = "1", .Term = 3};

/// The row that a daemon stores with a claim or renewal sent at \p NowMs.
OwnershipRow rowOf(const std::string &Incarnation, Instant EarlierCommandsUntil,
                   int NowMs) {
  return {.Holder = "daemon-" + Incarnation,
          .Incarnation = Incarnation,
          .EarlierCommandsFor = std::max<Duration>(
              EarlierCommandsUntil - at(NowMs), Duration::zero())};
}

} // namespace

TEST_CASE("an ownership row is unchanged by encoding and decoding") {
  const auto Read = decodeOwnership(encodeOwnership(Row));
  REQUIRE(Read.has_value());
  CHECK(*Read == Row);
  CHECK_FALSE(decodeOwnership("{}").has_value());
  CHECK_FALSE(decodeOwnership("\xff").has_value());
}

TEST_CASE("the row may be claimed only after successful reads show no renewal "
          "for the holder timeout") {
  OwnershipObserver Observer{OwnershipTimings{}};
  CHECK_FALSE(Observer.mayClaim()); // No read has completed yet.
  for (int Time = 0; Time <= 1500; Time += 500)
    Observer.observe(7, Row, at(Time), at(Time + 5));
  CHECK_FALSE(Observer.mayClaim());
  for (int Time = 2000; Time <= 2500; Time += 500)
    Observer.observe(7, Row, at(Time), at(Time + 5));
  CHECK(Observer.mayClaim());
  CHECK(Observer.predecessorState() == PredecessorState::MayBeActive);
}

TEST_CASE("a table outage does not count towards the holder timeout") {
  OwnershipObserver Observer{OwnershipTimings{}};
  Observer.observe(7, Row, at(0), at(5));
  Observer.observe(7, Row, at(6000),
                   at(6005)); // No successful reads in between.
  CHECK_FALSE(Observer.mayClaim());
}

TEST_CASE("a refused connection shortens the holder timeout but does not prove "
          "that the holder has stopped") {
  // A network partition of the availability zone can reset connections to a
  // holder that is still alive.
  OwnershipObserver Observer{OwnershipTimings{}};
  Observer.observe(7, Row, at(0), at(5));
  Observer.recordContact(HolderContact::Refuses);
  CHECK_FALSE(Observer.mayClaim());
  Observer.observe(7, Row, at(700), at(705));
  CHECK_FALSE(Observer.mayClaim());
  Observer.observe(7, Row, at(1600), at(1605));
  CHECK(Observer.mayClaim());
  CHECK(Observer.predecessorState() == PredecessorState::MayBeActive);
}

TEST_CASE("the row may be claimed at once if another process replaced the "
          "holder or the holder released it") {
  OwnershipObserver Observer{OwnershipTimings{}};
  Observer.observe(7, Row, at(0), at(5));
  Observer.markHolderGone("1");
  CHECK(Observer.mayClaim());
  CHECK(Observer.predecessorState() == PredecessorState::None);
  OwnershipRow Next = Row;
  Next.Incarnation = "2";
  Observer.observe(8, Next, at(10), at(15));
  CHECK_FALSE(Observer.mayClaim());
  Next.Released = true;
  Observer.observe(9, Next, at(20), at(25));
  CHECK(Observer.mayClaim());
}

TEST_CASE("the row of a holder that hands over may be claimed at once, but the "
          "holder may still send commands") {
  OwnershipObserver Observer{OwnershipTimings{}};
  OwnershipRow Leaving = Row;
  Leaving.Leaving = true;
  Observer.observe(7, Leaving, at(0), at(5));
  CHECK(Observer.mayClaim());
  CHECK(Observer.predecessorState() == PredecessorState::MayBeActive);
}

TEST_CASE("a holder that hands over accepts no new jobs but may still send "
          "commands") {
  // The next holder may claim as soon as the handover starts, and assumes that
  // jobs stored after that have not been started.
  OwnershipLease Lease(OwnershipTimings{}, 1, at(0));
  CHECK(Lease.mayAdmitJobs(at(100)));
  Lease.beginHandover();
  CHECK_FALSE(Lease.mayAdmitJobs(at(100)));
  CHECK(Lease.maySendCommands(at(100)));
}

TEST_CASE("the version after which the holder accepts no jobs is derived from "
          "the reads") {
  // If the table is down and the holder's zone is then partitioned, jobs stored
  // in between would wait for the end of the partition unless the next holder
  // knew that the holder had stopped accepting jobs.
  OwnershipObserver Observer{OwnershipTimings{}};
  Observer.observe(7, Row, at(0), at(5), 100);
  CHECK(Observer.lastInheritedVersion() == 0);
  Observer.observe(7, Row, at(1000), at(1005), 110);
  CHECK(Observer.lastInheritedVersion() == 0);
  Observer.observe(7, Row, at(4000), at(4005), 120); // After a table outage.
  CHECK(Observer.lastInheritedVersion() == 120);
  CHECK(Observer.predecessorLeaseEnd() == at(3605));
  Observer.observe(7, Row, at(4500), at(4505), 130);
  CHECK(Observer.lastInheritedVersion() == 120);
  Observer.observe(8, Row, at(4600), at(4605), 140); // The holder renewed.
  CHECK(Observer.lastInheritedVersion() == 0);
  OwnershipRow Leaving = Row;
  Leaving.Leaving = true;
  Observer.observe(9, Leaving, at(4700), at(4705), 150);
  CHECK(Observer.lastInheritedVersion() == 150);
}

TEST_CASE("an old read of the table does not tell which jobs the holder has "
          "accepted") {
  // Reads may be seconds old after the table has lost its history. Jobs that
  // the holder had started counted as never started, and ran twice.
  OwnershipObserver Observer{OwnershipTimings{}};
  Observer.observe(7, Row, at(0), at(5), 100);
  SUBCASE("older than an earlier read of the row") {
    Observer.observe(7, Row, at(500), at(505), 130);
    Observer.observe(7, Row, at(1500), at(1505), 110);
    CHECK(Observer.lastInheritedVersion() == 0);
    Observer.observe(7, Row, at(2000), at(2005), 140);
    CHECK(Observer.lastInheritedVersion() == 140);
  }
  SUBCASE("older than what the daemon has seen elsewhere") {
    Observer.observe(7, Row, at(1500), at(1505), 110, 120);
    CHECK(Observer.lastInheritedVersion() == 0);
    Observer.observe(7, Row, at(2000), at(2005), 120, 120);
    CHECK(Observer.lastInheritedVersion() == 120);
  }
}

TEST_CASE("property: the holder accepts no job stored after the observed end "
          "of acceptance") {
  CHECK(rc::check([] {
    const OwnershipTimings Timings;
    OwnershipObserver Observer(Timings);
    OwnershipLease Lease(Timings, 1, at(0));
    std::int64_t RowVersion = 1;
    std::int64_t Newest = 1;
    std::int64_t LastAccepted = 0;
    const auto Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    std::int64_t NowMs = 0;
    // Each step is a delay in milliseconds. Its remainder modulo 4 selects the
    // event, and modulo 8 whether the reply to a renewal arrives.
    for (const int Step : Steps) {
      NowMs += Step;
      if (Step % 4 == 0) { // A renewal whose reply may be lost.
        RowVersion = ++Newest;
        if (Step % 8 == 0)
          Lease.recordRenewal(at(NowMs - Step / 2));
      }
      if (Step % 4 == 1) { // A job is stored and may be accepted.
        ++Newest;
        if (Lease.mayAdmitJobs(at(NowMs)))
          LastAccepted = Newest;
      }
      if (Step % 4 >= 2) // A read sent now and answered a little later.
        Observer.observe(RowVersion, Row, at(NowMs), at(NowMs + Step / 4),
                         Newest);
      if (Observer.lastInheritedVersion() != 0)
        RC_ASSERT(LastAccepted <= Observer.lastInheritedVersion() ||
                  RowVersion != Observer.version());
    }
  }));
}

TEST_CASE("a stale reply that arrives after a newer one is ignored") {
  OwnershipObserver Observer{OwnershipTimings{}};
  Observer.observe(9, Row, at(0), at(5));
  OwnershipRow Stale = Row;
  Stale.Released = true;
  Observer.observe(8, Stale, at(1), at(9));
  CHECK_FALSE(Observer.mayClaim());
}

TEST_CASE("property: a holder sends no commands once the next holder considers "
          "its lease expired") {
  // The holder claims at an arbitrary time and never renews; replies are
  // delayed arbitrarily. When the next holder considers the previous holder's
  // lease expired, the previous holder must have stopped sending commands.
  CHECK(rc::check([] {
    const OwnershipTimings Timings;
    const auto SentAt = *rc::gen::inRange(0, 3000);
    const auto Delay = *rc::gen::inRange(1, 800);
    const auto Contact =
        *rc::gen::element(HolderContact::Unknown, HolderContact::Answers,
                          HolderContact::Refuses, HolderContact::Silent);
    const Duration OwnTimeout =
        Contact == HolderContact::Unknown   ? Timings.HolderTimeout
        : Contact == HolderContact::Answers ? Timings.AnsweringHolderTimeout
                                            : Timings.SilentHolderTimeout;
    OwnershipLease Lease(Timings, 1, at(SentAt));
    OwnershipObserver Observer(Timings);
    const int Committed = SentAt + *rc::gen::inRange(0, Delay);
    int Time = Committed;
    for (; Time < Committed + 6000; Time += 500) {
      Observer.observe(1, Row, at(Time), at(Time + Delay));
      Observer.recordContact(Contact);
      if (Observer.mayClaim())
        break;
    }
    RC_ASSERT(Observer.mayClaim());
    RC_ASSERT_FALSE(Lease.mayAdmitJobs(at(Time)));
    // Claimed at the first read that shows the timeout of this contact.
    const Duration Observed = milliseconds(Time - Committed - Delay);
    RC_ASSERT(Observed >= OwnTimeout);
    RC_ASSERT(Observed < OwnTimeout + milliseconds(500));
    // Whichever timeout applies, the holder accepts no more jobs once it ended.
    for (const Duration Timeout :
         {Timings.SilentHolderTimeout, Timings.HolderTimeout,
          Timings.AnsweringHolderTimeout})
      RC_ASSERT_FALSE(Lease.mayAdmitJobs(at(Committed) + Timeout));
    RC_ASSERT_FALSE(Lease.maySendCommands(Observer.predecessorLeaseEnd()));
  }));
}

namespace {

constexpr Duration VmPause = seconds(3);

/// One holder and the observer of the daemon that follows it, with a table that
/// applies each renewal after a delay and may lose the reply.
struct Succession {
  OwnershipTimings Timings;
  OwnershipLease Holder{Timings, 1, at(0)};
  OwnershipObserver Next{Timings};
  OwnershipRow Stored = Row;
  std::int64_t Version = 1;

  void applyRenewal(std::int64_t SentMs, bool ReplyArrives) {
    ++this->Version;
    if (ReplyArrives)
      this->Holder.recordRenewal(at(SentMs));
  }

  void read(std::int64_t RequestedMs, std::int64_t RepliedMs) {
    this->Next.observe(this->Version, this->Stored, at(RequestedMs),
                       at(RepliedMs));
  }
};

} // namespace

TEST_CASE("a holder that hands over and loses the table sends no commands to "
          "VMs within the pause before its successor's first") {
  // The leaving mark is stored at 50 ms and the holder is then cut off from the
  // table, so that it does not learn of its successor.
  Succession Case;
  Case.applyRenewal(0, true);
  Case.Holder.beginHandover();
  Case.Stored.Leaving = true;
  ++Case.Version;
  Case.read(60, 70);
  REQUIRE(Case.Next.mayClaim());
  const Instant First = Case.Next.vmCommandsFrom("b", VmPause);
  for (Instant Time = First - VmPause; Time < First; Time += milliseconds(10))
    REQUIRE_FALSE(Case.Holder.mayCommandVms(Time));
}

TEST_CASE("a holder behind a cut outlives a successor that ends at once") {
  OwnershipObserver Second{OwnershipTimings{}};
  Second.observe(1, Row, at(0), at(5));
  const Instant FirstEndsBy = Second.predecessorLeaseEnd();
  const Instant SecondKnows = Second.earlierCommandsUntil(at(1600));
  CHECK(SecondKnows == FirstEndsBy);
  OwnershipObserver Third{OwnershipTimings{}};
  Third.observe(2, rowOf("2", SecondKnows, 1600), at(1610), at(1615));
  Third.markHolderGone("2");
  REQUIRE(Third.mayClaim());
  CHECK(Third.earlierCommandsUntil(at(2200)) >= FirstEndsBy);
}

TEST_CASE("a row of a build that does not know of earlier holders counts them "
          "as active") {
  const auto Old = decodeOwnership(
      R"({"holder":"a","incarnation":"1","address":"","term":3,)"
      R"("leaving":false,"released":false})");
  REQUIRE(Old.has_value());
  CHECK(Old->EarlierCommandsFor == OwnershipTimings{}.LeaseDuration);
}

TEST_CASE("property: no earlier holder sends commands after the bound of a "
          "later one") {
  // Each holder is cut off from the table at its last renewal and lives on.
  // Its successor claims it by time-out, or its process is said to have ended.
  CHECK(rc::check([] {
    const OwnershipTimings Timings;
    std::vector<std::pair<OwnershipLease, bool>>
        Holders; // And whether it lives.
    int NowMs = 0;
    std::int64_t Version = 1;
    Holders.emplace_back(OwnershipLease(Timings, 1, at(0)), true);
    OwnershipRow Stored = rowOf("0", at(0), 0);
    const int Successions = *rc::gen::inRange(1, 6);
    for (int Number = 1; Number <= Successions; ++Number) {
      const bool HolderEnds = *rc::gen::arbitrary<bool>();
      OwnershipObserver Next(Timings);
      Next.observe(Version, Stored, at(NowMs), at(NowMs + 5));
      if (HolderEnds) {
        Holders.back().second = false;
        Next.markHolderGone(Stored.Incarnation);
        NowMs += *rc::gen::inRange(10, 600);
      }
      while (!Next.mayClaim()) {
        NowMs += 200;
        Next.observe(Version, Stored, at(NowMs), at(NowMs + 5));
      }
      const Instant Bound = Next.earlierCommandsUntil(at(NowMs));
      for (const auto &[Lease, Lives] : Holders)
        RC_ASSERT(!Lives || !Lease.maySendCommands(Bound));
      Stored = rowOf(std::to_string(Number), Bound, NowMs);
      Version += 1;
      Holders.emplace_back(OwnershipLease(Timings, Version, at(NowMs)), true);
      // It may renew for a while before it is cut off.
      for (int Renewals = *rc::gen::inRange(0, 6); Renewals > 0; --Renewals) {
        NowMs += 300;
        Holders.back().first.recordRenewal(at(NowMs));
        Stored = rowOf(Stored.Incarnation, Bound, NowMs);
        ++Version;
      }
    }
  }));
}

TEST_CASE("property: commands of two holders to one VM are at least the pause "
          "apart") {
  // Renewals are sent at arbitrary times, delayed, lost or unanswered; the
  // holder may hand over; reads are delayed. The holder's clock goes on while
  // its VM is suspended, so that a suspension is a time without events.
  CHECK(rc::check([] {
    Succession Case;
    std::int64_t NowMs = 0;
    Case.read(0, 1);
    const auto Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 900));
    for (const int Step : Steps) {
      if (Case.Next.mayClaim())
        break;
      const std::int64_t SentMs = NowMs;
      NowMs += Step;
      if (Step % 5 < 2)
        Case.applyRenewal(SentMs, Step % 2 == 0);
      if (Step % 11 == 7) {
        Case.Holder.beginHandover();
        Case.Stored.Leaving = true;
        ++Case.Version;
      }
      if (Step % 5 >= 2)
        Case.read(SentMs, NowMs);
    }
    while (!Case.Next.mayClaim()) {
      NowMs += 500;
      Case.read(NowMs, NowMs + 20);
    }
    const Instant First = Case.Next.vmCommandsFrom("b", VmPause);
    for (Instant Time = First - VmPause; Time < First + VmPause;
         Time += milliseconds(20))
      RC_ASSERT_FALSE(Case.Holder.mayCommandVms(Time));
  }));
}

TEST_CASE("a restarted holder need not pause before commands to VMs if its "
          "previous process had paused") {
  OwnershipObserver Observer{OwnershipTimings{}};
  OwnershipRow Own = Row;
  Observer.observe(7, Own, at(0), at(5));
  CHECK(Observer.vmCommandsFrom("a", VmPause) > at(3000));
  Own.CommandsVms = true;
  Observer.observe(8, Own, at(10), at(15));
  CHECK(Observer.vmCommandsFrom("a", VmPause) <= at(15));
  CHECK(Observer.vmCommandsFrom("b", VmPause) > at(3000));
}

TEST_CASE("a new holder sends no commands to VMs before its pause is over") {
  OwnershipLease Lease(OwnershipTimings{}, 1, at(0), at(900));
  CHECK_FALSE(Lease.mayCommandVms(at(800)));
  CHECK(Lease.mayCommandVms(at(900)));
  CHECK_FALSE(Lease.mayCommandVms(at(1200))); // It has not renewed since.
  Lease.recordRenewal(at(1000));
  CHECK(Lease.mayCommandVms(at(1200)));
  Lease.markSuperseded();
  CHECK_FALSE(Lease.mayCommandVms(at(1200)));
}

namespace {

constexpr std::int64_t OutageBeginMs = 500;
constexpr std::int64_t PollMs = 200;

/// Reads the row at 0 ms and, after an outage of the table, from \p ReturnMs
/// on, until \p RenewedMs, when the holder renews it.
/// \returns the time of the first claim; none if the row is not claimed.
std::optional<std::int64_t> claimAfterOutage(HolderContact Contact,
                                             std::int64_t ReturnMs,
                                             std::int64_t RenewedMs) {
  OwnershipObserver Observer{OwnershipTimings{}};
  Observer.observe(7, Row, at(0), at(5));
  for (std::int64_t Time = ReturnMs; Time < RenewedMs; Time += PollMs) {
    Observer.recordContact(Contact);
    Observer.observe(7, Row, at(Time), at(Time + 5));
    if (Observer.mayClaim())
      return Time;
  }
  return std::nullopt;
}

} // namespace

TEST_CASE("a holder that lives through an outage of the table keeps its row") {
  // Its renewal may have been under way when the table returned, and times out
  // before it is sent again.
  constexpr std::int64_t RenewalTimeoutMs = 650;
  constexpr std::int64_t RetryMs = 400;
  for (const std::int64_t OutageMs : {2000, 3600, 7000})
    for (const HolderContact Contact :
         {HolderContact::Unknown, HolderContact::Answers,
          HolderContact::Refuses, HolderContact::Silent}) {
      const std::int64_t ReturnMs = OutageBeginMs + OutageMs;
      CHECK_FALSE(claimAfterOutage(Contact, ReturnMs,
                                   ReturnMs + RenewalTimeoutMs + RetryMs)
                      .has_value());
    }
}

TEST_CASE("the row of a holder that is gone after an outage of the table is "
          "claimed within 1.5 s of its return") {
  // The load of such a day waits at its peak: the table is away from 31 s, and
  // the holder is cut off before it returns.
  constexpr std::int64_t OutageMs = 3600;
  constexpr std::int64_t ReturnMs = OutageBeginMs + OutageMs;
  constexpr std::int64_t Never = 60000;
  for (const HolderContact Contact :
       {HolderContact::Refuses, HolderContact::Silent}) {
    const auto Claimed = claimAfterOutage(Contact, ReturnMs, Never);
    REQUIRE(Claimed.has_value());
    CHECK(*Claimed - ReturnMs <= 1500);
  }
  // A holder that answers is given more time than one of unknown state.
  const auto Unknown =
      claimAfterOutage(HolderContact::Unknown, ReturnMs, Never);
  const auto Answers =
      claimAfterOutage(HolderContact::Answers, ReturnMs, Never);
  REQUIRE(Unknown.has_value());
  REQUIRE(Answers.has_value());
  CHECK(*Unknown < *Answers);
}

TEST_CASE("property: no row is claimed while its holder may accept jobs") {
  CHECK(rc::check([] {
    Succession Case;
    std::int64_t NowMs = 0;
    Case.read(0, 1);
    const auto Steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 2500));
    for (const int Step : Steps) {
      const std::int64_t SentMs = NowMs;
      NowMs += Step;
      Case.Next.recordContact(static_cast<HolderContact>(Step % 4));
      if (Step % 5 < 2)
        Case.applyRenewal(SentMs, Step % 2 == 0);
      else
        Case.read(SentMs, NowMs);
      const bool IsCurrent = Case.Next.version() == Case.Version;
      if (IsCurrent && Case.Next.mayClaim())
        RC_ASSERT_FALSE(Case.Holder.mayAdmitJobs(at(NowMs)));
    }
  }));
}

TEST_CASE("polls are more frequent once a renewal is overdue") {
  OwnershipObserver Observer{OwnershipTimings{}};
  CHECK_FALSE(Observer.renewalIsOverdue(at(5000))); // No row is known.
  Observer.observe(7, Row, at(0), at(5));
  CHECK_FALSE(Observer.renewalIsOverdue(at(600)));
  CHECK(Observer.renewalIsOverdue(at(900)));
}
