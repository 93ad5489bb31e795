#!/usr/bin/env python3
"""Writes docs/ROUNDS.md's table from the journal of the users' bench."""

import glob
import json
import os

TRIAL_HEAD = """
## Trials

Days of changed scratch copies, each with a seed of its own, by what was tried; their entries are in the
journal. Processor time is not charged in them.

| site | what was tried | days | mean worth | broken |
|---|---|---|---|---|
"""

HEAD = """# Rounds

Every run on the users' bench, from its journal entry (`bench/rounds.py`). `mean` is the mean worth
of the standard days played, or of all days of a hunt; runs of one code differ by about 0.015. Causes
and conclusions are in the commits. Runs with a dirty tree are trials of the commit that follows, or
were reverted.

| journal | command | site | why | score | mean | days | broken |
|---|---|---|---|---|---|---|---|
"""


def row(entry):
    days = entry.get("days") or []
    standard = [d for d in days if d.get("slot") in ("quiet", "trouble", "scale")] or days
    worth = [d["G"] for d in standard if d.get("G") is not None]
    mean = f"{sum(worth) / len(worth):.3f}" if worth else ""
    broken = "; ".join(
        f"{d['name']}: {', '.join(d['rules'] or {})}{' fault' if d.get('fault') else ''}"
        for d in days
        if d.get("rules") or d.get("fault")
    )
    score = "" if entry.get("score") is None else f"{entry['score']:.3f}"
    why = (entry.get("why") or "").replace("|", "/")
    site = entry.get("site") or "(did not finish)"
    return (
        f"| {entry['id']} | {entry['cmd']} | {site} | {why} | {score} | {mean} | {len(days)} "
        f"| {broken} |\n"
    )


def is_trial_day(entry):
    return entry["cmd"] == "run" and (entry.get("why") or "").startswith("trial:")


def trial_rows(entries):
    groups = {}
    for entry in entries:
        days = entry.get("days") or []
        key = (entry.get("site") or "(did not finish)", entry["why"].replace("|", "/"))
        groups.setdefault(key, []).extend(days)
    for (site, why), days in groups.items():
        worth = [d["G"] for d in days if d.get("G") is not None]
        mean = f"{sum(worth) / len(worth):.3f}" if worth else ""
        broken = sum(1 for d in days if d.get("rules") or d.get("fault"))
        yield f"| {site} | {why.removeprefix('trial: ')} | {len(days)} | {mean} | {broken or ''} |\n"


def journal_paths():
    paths = glob.glob("journal/*.json") + glob.glob("journal/trials/*.json")
    return sorted(paths, key=os.path.basename)


def main():
    entries = [json.load(open(path)) for path in journal_paths()]
    with open("docs/ROUNDS.md", "w") as page:
        page.write(HEAD)
        page.writelines(row(entry) for entry in entries if not is_trial_day(entry))
        page.write(TRIAL_HEAD)
        page.writelines(trial_rows(entry for entry in entries if is_trial_day(entry)))


if __name__ == "__main__":
    main()
