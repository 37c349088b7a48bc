#include "daemonimpl.h"

#include <utility>

/// \file
/// Graceful shutdown: the daemon reports "not ready", drains its requests,
/// returns its units and leaves the roster.

namespace sardinerill {

namespace {

constexpr Duration ShutdownStepInterval = milliseconds(50);
/// Maximum time that a graceful shutdown waits for units to be returned.
constexpr Duration UnitReturnTimeout = seconds(3);

} // namespace

void DaemonApp::Impl::beginShutdown() {
  if (this->Stopping)
    return;
  this->Stopping = true;
  this->ShutdownStartedAt = this->Clock.now();
  logEvent(LogLevel::Info, "daemon.stopping",
           {{"inHand",
             std::to_string(this->WorkDispatcher->pendingRequestCount())}});
  // Lets another daemon acquire the maintenance lease.
  this->Maintenance->release([] {});
  this->Jobs->beginStop();
  this->startTimer(ShutdownStepInterval, [this] { this->continueShutdown(); });
}

void DaemonApp::Impl::continueShutdown() {
  const Instant Now = this->Clock.now();
  const Duration Elapsed = Now - this->ShutdownStartedAt;
  if (Elapsed < this->Config.NotReadyPeriod)
    return;
  if (!this->CallerApiDraining) {
    this->CallerApi->beginDrain();
    this->CallerApiDraining = true;
  }
  const bool IsDrained = this->CallerApi->isDrained() &&
                         this->WorkDispatcher->isIdle() && this->Jobs->isIdle();
  const bool IsTimedOut = Elapsed > this->Config.DrainTimeout;
  if (!IsDrained && !IsTimedOut)
    return;
  if (!this->ReturningUnits) {
    this->ReturningUnits = true;
    this->UnitReturnStartedAt = Now;
    this->ExitCode = IsDrained && !this->IsSuperseded ? 0 : 1;
    this->Escrow->beginDrain();
  }
  if (this->Escrow->isDrained() ||
      Now - this->UnitReturnStartedAt > UnitReturnTimeout)
    this->finishShutdown();
}

void DaemonApp::Impl::finishShutdown() {
  if (std::exchange(this->ShutdownFinishing, true))
    return;
  // Deregistration is best effort; a failure does not delay the shutdown.
  this->Background.run(
      [this] { (void)deregisterDaemon(this->Platform, this->OwnIdentity); },
      [this] {
        logEvent(LogLevel::Info, "daemon.stopped");
        for (auto &Timer : this->Timers)
          Timer->stop();
        this->Transport->stop();
        this->Loop.stop();
      });
}

} // namespace sardinerill
