"""The rules, checked on what callers, upstreams and VM API have seen; see docs/SOAK.md."""

import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field


@dataclass
class End:
    task: str
    run: int
    how: str
    at: float
    lapsed: bool = False  # The lease lapsed before the end was acknowledged.
    acked: bool = False


@dataclass
class Task:
    starts: list = field(default_factory=list)  # (time, run, upstream id)
    active: dict = field(default_factory=dict)  # (machine, life, run) -> upstream
    ends: list = field(default_factory=list)
    done: bool = False

    def acked(self, how):
        return [e for e in self.ends if e.how == how and e.acked and not e.lapsed]


class Checks:
    def __init__(self, site):
        self.site, self.bounds = site, site.bounds
        self.contact = site.bounds["contact-ms"] / 1e3
        self.tasks = defaultdict(Task)
        self.ends = defaultdict(dict)  # (machine, life) -> {number: End}
        self.holders = {}  # token of VM commands -> holder
        self.last_command = {}  # machine -> (time, holder, token, daemon)
        self.counts, self.violations = Counter(), []

    def broken(self, rule, text, *words):
        """`words` select the events that are printed with the violation."""
        self.site.record("VIOLATION", rule=rule, text=text)
        self.violations.append((f"{rule}: {text}", words))
        self.site.failed.set()

    def settled(self, name):
        """The task, after all that was due on its upstreams is carried out."""
        for upstream in list(self.tasks[name].active.values()):
            upstream.settle()
        return self.tasks[name]

    # Upstreams

    def run_started(self, upstream, run, body, source):
        self.counts["starts"] += 1
        task, now, words = self.settled(run.task), time.monotonic(), (run.task, upstream.id)
        job = self.site.jobs.get(run.task.split(".")[0])
        name = f"{run.task} run {run.number} on {upstream.id}, started by {source},"
        for key, other in task.active.items():
            self.broken("TWICE", f"{name} while run {key[2]} is at work on {other.id}", *words,
                        other.id)
        for end in task.acked("done"):
            self.broken("TWICE", f"{name} after run {end.run} ended done and was acknowledged",
                        *words)
        task.starts.append((now, run.number, upstream.id))
        task.active[(*upstream.key, run.number)] = upstream
        if job is None:
            self.broken("UNASKED", f"{name} is of a job that no caller has sent", *words)
            return
        self.check_budget(run.task, job)
        if body["spec"] != job.spec:
            self.broken("UNASKED", f"{name} has another spec", *words)
        if run.saved and self.site.checkpoints.get(run.saved, ("",))[0] != run.task:
            self.broken("UNASKED", f"{name} has a checkpoint that isn't the task's", *words)
        if upstream.pool not in self.site.services_of[job.queue]:
            self.broken("ROUTE", f"{name} is in {upstream.pool}, to which no configuration "
                        f"sends queue {job.queue}", *words)
        if job.all_rejected():
            self.broken("REFUSED", f"{name}: all attempts to hand it in were rejected", *words)
        for before in job.tasks_before(run.task):
            if not self.settled(before).done:
                self.broken("ORDER", f"{name} before {before} has ended done", *words, before)
        late = now - (job.cancel_acked or now) - self.bounds["cancel_ms"] / 1e3
        if late > 0:
            self.timed("UNASKED", f"{name} {late:.2f} s after the bound on cancelled jobs",
                       source, *words, harmed=self.site.network.harmed_since(
                           source, upstream.machine, now - self.contact))
        self.check_limits(upstream, run, name)

    def timed(self, rule, text, daemon, *words, harmed=False):
        """A rule that holds for machines in touch only."""
        if self.site.in_touch(daemon) and not harmed:
            self.broken(rule, text, daemon, *words)
        else:
            self.counts[f"{rule} by daemons that were not in touch"] += 1

    def check_limits(self, upstream, run, name):
        for amount in ("cpu", "mem-mb"):
            used = sum(r.step[amount] for r in [run, *upstream.runs.values()])
            if not self.site.pools[upstream.pool] and used > upstream.capacity[amount]:
                self.broken("LIMIT", f"{name} brings it to {used} {amount}", upstream.id)
        for other in self.site.upstreams:
            other.settle()
        tenant = run.step["tenant"]
        used, cap = self.site.used(tenant), self.site.tenants[tenant]["cap"]["cpu"]
        if cap and used > cap * (1 + self.bounds["quota-overage"]):
            self.broken("QUOTA", f"{name} when {tenant} has {used} of {cap} milli-CPUs", tenant)

    def run_ended(self, upstream, run, how, number):
        self.counts["ends " + how] += 1
        task = self.tasks[run.task]
        task.active.pop((*upstream.key, run.number), None)
        task.done = task.done or how == "done"
        end = End(run.task, run.number, how, time.monotonic())
        task.ends.append(end)
        self.ends[upstream.key][number] = end

    def life_ended(self, upstream):
        for run in upstream.runs.values():
            self.tasks[run.task].active.pop((*upstream.key, run.number), None)

    def lease_lapsed(self, upstream):
        for end in self.ends[upstream.key].values():
            if not end.acked and not end.lapsed:
                end.lapsed = True
                self.counts["ends whose lease lapsed before the acknowledgement"] += 1

    def acknowledged(self, upstream, through):
        for number, end in self.ends[upstream.key].items():
            if number > through or end.acked:
                continue
            end.acked = True
            for at, run, where in self.tasks[end.task].starts:
                if at > end.at and end in self.tasks[end.task].acked("done"):
                    self.broken("TWICE", f"{end.task} run {run} on {where} was started after run "
                                f"{end.run} had ended done, which is acknowledged now", end.task)
            if job := self.site.jobs.get(end.task.split(".")[0]):
                self.check_budget(end.task, job)

    def check_budget(self, name, job):
        task, limit = self.tasks[name], self.site.max_attempts[job.queue]
        failed = sorted(end.at for end in task.acked("failed"))
        if not job.lasting and len(failed) >= limit and task.starts[-1][0] > failed[limit - 1]:
            self.broken("BUDGET", f"{name} run {task.starts[-1][1]} was started after {limit} "
                        "runs had failed, which is acknowledged", name)

    # VM API

    def vm_command(self, daemon, upstream, holder, token):
        now, machine = time.monotonic(), upstream.machine
        self.site.record("vm.command", vm=machine, holder=holder, token=token, daemon=daemon)
        self.counts["VM commands"] += 1
        if self.holders.setdefault(token, holder) != holder:
            self.broken("ONE", f"{holder} and {self.holders[token]} share token {token}", holder)
        at, other, other_token, other_daemon = self.last_command.get(
            machine, (0, holder, 0, daemon))
        if token < other_token:
            self.broken("ONE", f"{holder} commands {machine} with token {token} after "
                        f"{other_token}", machine)
        if other != holder and now - at < self.bounds["lease-ms"] / 1e3:
            self.timed("ONE", f"{holder} and {other} command {machine} within lease-ms", daemon,
                       machine, harmed=not self.site.in_touch(other_daemon))
        self.last_command[machine] = (now, holder, token, daemon)

    # Callers

    def state_shown(self, job, state, daemon):
        self.counts["states"] += 1
        text = f"{daemon} shows {job.id} as {state}"
        if state == "completed":
            for name in job.task_names():
                if not self.settled(name).done:
                    self.broken("MIXED", f"{text}, {name} has not ended done", job.id)
        elif state == "failed":
            limit = self.site.max_attempts[job.queue]
            if job.lasting or all([e.how for e in self.settled(name).ends].count("failed") < limit
                   for name in job.task_names()):
                self.broken("LOST", f"{text} without cause", job.id)
        elif state == "cancelled" and job.cancel_sent is None:
            self.broken("LOST", f"{text}, which nobody asked for", job.id)
        if state in ("completed", "failed", "cancelled"):
            job.final_at = job.final_at or time.monotonic()

    def gone_shown(self, job, daemon, sent):
        """A caller was told that the job does not exist."""
        late = sent - (job.accepted_at or sent) - self.bounds["visible_ms"] / 1e3
        ended = job.final_at and sent > job.final_at + self.bounds["status_s"]
        if late > 0 and not ended and job.cancel_sent is None:
            self.timed("LOST", f"{daemon} answers 410 for the accepted job {job.id}, {late:.2f} s "
                       "after the bound", daemon, job.id)

    def submit_answered(self, status, daemon, sent):
        """The call had a key and a queue that the newest configuration holds."""
        late = sent - self.site.configured_at - self.bounds["config-apply-ms"] / 1e3
        if status in (401, 403, 404) and late > 0:
            self.timed("CONFIG", f"{daemon} answers {status} to a key and a queue in force, "
                       f"{late:.2f} s after the bound", daemon)

    def key_used(self, key, daemon, status, sent):
        """The call had a key that no configuration holds, or none any longer."""
        if status is None or status // 100 != 2:
            return
        if key not in self.site.withdrawn:
            self.broken("ROUTE", f"{daemon} serves a key that was never valid", daemon)
            return
        late = sent - self.site.withdrawn[key] - self.bounds["config-apply-ms"] / 1e3
        if late > 0:
            self.timed("CONFIG", f"{daemon} serves the withdrawn key {key}, {late:.2f} s after "
                       "the bound", daemon)
