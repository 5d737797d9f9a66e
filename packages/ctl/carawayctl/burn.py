"""Service-level burn rates, added up from the daemons' metrics ports."""

import html
import json
import urllib.error
import urllib.request

from carawayctl.exceptions import CommandError
from carawayctl.show import table
from carawayroute.burn import WINDOWS_MS, Count

FETCH_TIMEOUT_S = 5
BAR_SCALE_PX = 40
MAX_BAR_PX = 400


class BurnRow:
    """Outcomes of one team and kind by window, added up over daemons."""

    __slots__ = ("count_by_window", "kind", "team")

    def __init__(self, team: str, kind: str) -> None:
        self.team = team
        self.kind = kind
        self.count_by_window = {window: Count(0, 0) for window in WINDOWS_MS}

    def budget_left(self, objective: float) -> float:
        """Return the unused share of the longest window's error budget.

        :param objective: share of good outcomes to be reached, between 0 and 1.
        """
        longest = max(WINDOWS_MS, key=WINDOWS_MS.__getitem__)
        return 1 - self.count_by_window[longest].burn(objective)


def fetch(servers: str) -> list[BurnRow]:
    """Fetch the outcomes that the daemons counted and add them up.

    :param servers: ``ip:port`` of each daemon's metrics, separated by commas.
    :raises CommandError: a daemon does not answer; the sum would be wrong without its counts.
    """
    rows: dict[tuple[str, str], BurnRow] = {}
    for server in filter(None, (part.strip() for part in servers.split(","))):
        for item in _fetch_one(server):
            row = rows.setdefault((item["team"], item["kind"]), BurnRow(item["team"], item["kind"]))
            for window, count in item["windows"].items():
                row.count_by_window[window].total += count["total"]
                row.count_by_window[window].bad += count["bad"]
    return [rows[key] for key in sorted(rows)]


def _fetch_one(server: str) -> list[dict]:
    try:
        with urllib.request.urlopen(f"http://{server}/burn", timeout=FETCH_TIMEOUT_S) as answer:
            return json.load(answer)
    except (urllib.error.URLError, OSError, ValueError) as error:
        raise CommandError(f"{server}: cannot fetch metrics: {error}") from error


def as_table(rows: list[BurnRow], objective: float) -> str:
    """Return the report as an aligned table."""
    columns = ["TEAM", "KIND", *(f"BURN {window}" for window in WINDOWS_MS), "BAD/ALL", "LEFT"]
    longest = max(WINDOWS_MS, key=WINDOWS_MS.__getitem__)
    shown = []
    for row in rows:
        burns = [f"{row.count_by_window[window].burn(objective):.2f}" for window in WINDOWS_MS]
        count = row.count_by_window[longest]
        left = f"{row.budget_left(objective):.0%}"
        shown.append([row.team, row.kind, *burns, f"{count.bad}/{count.total}", left])
    return table(columns, shown)


def as_json(rows: list[BurnRow], objective: float) -> str:
    """Return the report as JSON."""
    shown = [
        {
            "team": row.team,
            "kind": row.kind,
            "burn": {w: count.burn(objective) for w, count in row.count_by_window.items()},
            "total": {w: count.total for w, count in row.count_by_window.items()},
            "bad": {w: count.bad for w, count in row.count_by_window.items()},
            "budget_left": row.budget_left(objective),
        }
        for row in rows
    ]
    return json.dumps(shown, indent=2)


def as_html(rows: list[BurnRow], objective: float) -> str:
    """Return the report as an HTML page with a bar for each window."""
    lines = ["<!doctype html><meta charset='utf-8'><title>Service-level burn</title>"]
    lines.append(f"<h1>Service-level burn, objective {objective:.2%}</h1><table>")
    for row in rows:
        for window, count in row.count_by_window.items():
            burn = count.burn(objective)
            width = min(MAX_BAR_PX, round(burn * BAR_SCALE_PX))
            colour = "#c0392b" if burn > 1 else "#2e7d32"
            name = html.escape(f"{row.team} {row.kind} {window}")
            bar = f"<div style='background:{colour};height:1em;width:{width}px'></div>"
            lines.append(f"<tr><td>{name}<td>{burn:.2f}<td>{bar}</tr>")
    lines.append("</table>")
    return "\n".join(lines)
