#include "advicecalls.h"

#include <algorithm>

namespace sardinerill::site {

namespace {

/// One call that the advisor works on, and one that waits there.
constexpr int MaxUnderWay = 2;
/// Part of the time limit beyond the expected time.
constexpr milliseconds Margin{2500};
/// Most that a time limit grows because answers took longer than stated. A
/// connection that has gone silent is noticed after it.
constexpr seconds MaxExtraTime{20};
/// A call that was given up may take this many times as long.
constexpr int GivenUpFactor = 2;
/// Calls that are remembered as still worked on after they were given up.
constexpr int MaxGivenUp = 4;
constexpr milliseconds FirstPause{100};
/// The pause after a failure is doubled this often.
constexpr int MaxDoublings = 3;

Duration boundedExtraCost(Duration Extra) {
  return std::clamp<Duration>(Extra, Duration::zero(), MaxExtraTime);
}

} // namespace

bool AdviceCalls::mayStart(Instant Now) const {
  // While calls fail, a second one would only be given up behind the first.
  const int Limit = this->ConsecutiveFailures > 0 ? 1 : MaxUnderWay;
  return this->UnderWay < Limit && Now >= this->NextStart;
}

std::deque<AdviceCalls::Unfinished>::iterator
AdviceCalls::find(std::uint64_t Number) {
  return std::ranges::find(this->Calls, Number, &Unfinished::Number);
}

Duration AdviceCalls::timeBeyondCost(const Unfinished &Call,
                                     Instant Now) const {
  return Now - std::max(Call.SentAt, this->LastAnswerAt) - Call.Cost;
}

AdviceCalls::Started AdviceCalls::recordStart(Duration Cost, Instant Now) {
  ++this->UnderWay;
  this->Calls.push_back(
      {.Number = ++this->LastNumber, .Cost = Cost, .SentAt = Now});
  Duration Expected = std::min<Duration>(
      this->ExtraCost * std::int64_t(this->Calls.size()), MaxExtraTime);
  for (const Unfinished &Each : this->Calls)
    Expected += Each.Cost;
  return {.Number = this->LastNumber, .Limit = Expected + Margin};
}

void AdviceCalls::recordAnswer(std::uint64_t Number, Instant Now) {
  const auto Found = this->find(Number);
  if (Found == this->Calls.end())
    return;
  this->UnderWay = std::max(0, this->UnderWay - 1);
  this->ConsecutiveFailures = 0;
  this->NextStart = {};
  this->ExtraCost = boundedExtraCost(this->timeBeyondCost(*Found, Now));
  this->LastAnswerAt = Now;
  this->Calls.erase(Found);
  // Calls are answered in their order, so that those which were given up
  // before this one have ended. An answer to a call under way may still come.
  std::erase_if(this->Calls, [Number](const Unfinished &Each) {
    return Each.GivenUp && Each.Number < Number;
  });
}

void AdviceCalls::recordFailure(std::uint64_t Number, AdviceFailure Failure,
                                Instant Now) {
  const auto Found = this->find(Number);
  if (Found == this->Calls.end())
    return;
  this->UnderWay = std::max(0, this->UnderWay - 1);
  this->NextStart =
      Now + Duration(FirstPause) *
                (1 << std::min(this->ConsecutiveFailures, MaxDoublings));
  this->ConsecutiveFailures =
      std::min(this->ConsecutiveFailures + 1, MaxDoublings);
  if (Failure != AdviceFailure::TimedOut) {
    this->Calls.erase(Found);
    return;
  }
  Found->GivenUp = true;
  // The advisor works on the oldest call.
  this->ExtraCost =
      std::max(this->ExtraCost,
               boundedExtraCost(this->timeBeyondCost(this->Calls.front(), Now) *
                                GivenUpFactor));
  // Calls that never arrived there are not ended by the next answer either.
  const auto Oldest =
      std::ranges::find(this->Calls, true, &Unfinished::GivenUp);
  if (std::ranges::count(this->Calls, true, &Unfinished::GivenUp) > MaxGivenUp)
    this->Calls.erase(Oldest);
}

} // namespace sardinerill::site
