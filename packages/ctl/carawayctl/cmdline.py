"""Command line of the operators' command, `carawayctl`."""

import os
import sys

import fire
import yaml

from carawayctl import burn as burn_report
from carawayctl import show
from carawayctl.client import Client
from carawayctl.exceptions import CommandError
from carawayroute.config import check_configuration, read_configuration
from carawayroute.exceptions import CarawayrouteError, ConfigurationError
from carawayroute_schema import carawayroute_pb2 as pb


class Commands:
    """Operate carawayroute.

    Every command takes --server (or CARAWAYCTL_SERVER), one or more ip:port separated by commas;
    the first one that can answer is used. With --json the output is JSON instead of a table.
    """

    def __init__(self, server: str = "", json: bool = False) -> None:
        self._server = server or os.environ.get("CARAWAYCTL_SERVER", "")
        self._json = json

    def _call(self, method: str, request):
        return Client(self._server).call(method, request)

    def _show(self, reply, to_table) -> None:
        print(show.as_json(reply) if self._json else to_table(reply))

    def check(self, file: str) -> None:
        """Validate a configuration file without publishing it."""
        _load(file)
        print("the configuration is well formed")

    def publish(self, file: str, based_on: int, author: str = "") -> None:
        """Publish a configuration file to replace version --based_on."""
        configuration = _load(file)
        author = author or os.environ.get("USER", "operator")
        request = pb.PublishRequest(configuration=configuration, based_on=based_on, author=author)
        reply = self._call("Publish", request)
        if reply.errors:
            reasons = "; ".join(f"{error.path}: {error.reason}" for error in reply.errors)
            raise CommandError(f"refused: {reasons}")
        self._show(reply, lambda answer: f"version {answer.version} is in force")

    def read(self) -> None:
        """Show the configuration in force and its version."""
        reply = self._call("ReadConfiguration", pb.ReadConfigurationRequest())
        self._show(reply, _configuration_text)

    def teams(self, id: str = "") -> None:
        """List teams."""
        self._show(self._call("Teams", pb.ListRequest(id=id)), show.teams)

    def guarantees(self, id: str = "") -> None:
        """List guarantees, the jobs that use them, and how many can be reclaimed now."""
        self._show(self._call("Guarantees", pb.ListRequest(id=id)), show.guarantees)

    def workers(self, id: str = "") -> None:
        """List workers and the jobs on them."""
        self._show(self._call("Workers", pb.ListRequest(id=id)), show.workers)

    def jobs(self, id: str = "") -> None:
        """List jobs of all teams, of one team, or one job, with where they run or why they wait."""
        self._show(self._call("Jobs", pb.ListRequest(id=id)), show.jobs)

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        reply = self._call("CancelJob", pb.CancelRequest(job_id=job))
        self._show(reply, lambda answer: f"{job} will be cancelled")

    def drain(self, instance: str, undo: bool = False) -> None:
        """Drain an instance, or put it back in service with --undo."""
        reply = self._call("Drain", pb.DrainRequest(instance=instance, undo=undo))
        word = "back in service" if undo else "draining"
        self._show(reply, lambda answer: f"{instance} is {word}")

    def burn(self, metrics: str = "", objective: float = 0.99, html: str = "") -> None:
        """Report service-level burn by team and kind; --html=FILE also writes a bar chart.

        --metrics (or CARAWAYCTL_METRICS) names the metrics ports of all daemons.
        """
        if not 0 < objective < 1:
            raise CommandError(f"--objective must be between 0 and 1, is {objective}")
        servers = metrics or os.environ.get("CARAWAYCTL_METRICS", "")
        if not servers:
            raise CommandError("no metrics ports given: use --metrics or set CARAWAYCTL_METRICS")
        rows = burn_report.fetch(servers)
        if html:
            with open(html, "w", encoding="utf-8") as stream:
                stream.write(burn_report.as_html(rows, objective))
        to_text = burn_report.as_json if self._json else burn_report.as_table
        print(to_text(rows, objective))


def _load(file: str) -> pb.Configuration:
    """Read and validate a configuration file."""
    try:
        with open(file, encoding="utf-8") as stream:
            tree = yaml.safe_load(stream)
    except (OSError, yaml.YAMLError) as error:
        raise CommandError(f"{file}: {' '.join(str(error).split())}") from error
    try:
        configuration = read_configuration(tree)
        check_configuration(configuration)
    except ConfigurationError as error:
        raise CommandError(f"{file}: {error}") from error
    return configuration


def _configuration_text(reply: pb.ReadConfigurationReply) -> str:
    tree = show.as_json(reply.configuration)
    header = f"# version {reply.version}, offset {reply.offset}, read from {reply.instance}\n"
    return header + yaml.safe_dump(yaml.safe_load(tree), sort_keys=False)


def main() -> None:
    """Run the command."""
    try:
        fire.Fire(Commands)
    except CarawayrouteError as error:
        print(f"carawayctl: {error}", file=sys.stderr)
        sys.exit(1)


if __name__ == "__main__":
    main()
