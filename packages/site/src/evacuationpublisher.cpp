#include "evacuationpublisher.h"

#include "sardinerill/base/logging.h"

namespace sardinerill::site {

namespace {

/// Time between two checks. Operators wait for the end of tasks that take
/// seconds.
constexpr milliseconds CheckInterval{500};
constexpr milliseconds CallTimeout{900};
/// A call without an answer may be carried out seconds later, so that the rows
/// are listed only after a while.
constexpr seconds RelistPause{5};
constexpr seconds WaitLogInterval{5};

void logWrite(const EvacuationStatusWrite &Write) {
  if (!Write.State) {
    logEvent(LogLevel::Info, "evacuation.status_removed",
             {{"zone", Write.Zone.str()}});
    return;
  }
  const bool Completed = *Write.State == EvacuationState::Completed;
  logEvent(LogLevel::Info, "evacuation.announced",
           {{"zone", Write.Zone.str()},
            {"state", Completed ? "completed" : "running"}});
}

} // namespace

Async<void> EvacuationPublisher::run() {
  while (!this->Stopped) {
    this->report(this->Deps.JobScheduler.evacuatedZoneLoads());
    co_await this->publish();
    co_await sleepFor(CheckInterval);
  }
  // The next holder may be another daemon.
  this->Deps.Stats.setGauge("evacuated_zone_tasks", 0);
}

void EvacuationPublisher::report(const std::map<ZoneId, ZoneLoad> &Loads) {
  const Instant Now = this->Deps.Clock.now();
  int Runs = 0;
  for (const auto &[Zone, Load] : Loads)
    Runs += Load.Runs;
  this->Deps.Stats.setGauge("evacuated_zone_tasks", double(Runs));
  for (const ZoneEvacuation &Each : this->Deps.Evacuations.known()) {
    const auto Load = Loads.find(Each.Zone);
    if (!Each.Requested || Load == Loads.end() || Load->second.Upstreams > 0 ||
        this->Deps.HasVmIn(Each.Zone) ||
        this->ReportedUnknown[Each.Zone] == Each.RequestVersion)
      continue;
    this->ReportedUnknown[Each.Zone] = Each.RequestVersion;
    logEvent(LogLevel::Warning, "evacuation.zone_unknown",
             {{"zone", Each.Zone.str()}});
  }
  if (Runs == 0 || Now < this->NextWaitLog)
    return;
  this->NextWaitLog = Now + WaitLogInterval;
  for (const auto &[Zone, Load] : Loads)
    if (Load.Runs > 0)
      logEvent(LogLevel::Info, "evacuation.waits",
               {{"zone", Zone.str()},
                {"tasks", std::to_string(Load.Runs)},
                {"long_running", std::to_string(Load.LongRunningTasks)}});
}

Async<bool> EvacuationPublisher::listPublished() {
  if (!this->Status.needsList())
    co_return true;
  const auto Rows =
      co_await this->Deps.Source.readPublishedEvacuations(CallTimeout);
  if (!Rows)
    co_return false;
  this->Status.setPublished(*Rows);
  co_return true;
}

Async<void> EvacuationPublisher::publish() {
  if (!co_await this->listPublished() || this->Stopped)
    co_return;
  std::set<ZoneId> Idle;
  for (const auto &[Zone, Load] : this->Deps.JobScheduler.evacuatedZoneLoads())
    if (Load.Runs == 0 && !Load.MayHaveMore)
      Idle.insert(Zone);
  const auto Writes =
      this->Status.missingWrites(this->Deps.Evacuations.known(), Idle);
  for (const EvacuationStatusWrite &Write : Writes) {
    if (this->Stopped ||
        !this->Deps.Ownership.maySendCommands(this->Deps.Clock.now()))
      co_return;
    const auto Written = co_await this->Deps.Source.publishEvacuation(
        Write.Zone, Write.State, CallTimeout);
    if (this->Stopped)
      co_return;
    this->Status.recordWrite(Write, Written.has_value());
    if (!Written) {
      co_await sleepFor(RelistPause);
      co_return;
    }
    logWrite(Write);
  }
}

} // namespace sardinerill::site
