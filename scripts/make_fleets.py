#!/usr/bin/env python3
"""Generates the example fleets and daemon settings under examples/."""

import pathlib

SITES = {
    "ingoma": {
        "region": "kigali",
        "zones": ["kgl-a", "kgl-b", "kgl-c"],
        "pools": ["sketch", "stress", "price", "bend", "nest"],
        "classes": [
            ("pattern", "sketch", 800, 3000, True, False),
            ("stress-check", "stress", 1300, 5000, True, False),
            ("quote", "price", 1000, 3000, False, False),
            ("bend-plan", "bend", 2000, 8000, True, False),
            ("nesting", "nest", 60000, 60000, True, False),
            ("opening-hours", "price", 2000, 1000, True, True),
        ],
        "teams": [
            ("workshop", 40, 120), ("gardens", 20, 80), ("welders", 20, 80),
            ("orders", 10, 40), ("training", 5, 10), ("archive", 5, 10),
        ],
    },
    "lakeshore": {
        "region": "lakes",
        "zones": ["lak-a", "lak-b", "lak-c", "lak-d"],
        "pools": ["intake", "sorting", "payout", "ledger", "reports"],
        "classes": [
            ("ticket", "intake", 800, 2000, True, False),
            ("classing", "sorting", 1300, 4000, True, False),
            ("payout-line", "payout", 1500, 3000, False, False),
            ("reconcile", "ledger", 60000, 60000, True, False),
            ("report", "reports", 5000, 10000, True, False),
        ],
        "teams": [
            ("gate", 30, 60), ("classers", 30, 60), ("office", 20, 40),
            ("auditors", 10, 20), ("members", 5, 10), ("press", 5, 10),
        ],
    },
}

VMS_PER_POOL = 10
DEADLINE_MS = 8 * 3600 * 1000
VMS_PER_RACK = 4


def fleet_lines(site):
    lines = ["rackMaxUnavailable: 2", "zones:"]
    lines += [f"  {zone}: {{maxUnavailable: 5}}" for zone in site["zones"]]
    lines.append("pools:")
    lines += [f"  {pool}: {{slotsPerVm: 8, maxUnavailable: 2}}"
              for pool in site["pools"]]
    lines.append("classes:")
    for name, pool, target, run, idempotent, is_open in site["classes"]:
        lines.append(
            f"  {name}: {{pool: {pool}, targetMs: {target}, maxRunMs: {run}, "
            f"idempotent: {str(idempotent).lower()}, "
            + (f"deadlineMs: {DEADLINE_MS}, " if target >= 60000 else "") +
            f"open: {str(is_open).lower()}}}")
    lines.append("teams:")
    lines += [f"  {name}: {{share: {share}, ceiling: {ceiling}}}"
              for name, share, ceiling in site["teams"]]
    lines.append("vms:")
    number = 0
    for pool in site["pools"]:
        for index in range(VMS_PER_POOL):
            zone = site["zones"][number % len(site["zones"])]
            rack = f"{zone}-r{number // (VMS_PER_RACK * len(site['zones']))}"
            lines.append(
                f"  {pool}-{index}: {{pool: {pool}, zone: {zone}, "
                f"rack: {rack}, address: 10.0.{1 + number // 250}."
                f"{1 + number % 250}, port: 9000}}")
            number += 1
    return lines


def settings_lines(site, zone):
    return [
        "daemon:",
        f"  vm: entry-{zone}-1",
        f"  zone: {zone}",
        "callers: {address: 0.0.0.0, port: 8080}",
        "operators:",
        "  address: 0.0.0.0",
        "  port: 8081",
        "  bootstrapKeyFile: /etc/sardinerill/bootstrap.key",
        "peers:",
        "  address: 10.0.0.1  # address at which peers reach this VM",
        "  port: 8082",
        "  secretFile: /etc/sardinerill/peers.secret",
        "platform: {address: 10.0.0.250, port: 8000, timeoutMs: 500}",
        "cutOff: {serveKeysForMs: 10000}",
        "log: {level: info, format: json}",
    ]


def main():
    root = pathlib.Path(__file__).resolve().parent.parent / "examples"
    for name, site in SITES.items():
        folder = root / name
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "fleet.yaml").write_text("\n".join(fleet_lines(site)) + "\n")
        (folder / "daemon.yaml").write_text(
            "\n".join(settings_lines(site, site["zones"][0])) + "\n")


main()
