#!/usr/bin/env python3
"""Writes changed copies of a site file of the users' bench, for deployments that nobody has seen.

    bench/variants.py SITE DIRECTORY

The copies are not kept in the repository. `fleetbench hunt COPY` plays days on one.
"""

import pathlib
import re
import sys

# Kinds of trouble that the sites of the first milestone lack.
MORE_TROUBLES = """
  { kind = "scale_out", share = 0.3 },
  { kind = "reset_conns", share = 0.4, x = 0.6, for_s = 5.0 },
  { kind = "hup", share = 0.5 },
  { kind = "clock_step", x = 4000.0, share = 0.5, for_s = 5.0, how = "back" },
  { kind = "srv_slow", share = 0.2, x = 4.0, for_s = 5.0 },
  { kind = "srv_cut", share = 0.25, for_s = 5.0 },
  { kind = "srv_cut", share = 0.25, for_s = 5.0, how = "reborn" },
  { kind = "replace_with_reuse", share = 0.2 },
  { kind = "replace_with_reuse", share = 0.2, how = "drain" },
  { kind = "node_freeze", how = "renewed", for_s = 4.0 },
  { kind = "platform_down", for_s = 6.0, how = "silent lapse" },
  { kind = "platform_down", for_s = 4.0, how = "nodes leader" },
  { kind = "core_cut", count = 1, for_s = 4.0, how = "giver" },
  { kind = "core_cut", count = 2, for_s = 4.0, how = "one_way" },
  { kind = "node_kill", on = "core", count = 1, for_s = 2.0, how = "giver" },
  { kind = "garble", share = 0.5, x = 0.05, for_s = 5.0, how = "unframed" },
  { kind = "garble", share = 0.5, x = 0.05, for_s = 5.0, how = "early" },
"""

# Kinds that need the contracts of the grown sites.
HEALTH_TROUBLES = """
  { kind = "srv_flap", share = 0.2, for_s = 6.0, gap_s = 1.5 },
  { kind = "srv_lying_health", share = 0.2, for_s = 5.0, how = "errors" },
  { kind = "srv_lying_health", share = 0.2, for_s = 5.0, how = "hang" },
  { kind = "srv_lying_health", share = 0.2, for_s = 5.0, how = "bad" },
  { kind = "idle_race", share = 0.5, x = 300.0 },
"""


def setting(name, value):
    """Changes every value of a key."""
    return lambda text: re.sub(rf"(?m)^{name} = .*$", f"{name} = {value}", text)


def field(name, value):
    """Changes every value of a field of an inline table."""
    return lambda text: re.sub(rf"\b{name} = [-0-9.]+", f"{name} = {value}", text)


def added(table, lines):
    """Adds lines to a table."""
    return lambda text: text.replace(f"\n[{table}]\n", f"\n[{table}]\n{lines}\n", 1)


def troubles(lines):
    """Adds to the kinds of trouble that days are drawn from."""
    return lambda text: text.replace("\ntroubles = [\n", "\ntroubles = [" + lines, 1)


def contracts(*names):
    """Puts more parts of the rules in force."""
    more = "".join(f', "{name}"' for name in names)
    return lambda text: re.sub(r"(?m)^(contracts = .*)\]$", rf"\1{more}]", text)


VARIANTS = {
    "more-kinds": [troubles(MORE_TROUBLES)],
    "health": [contracts("health", "pool"), troubles(HEALTH_TROUBLES)],
    "news": [
        added("bounds", "even = true\ncloses = true\nattends = true"),
        added("timing", "truthful = true"),
    ],
    "tight-bounds": [setting("drain_ms", 1000), setting("config_ms", 1000)],
    "short-grace": [setting("grace_s", 4.0)],
    "fenced": [setting("fenced", "true")],
    "poor-store": [
        setting("writes_per_s", 100.0),
        setting("reads_per_s", 400.0),
        setting("tx_ms", 25.0),
    ],
    "few-slots": [field("slots", 6), field("batch", 6)],
    "many-slots": [field("slots", 200), field("batch", 200)],
    "one-of-each": [field("count", 1)],
    "late-list": [setting("lag_ms", 2500)],
    "small-slack": [setting("budget_slack", 6.0)],
    "far-zones": [setting("cross_zone_ms", 6.0), setting("client_ms", 12.0)],
    "slow-heartbeat": [setting("beat_ms", 2500)],
}


def main():
    site, out = pathlib.Path(sys.argv[1]), pathlib.Path(sys.argv[2])
    out.mkdir(parents=True, exist_ok=True)
    text = site.read_text()
    for name, changes in VARIANTS.items():
        copy = text
        for change in changes:
            copy = change(copy)
        assert copy != text, name
        copy = re.sub(r'(?m)^name = "(.*)"$', rf'name = "\1-{name}"', copy, count=1)
        (out / f"{site.stem}-{name}.toml").write_text(copy)
    # The bench looks for the wire's table beside the site file.
    (out / "wire.json").write_text((site.parent / "wire.json").read_text())


if __name__ == "__main__":
    main()
