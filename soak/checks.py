"""The rules, checked on what callers, upstreams, table and VM API have seen.

docs/SOAK.md says what each rule means. All bounds come from the node file.
"""

import time
from dataclasses import dataclass, field


class Violation(Exception):
    def __init__(self, rule, text, words):
        super().__init__(f"{rule}: {text}")
        self.rule, self.words = rule, words


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
    done: bool = False
    acked: list = field(default_factory=list)  # End


class Checks:
    def __init__(self, site):
        self.site = site
        self.bounds = site.bounds
        self.tasks = {}
        self.ends = {}  # (machine, life) -> {n: End}
        self.vm_tokens = {}  # token -> holder
        self.vm_last = {}  # machine -> (time, holder, token, daemon)
        self.counts = {}
        self.violations = []

    def broken(self, rule, text, *words):
        violation = Violation(rule, text, [str(w) for w in words])
        self.site.record("VIOLATION", rule=rule, text=text)
        self.violations.append(violation)
        self.site.failed.set()

    def count(self, name):
        self.counts[name] = self.counts.get(name, 0) + 1

    def task(self, name):
        return self.tasks.setdefault(name, Task())

    # Upstreams ---------------------------------------------------------------

    def run_started(self, upstream, run, body, source, pool):
        self.count("starts")
        now = time.monotonic()
        task = self.task(run.task)
        for other in list(task.active.values()):
            other.settle()
        name = f"{run.task} run {run.number} on {upstream.id}"
        job = self.site.jobs.get(run.task.split(".")[0])
        words = (run.task, upstream.id)
        if task.active:
            where = ", ".join(f"run {key[2]} on {u.id}"
                              for key, u in task.active.items())
            self.broken("TWICE", f"{name} is started by {source} while {where} "
                        "is at work", *words, *[u.id for u in task.active.values()])
        for end in task.acked:
            if end.how == "done":
                self.broken("TWICE", f"{name} is started by {source} after run "
                            f"{end.run} ended done, which was acknowledged",
                            *words)
        task.starts.append((now, run.number, upstream.id))
        task.active[upstream.machine, upstream.life, run.number] = upstream
        self.check_budget(run.task)
        if job is None:
            self.broken("UNASKED", f"{name}: no caller has sent this job", *words)
            return
        if body["spec"] != job.spec:
            self.broken("UNASKED", f"{name} has another spec", *words)
        if not self.site.is_checkpoint_of(run.task, body.get("checkpoint", "")):
            self.broken("UNASKED", f"{name} has a checkpoint of another task",
                        *words)
        if pool not in self.site.services_of[job.queue]:
            self.broken("ROUTE", f"{name}: no configuration sends queue "
                        f"{job.queue} to {pool}", *words)
        if job.all_rejected():
            self.broken("REFUSED", f"{name}: all attempts to hand the job in "
                        "were rejected", *words)
        self.check_order(run, job, name)
        self.check_cancelled(upstream, job, source, now, name)
        self.check_limits(upstream, run, pool, name)

    def check_order(self, run, job, name):
        for earlier in job.steps[int(run.task.split(".")[2])].get("after", []):
            for index in range(job.steps[earlier]["count"]):
                before = f"{job.id}.0.{earlier}.{index}"
                for other in list(self.task(before).active.values()):
                    other.settle()
                if not self.task(before).done:
                    self.broken("ORDER", f"{name} is started before {before} "
                                "has ended done", run.task, before)

    def check_cancelled(self, upstream, job, source, now, name):
        if job.cancel_acked is None:
            return
        late = now - job.cancel_acked - self.bounds["cancel_ms"] / 1e3
        if late <= 0:
            return
        since = now - self.bounds["contact-ms"] / 1e3
        if self.site.in_touch(source) and not self.site.network.harmed_since(
                source, upstream.machine, since):
            self.broken("UNASKED", f"{name} is started by {source} {late:.2f} s "
                        "after the bound on cancelled jobs", job.id, upstream.id)
        else:
            self.count("late starts of cancelled jobs, not in touch")

    def check_limits(self, upstream, run, pool, name):
        for resource, amount in (("cpu", run.cpu), ("mem-mb", run.mem)):
            attribute = "cpu" if resource == "cpu" else "mem"
            used = sum(getattr(r, attribute) for r in upstream.runs.values())
            if not self.site.guards(pool) and \
                    used + amount > upstream.capacity[resource]:
                self.broken("LIMIT", f"{name} brings the upstream to "
                            f"{used + amount} {resource}", run.task, upstream.id)
        for other in self.site.upstreams:
            other.settle()
        used = sum(r.cpu for u in self.site.upstreams for r in u.runs.values()
                   if r.tenant == run.tenant) + run.cpu
        cap = self.site.tenants[run.tenant]["cap"]["cpu"]
        if cap and used > cap * (1 + self.bounds["quota-overage"]) + run.cpu:
            self.broken("QUOTA", f"{name} brings {run.tenant} to {used} of "
                        f"{cap} milli-CPUs", run.task, run.tenant)

    def run_ended(self, upstream, run, how, number):
        self.count("ends " + how)
        end = End(run.task, run.number, how, time.monotonic())
        task = self.task(run.task)
        task.active.pop((upstream.machine, upstream.life, run.number), None)
        task.done = task.done or how == "done"
        self.ends.setdefault((upstream.machine, upstream.life), {})[number] = end

    def life_ended(self, upstream):
        for run in upstream.runs.values():
            self.task(run.task).active.pop(
                (upstream.machine, upstream.life, run.number), None)

    def lease_lapsed(self, upstream):
        for end in self.ends.get((upstream.machine, upstream.life), {}).values():
            if not end.acked and not end.lapsed:
                end.lapsed = True
                self.count("ends not acknowledged before their lease lapsed")

    def acknowledged(self, upstream, through):
        for number, end in self.ends.get(
                (upstream.machine, upstream.life), {}).items():
            if number > through or end.acked:
                continue
            end.acked = True
            if end.lapsed:
                continue
            task = self.task(end.task)
            task.acked.append(end)
            if end.how == "done":
                for at, run, where in task.starts:
                    if at > end.at:
                        self.broken("TWICE", f"{end.task} run {run} on {where} "
                                    f"was started after run {end.run} had ended "
                                    "done, which is acknowledged now", end.task)
            self.check_budget(end.task)

    def check_budget(self, name):
        job = self.site.jobs.get(name.split(".")[0])
        if job is None:
            return
        task = self.task(name)
        limit = self.site.max_attempts(job.queue)
        failed = sorted(e.at for e in task.acked if e.how == "failed")
        if len(failed) >= limit and task.starts[-1][0] > failed[limit - 1]:
            self.broken("BUDGET", f"{name} run {task.starts[-1][1]} is started "
                        f"after {limit} runs had failed", name)

    # VM API --------------------------------------------------------------------

    def vm_command(self, daemon, upstream, holder, token):
        now = time.monotonic()
        self.site.record("vm.command", vm=upstream.machine, holder=holder,
                         token=token, daemon=daemon)
        self.count("VM commands")
        if self.vm_tokens.setdefault(token, holder) != holder:
            self.broken("ONE", f"{holder} and {self.vm_tokens[token]} command "
                        f"VMs with token {token}", holder)
        last = self.vm_last.get(upstream.machine)
        if last:
            at, other, other_token, other_daemon = last
            if token < other_token:
                self.broken("ONE", f"{holder} commands {upstream.machine} with "
                            f"token {token} after {other_token}", holder)
            if other != holder and \
                    now - at < self.bounds["lease-ms"] / 1e3 and \
                    self.site.in_touch(daemon) and \
                    self.site.in_touch(other_daemon):
                self.broken("ONE", f"{holder} and {other} command "
                            f"{upstream.machine} within lease-ms", holder, other)
        self.vm_last[upstream.machine] = (now, holder, token, daemon)

    # Callers -------------------------------------------------------------------

    def state_shown(self, job, state, daemon):
        """A caller was given the state of a job that is known to be stored or
        may be stored."""
        self.count("states")
        names = job.task_names()
        if state == "completed":
            for name in names:
                for other in list(self.task(name).active.values()):
                    other.settle()
                if not self.task(name).done:
                    self.broken("MIXED", f"{daemon} shows {job.id} as completed, "
                                f"{name} has not ended done", job.id)
        elif state == "failed":
            limit = self.site.max_attempts(job.queue)
            failed = {name: 0 for name in names}
            for ends in self.ends.values():
                for end in ends.values():
                    if end.how == "failed" and end.task in failed:
                        failed[end.task] += 1
            if max(failed.values()) < limit:
                self.broken("LOST", f"{daemon} shows {job.id} as failed without "
                            "cause", job.id)
        elif state == "cancelled" and job.cancel_sent is None:
            self.broken("LOST", f"{daemon} shows {job.id} as cancelled, which "
                        "nobody asked for", job.id)
        if job.final and state != job.final and \
                not (job.cancel_sent and state == "cancelled"):
            self.count(f"states {state} shown after {job.final}")
        if state in ("completed", "failed", "cancelled"):
            if not job.final:
                job.final_at = time.monotonic()
            job.final = state

    def gone_shown(self, job, daemon, sent, always=False):
        """A caller was told that a job does not exist."""
        if job.accepted_at is None or job.cancel_sent is not None:
            return
        if job.final and time.monotonic() > \
                job.final_at + self.bounds["status_s"]:
            return
        if sent <= job.accepted_at + self.bounds["visible_ms"] / 1e3:
            return
        if always or self.site.in_touch(daemon):
            self.broken("LOST", f"{daemon} answers 410 for {job.id}, which was "
                        f"accepted {sent - job.accepted_at:.2f} s before the "
                        "call was sent", job.id, daemon)
        else:
            self.count("410 for accepted jobs, not in touch")

    def key_used(self, key, daemon, status, sent):
        """A call with a key that no configuration holds any longer."""
        if status is None or status // 100 != 2:
            return
        withdrawn = self.site.withdrawn.get(key)
        if withdrawn is None:
            self.broken("ROUTE", f"{daemon} answers {status} to a key that no "
                        "configuration ever held", daemon)
        elif sent > withdrawn + self.bounds["config-apply-ms"] / 1e3:
            if self.site.in_touch(daemon):
                self.broken("CONFIG", f"{daemon} answers {status} to a key that "
                            f"was withdrawn {sent - withdrawn:.2f} s before the "
                            "call was sent", daemon, key)
            else:
                self.count("withdrawn key accepted, not in touch")
