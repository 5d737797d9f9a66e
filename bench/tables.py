"""Tables of benchmark results, printed and written to out/ as CSV and as plots."""

import csv
import pathlib

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot as plt  # noqa: E402

OUTPUT_DIR = pathlib.Path(__file__).resolve().parent.parent / "out"


class Table:
    """A table of results.

    :param name: file name without suffix.
    :param columns: column names; the last `values` columns are figures, the others label a row.
    """

    def __init__(self, name: str, title: str, columns: list[str], values: int) -> None:
        self.name = name
        self.title = title
        self.columns = columns
        self.values = values
        self.rows: list[list[object]] = []

    def add(self, *cells: object) -> None:
        """Add a row."""
        self.rows.append(list(cells))

    def show(self) -> None:
        """Print the table and write its files."""
        texts = [self.columns] + [[_text(cell) for cell in row] for row in self.rows]
        widths = [max(len(row[index]) for row in texts) for index in range(len(self.columns))]
        print(f"\n{self.title}")
        for row in texts:
            cells = (cell.rjust(width) for cell, width in zip(row, widths, strict=True))
            print("  ".join(cells))
        OUTPUT_DIR.mkdir(exist_ok=True)
        with open(OUTPUT_DIR / f"{self.name}.csv", "w", newline="") as stream:
            writer = csv.writer(stream)
            writer.writerow(self.columns)
            writer.writerows(self.rows)
        self._plot()

    def _plot(self) -> None:
        """Draw a bar chart of the first figure of each row."""
        labels = [" ".join(_text(cell) for cell in row[: -self.values]) for row in self.rows]
        heights = [float(row[-self.values]) for row in self.rows]
        figure, axes = plt.subplots(figsize=(8, 1 + 0.25 * len(labels)))
        axes.barh(labels, heights)
        axes.invert_yaxis()
        axes.set_xlabel(self.columns[-self.values])
        axes.set_title(self.title, fontsize=9)
        figure.tight_layout()
        figure.savefig(OUTPUT_DIR / f"{self.name}.png", dpi=100)
        plt.close(figure)


def _text(cell: object) -> str:
    return f"{cell:.3g}" if isinstance(cell, float) else str(cell)


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which a fraction of the values lies, or 0 without values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] if ordered else 0.0


def median(values: list[float]) -> float:
    """Return the median, the upper one for an even number of values."""

    return percentile(values, 0.5)
