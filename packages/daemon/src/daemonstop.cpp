#include "daemonparts.h"

#include <utility>

/// \file
/// A planned stop: not ready, then drained, then units handed on.

namespace sardinerill {

namespace {

constexpr Duration StopTick = milliseconds(50);
/// Handing units on at a planned stop may not hold the stop up for longer.
constexpr Duration GiveBackTimeout = seconds(3);

} // namespace

void DaemonApp::Parts::beginStop() {
  if (this->Stopping)
    return;
  this->Stopping = true;
  this->StopBegan = this->Clock.now();
  logEvent(LogLevel::Info, "daemon.stopping",
           {{"inHand", std::to_string(this->Work->inHand())}});
  this->Maintenance->release([] {});
  this->Jobs->beginStop();
  this->every(StopTick, [this] { this->continueStop(); });
}

void DaemonApp::Parts::continueStop() {
  const Instant Now = this->Clock.now();
  const Duration Passed = Now - this->StopBegan;
  if (Passed < this->Wanted.NotReadyFor)
    return;
  if (!this->DoorClosed) {
    this->CallerEntry->beginDrain();
    this->DoorClosed = true;
  }
  const bool Empty = this->CallerEntry->isEmpty() && this->Work->isIdle() &&
                     this->Jobs->isIdle();
  const bool TimedOut = Passed > this->Wanted.DrainTimeout;
  if (!Empty && !TimedOut)
    return;
  if (!this->GivingBack) {
    this->GivingBack = true;
    this->GiveBackBegan = Now;
    this->ExitCode = Empty ? 0 : 1;
    this->Escrow->beginGiveBack();
  }
  if (this->Escrow->holdsNothing() ||
      Now - this->GiveBackBegan > GiveBackTimeout)
    this->finishStop();
}

void DaemonApp::Parts::finishStop() {
  if (std::exchange(this->Finishing, true))
    return;
  this->Background.run([this] { (void)signOff(this->Platform, this->Name); },
                       [this] {
                         logEvent(LogLevel::Info, "daemon.stopped");
                         for (auto &Timer : this->Timers)
                           Timer->stop();
                         this->Hub->stop();
                         this->Loop.stop();
                       });
}

} // namespace sardinerill
