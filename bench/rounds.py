#!/usr/bin/env python3
"""Writes docs/ROUNDS.md's table from the journal of the users' bench."""

import glob
import json

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


def main():
    entries = [json.load(open(path)) for path in sorted(glob.glob("journal/*.json"))]
    with open("docs/ROUNDS.md", "w") as page:
        page.write(HEAD)
        page.writelines(row(entry) for entry in entries)


if __name__ == "__main__":
    main()
