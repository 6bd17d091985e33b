"""The operators' command-line tool, ``tarragonrudder``."""

import contextlib
import dataclasses
import pathlib
import sys
import typing as t
from importlib import metadata

import fire
import trio

from tarragonrudder.commands.difference import compare_folders
from tarragonrudder.commands.exit_code import ExitCode
from tarragonrudder.commands.explanation import explain_route
from tarragonrudder.commands.history import read_history
from tarragonrudder.commands.local_folder import (
    FolderBase,
    read_base,
    read_folder,
    write_base,
    write_files,
)
from tarragonrudder.commands.output import print_json, print_table
from tarragonrudder.commands.remote import FleetReport, RemoteSession, run_remote
from tarragonrudder.commands.review import (
    describe_review,
    print_review,
    review_path,
)
from tarragonrudder.commands.tool_settings import choose_platform, read_tool_settings
from tarragonrudder.edges.exchange import ExchangeClient
from tarragonrudder.edges.folder import build_configuration
from tarragonrudder.edges.peer import parse_secrets
from tarragonrudder.edges.pieces import digest_files
from tarragonrudder.edges.platform_client import PlatformError, PlatformOutcomeUnknown
from tarragonrudder.edges.statsd_metrics import StatsdMetrics
from tarragonrudder.edges.tls import make_peer_context
from tarragonrudder.errors import (
    FolderConflictError,
    FolderError,
    PieceError,
    RecordError,
    RouterError,
)

ACCEPT_TIMEOUT = 14.0  # seconds for a node to accept or reject a folder


class UnknownRequest(RouterError):
    """Raised if the given logs have no line of the request."""


class Commands:
    """Check, apply and inspect the folder of configuration files.

    The platform's address comes from --platform, or from [operator] in the INI
    file that --settings or TARRAGONRUDDER_SETTINGS names.
    """

    def explain(self, *files: str, request: str) -> None:
        """Print the history of one request from the logs of any number of nodes.

        Example: tarragonrudder explain node-1.log node-2.log --request ID
        """
        paths = [pathlib.Path(str(file)) for file in files]
        history = read_history(paths, str(request))
        for sentence in history.unreadable:
            print(f"tarragonrudder: {sentence}", file=sys.stderr)
        if not history.request_records:
            raise UnknownRequest(f"no line of request {request}; name all nodes' logs")
        start = history.request_records[0].time
        for record in history.request_records:
            print(record.describe(start))
        if history.context_records:
            print("around it:")
        for record in history.context_records:
            print(record.describe(start))

    def check(
        self, folder: str, against: str | None = None, json: bool = False
    ) -> None:
        """Check a folder, or a routing document in JSON, without the platform.

        Prints what is wrong, what can never match and which limits contradict each
        other, and, with --against, what differs from the version in force.

        Example: tarragonrudder check next.json --against in-force.json
        """
        review = review_path(str(folder), None if against is None else str(against))
        if json:
            print_json(describe_review(review))
        else:
            print_review(review)
        if not review.is_valid:
            raise SystemExit(ExitCode.INVALID)

    def diff(
        self,
        folder: str,
        platform: str | None = None,
        settings: str | None = None,
        json: bool = False,
    ) -> None:
        """Show what apply would change; exit with code 1 if anything differs."""
        tool = read_tool_settings(settings)
        files = read_folder(str(folder))
        address = choose_platform(platform, tool)
        snapshot = run_remote(
            address, tool.operator.timeout, lambda remote: remote.pull()
        )
        differences = compare_folders(snapshot.files, files)
        if json:
            print_json([dataclasses.asdict(item) for item in differences])
        else:
            rows = [(d.section, d.key, d.before, d.after) for d in differences]
            print_table(
                ("section", "key", f"revision {snapshot.revision}", "here"), rows
            )
        if digest_files(files) != digest_files(snapshot.files):
            raise SystemExit(ExitCode.DIFFERENT)

    def apply(
        self,
        folder: str,
        platform: str | None = None,
        revision: int | None = None,
        wait: float = ACCEPT_TIMEOUT,
        settings: str | None = None,
        json: bool = False,
    ) -> None:
        """Write a folder to the platform, unless another operator changed it.

        The folder must be based on the platform's current revision: the one that
        the last pull or apply saved, or the one given with --revision. With wait=0,
        the command does not wait until a node has accepted or rejected the folder.
        """
        tool = read_tool_settings(settings)
        files = read_folder(str(folder))
        digest = build_configuration(files, 1).digest
        base = read_base(str(folder)).revision if revision is None else int(revision)
        address = choose_platform(platform, tool)
        written = run_remote(
            address, tool.operator.timeout, lambda remote: remote.apply(base, files)
        )
        _save_base(str(folder), FolderBase(written, digest))
        generation = None
        if wait > 0:
            accepted = run_remote(
                address,
                tool.operator.timeout,
                lambda remote: remote.wait_accepted(written, float(wait)),
            )
            generation = accepted.generation
        if json:
            print_json({"revision": written, "generation": generation})
            return
        print(f"the folder was written at revision {written}")
        if generation is not None:
            print(f"accepted as generation {generation}")

    def pull(
        self,
        folder: str,
        platform: str | None = None,
        force: bool = False,
        settings: str | None = None,
        json: bool = False,
    ) -> None:
        """Write the platform's folder into a local one and save its revision."""
        tool = read_tool_settings(settings)
        address = choose_platform(platform, tool)
        if not force:
            _check_unchanged(str(folder))
        snapshot = run_remote(
            address, tool.operator.timeout, lambda remote: remote.pull()
        )
        if snapshot.revision == 0:
            raise FolderError(["the platform has no folder yet; apply one first"])
        write_files(str(folder), snapshot.files)
        write_base(
            str(folder), FolderBase(snapshot.revision, digest_files(snapshot.files))
        )
        if json:
            print_json({"revision": snapshot.revision, "files": sorted(snapshot.files)})
            return
        print(f"{len(snapshot.files)} files of revision {snapshot.revision}")

    def status(
        self,
        platform: str | None = None,
        secret_file: str | None = None,
        settings: str | None = None,
        json: bool = False,
    ) -> None:
        """Show what each node has in force, and why a folder was rejected."""
        tool = read_tool_settings(settings)
        address = choose_platform(platform, tool)
        path = secret_file or tool.operator.peer_secret_file

        async def work(remote: RemoteSession) -> FleetReport:
            if path is None:
                return await remote.report(None)
            secrets = parse_secrets(pathlib.Path(str(path)).read_bytes())
            context = make_peer_context(tool.tls)
            exchange = ExchangeClient(secrets, context, StatsdMetrics(None, 0))
            try:
                return await remote.report(exchange)
            finally:
                await exchange.close()

        report = run_remote(address, tool.operator.timeout, work)
        if json:
            print_json(_describe_report(report))
        else:
            _print_report(report)
        if not report.in_force:
            raise SystemExit(ExitCode.NOT_IN_FORCE)

    def route(
        self,
        folder: str,
        model: str,
        account: str | None = None,
        data_center: str | None = None,
        without: t.Sequence[str] | str = (),
        json: bool = False,
    ) -> None:
        """Explain which chain a request for a model would take, offline."""
        configuration = build_configuration(read_folder(str(folder)), 1)
        names = without.split(",") if isinstance(without, str) else without
        excluded = frozenset(str(name) for name in names if name)
        explanation = explain_route(
            configuration,
            str(model),
            str(account) if account is not None else None,
            str(data_center) if data_center is not None else None,
            excluded,
        )
        if json:
            print_json(explanation)
        else:
            rows = []
            for stage in explanation.stages:
                others = ", ".join(stage.others) or "-"
                rows.append(
                    (stage.upstream, stage.layers, stage.data_center, stage.accelerator)
                    + (f"{stage.speed:g}", others)
                )
            header = ("upstream", "layers", "data centre", "accelerator")
            print_table((*header, "layer tokens/s", "others for it"), rows)
            for reason in explanation.reasons:
                print(f"- {reason}")
        if not explanation.stages:
            raise SystemExit(ExitCode.INVALID)


def _save_base(folder: str, base: FolderBase) -> None:
    try:
        write_base(folder, base)
    except OSError as error:
        text = f"written at revision {base.revision}, which can't be saved: {error}"
        print(f"tarragonrudder: {text}; give --revision next time", file=sys.stderr)


def _check_unchanged(folder: str) -> None:
    """Raise if the local files changed since the last pull or apply."""
    try:
        files = read_folder(folder)
    except FolderError:
        if any(pathlib.Path(folder).glob("*.ini")):
            raise
        return
    if read_base(folder).digest != digest_files(files):
        raise FolderConflictError(
            f"{folder} has changes that were not applied; save them, or pull into a "
            "new folder, or give --force to lose them"
        )


def _describe_report(report: FleetReport) -> dict[str, t.Any]:
    item = dataclasses.asdict(report)
    for node, found in zip(item["nodes"], report.nodes, strict=True):
        node["status"] = found.status.model_dump() if found.status else None
    item["in_force"] = report.in_force
    return item


def _print_report(report: FleetReport) -> None:
    print(
        f"folder revision {report.folder_revision}, accepted generation "
        f"{report.generation} of revision {report.accepted_folder_revision}"
    )
    for finding in report.rejected:
        print(f"rejected: {finding}")
    rows = []
    for node in report.nodes:
        status = node.status
        if status is None:
            rows.append((node.name, node.data_center, "?", "?", "?", "?", node.fault))
            continue
        state = "stopping" if status.stopping else "not ready"
        if status.ready:
            state = "ready"
        platform = "away" if status.platform_error else "up"
        rows.append(
            (node.name, node.data_center, str(status.generation), state)
            + (str(status.in_flight), platform, "")
        )
    header = ("node", "data centre", "generation", "state", "in flight", "platform")
    print_table((*header, ""), rows)


def _choose_exit_code(error: Exception) -> ExitCode:
    match error:
        case FolderConflictError():
            return ExitCode.CONFLICT
        case FolderError():
            return ExitCode.INVALID
        case PlatformOutcomeUnknown():
            return ExitCode.UNKNOWN
        case trio.TooSlowError():
            return ExitCode.NOT_IN_FORCE
        case PlatformError() | PieceError() | RecordError():
            return ExitCode.UNAVAILABLE
    return ExitCode.USAGE


def _describe_error(error: Exception) -> str:
    match error:
        case trio.TooSlowError():
            return (
                "the folder was written, but no node accepted or rejected it in time; "
                "run status"
            )
        case PlatformOutcomeUnknown():
            return f"the folder may have been written; run diff ({error})"
        case OSError():
            return f"{error.filename}: {error.strerror}; name another file"
    return str(error)


def main(argv: t.Sequence[str] | None = None) -> None:
    """Run one command."""
    try:
        with contextlib.suppress(BrokenPipeError):
            arguments = sys.argv[1:] if argv is None else list(argv)
            if arguments == ["--version"]:
                print(f"tarragonrudder {metadata.version('tarragonrudder')}")
                return
            fire.Fire(Commands(), command=arguments, name="tarragonrudder")
    except (RouterError, OSError, trio.TooSlowError) as error:
        print(f"tarragonrudder: {_describe_error(error)}", file=sys.stderr)
        raise SystemExit(_choose_exit_code(error)) from error


if __name__ == "__main__":
    main()
