import hashlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tarragonrudder.edges.folder import ConfigurationBuilder, build_configuration
from tarragonrudder.edges.pieces import (
    decompress_piece,
    digest_files,
    join_files,
    pack_files,
    read_manifest,
    split_text,
)
from tarragonrudder.edges.schema import SECTIONS
from tarragonrudder.errors import FolderError, PieceError

SECRET = "sk-very-secret"
HASH = hashlib.sha256(SECRET.encode()).hexdigest()
BASE = """\
[model:m@1]
layers = 12

[engine:a]
address = http://10.0.0.1:9000
data_center = mi-1
accelerator = l40
model = m@1
layers = 0-7

[engine:b]
address = http://10.0.0.2:9000
data_center = mi-2
accelerator = l40
model = m@1
layers = 4-11

[link:mi-1 mi-2]
latency_ms = 0.5
bytes_per_second = 1e9

[route:m]
model = m@1

[priority:high]
level = 0
deadline_s = 10
"""
ACCOUNT = "[account:courts]\nrequests_per_second = 5\nburst = 9\n"
HOURS = "[busy-hours:day]\nmodel = m@1\ndays = mon tue\nstart = 08:00\nend = 12:00\n"


def build_findings(files: dict[str, str]) -> list[str]:
    with pytest.raises(FolderError) as caught:
        build_configuration(files, 1)
    return list(caught.value.findings)


def test_a_later_file_overrides_key_by_key() -> None:
    files = {
        "10-base.ini": BASE,
        "20-a.ini": ACCOUNT + f"key_hashes = {HASH}\n",
        "30-b.ini": "[account:courts]\nburst = 70\npriority = high\n",
    }
    (account,) = build_configuration(files, 7).accounts
    assert (account.requests_per_second, account.burst) == (5, 70)
    assert account.priority == "high"


@pytest.mark.parametrize(
    ("later", "names"),
    [
        ({"20.ini": "[route:m]\nremove = yes\n"}, []),
        (
            {
                "20.ini": "[route:m]\nremove = yes\n",
                "30.ini": "[route:m]\nmodel = m@1\n",
            },
            ["m"],
        ),
    ],
)
def test_a_later_file_removes_a_section(
    later: dict[str, str], names: list[str]
) -> None:
    configuration = build_configuration({"10.ini": BASE, **later}, 1)
    assert [route.name for route in configuration.model_routes] == names


@pytest.mark.parametrize(
    ("text", "finding"),
    [
        ("x = 1\n", "20.ini:1: a key before the first section"),
        ("[route:q]\nmodel m@1\n", "20.ini:2: neither a section nor key = value"),
        ("[route:q]\nmodel = m@1\nmodel = m@1\n", "20.ini:3: [route:q] model: stands"),
        ("[route:q]\nmodel = m@1\n[route:q]\n", "20.ini:3: [route:q] stands twice"),
        ("[rout:q]\nmodel = m@1\n", "20.ini:1: [rout:q]: unknown kind of section; did"),
        ("[route:q]\nmodle = m@1\n", "20.ini:2: [route:q] modle: unknown key; did you"),
        ("[route:q]\n", "20.ini:1: [route:q] model: missing; add model"),
        ("[route:]\nmodel = m@1\n", "20.ini:1: [route:]: the name is wrong; write"),
        ("[model:m]\nlayers = 2\n", "20.ini:1: [model:m]: the name is wrong; write"),
        ("[route:q]\nmodel = n@1\n", "20.ini:1: [route:q]: there is no [model:n@1]"),
        ("[engine:a]\nlayers = 0-12\n", "[engine:a]: the model's last layer is 11"),
        ("[engine:a]\nlayers = 0-2\n", "[route:m]: no engine holds layer 3"),
        ("[engine:a]\nlayers = 7-3\n", "20.ini:2: [engine:a] layers: the first layer"),
        ("[engine:b]\naddress = http://10.0.0.1:9000\n", "has the same address"),
        ("[engine:b]\naddress = 10.0.0.1:9000\n", "20.ini:2: [engine:b] address: not"),
        ("[engine:b]\naddress = http://h:99999\n", "20.ini:2: [engine:b] address:"),
        ("[engine:b]\nmodel = m@2\n", "there is no [model:m@2]; add it"),
        ("[link:mi-1 mi-9]\nlatency_ms=1\nbytes_per_second=1\n", "mi-9 is unknown"),
        ("[link:mi-1 mi-1]\nlatency_ms=1\nbytes_per_second=1\n", "name two data"),
        ("[link:mi-2 mi-1]\nlatency_ms=1\nbytes_per_second=1\n", "stands twice"),
        ("[link:mi-1 mi-2]\nbytes_per_second=inf\n", "20.ini:2: [link:mi-1 mi-2]"),
        (ACCOUNT + "key_hashes = abc\n", "20.ini:4: [account:courts] key_hashes: each"),
        (ACCOUNT + f"key_hashes = {HASH}\npriority = low\n", "no [priority:low]"),
        (ACCOUNT + f"key_hashes = {HASH}\nweight = -1\n", "20.ini:5: [account:courts]"),
        (
            ACCOUNT + f"key_hashes = {HASH}\n"
            f"[account:b]\nrequests_per_second=1\nburst=1\nkey_hashes={HASH}\n",
            "20.ini:5: [account:b]: account courts has one of its keys",
        ),
        (HOURS + "zone = Europe/Roma\ndemand = 5\n", "20.ini:6: [busy-hours:day] zone"),
        (HOURS + "zone = Europe/Rome\ndemand = 0\n", "20.ini:7: [busy-hours:day]"),
        (
            HOURS.replace("08:00", "24:00") + "zone = Europe/Rome\ndemand = 5\n",
            "20.ini:4: [busy-hours:day] start: write HH:MM",
        ),
        (
            HOURS.replace("mon tue", "mon mon") + "zone = Europe/Rome\ndemand = 5\n",
            "20.ini:3: [busy-hours:day] days: a day stands twice",
        ),
        (
            HOURS.replace("m@1", "m@7") + "zone = Europe/Rome\ndemand = 5\n",
            "20.ini:1: [busy-hours:day]: there is no [model:m@7]",
        ),
        ("[weight-store:x]\nbytes_per_second = 1\n", "write [weight-store:...] with"),
        ("[service-route:r]\n", "20.ini:1: [service-route:r]: no [service:...]"),
        (
            "[service:r1]\naddress=http://h:1\ndata_center=x\nservice=r\n",
            "there is no [service-route:r]",
        ),
        ("[route:m]\nremove = no\n", "20.ini:2: [route:m] remove: only yes"),
        ("[route:m]\nremove = yes\nmodel = m@1\n", "20.ini:2: [route:m] other keys"),
        ("[route:x]\nremove = yes\n", "20.ini:2: [route:x] is in no earlier file"),
        ("[route:x]\nmodel = " + "x" * 20_000, "20.ini:2: the line is too long"),
    ],
)
def test_finding_names_file_line_and_fix(text: str, finding: str) -> None:
    faults = build_findings({"10.ini": BASE, "20.ini": text})
    assert any(finding in fault for fault in faults), faults
    assert all("; " in fault or "did you mean" in fault for fault in faults), faults


@pytest.mark.parametrize(
    ("movable", "hours", "valid"),
    [("no", HOURS, False), ("yes", "", False), ("yes", HOURS, True)],
)
def test_a_planned_model_may_lack_layers(movable: str, hours: str, valid: bool) -> None:
    text = f"[engine:a]\nlayers = 0-2\nmovable = {movable}\n{hours}"
    if hours:
        text += "zone = Europe/Rome\ndemand = 5\n"
    if valid:
        build_configuration({"10.ini": BASE, "20.ini": text}, 1)
        return
    faults = build_findings({"10.ini": BASE, "20.ini": text})
    assert any("no engine holds layer 3" in fault for fault in faults), faults


@pytest.mark.parametrize("key", ["key_hashes", "requests_per_second", "burst"])
def test_findings_never_show_a_value(key: str) -> None:
    text = f"[account:courts]\n{key} = {SECRET}\n"
    assert SECRET not in "\n".join(build_findings({"10.ini": BASE, "20.ini": text}))
    text = f"[account:courts]\nkey_hashes\n{SECRET}\n"
    assert SECRET not in "\n".join(build_findings({"10.ini": BASE, "20.ini": text}))


def test_a_line_number_counts_all_lines_of_a_long_file() -> None:
    routes = "".join(f"[route:r{index}]\nmodel = m@1\n\n" for index in range(2000))
    faults = build_findings(
        {"10.ini": BASE, "20.ini": routes + "[route:z]\nmodle = m\n"}
    )
    assert any(fault.startswith("20.ini:6002: ") for fault in faults), faults


INI_LINE = st.one_of(
    st.sampled_from([f"[{kind}:a]" for kind in SECTIONS]),
    st.sampled_from(["[route:m]", "model = m@1", "layers = 0-3", "remove = yes", "["]),
    st.sampled_from(["key_hashes = é", "zone = Europe/Rome", "= 3", "[]", "[:]"]),
    st.text(max_size=30),
)


@given(
    lines=st.lists(INI_LINE, max_size=30),
    name=st.sampled_from(["05.ini", "20.ini", "x", "../a.ini"]),
)
def test_any_text_builds_or_is_refused(lines: list[str], name: str) -> None:
    files = {"10.ini": BASE, name: "\n".join(lines)}
    try:
        build_configuration(files, 1)
    except FolderError as error:
        assert error.findings


@given(
    first=st.lists(INI_LINE, max_size=12),
    second=st.lists(INI_LINE, max_size=12),
)
def test_a_reused_builder_builds_the_same(first: list[str], second: list[str]) -> None:
    builder = ConfigurationBuilder()
    for lines in (first, second, first):
        files = {"10.ini": BASE, "20.ini": "\n".join(lines)}
        digest = digest_files(files)
        try:
            expected = build_configuration(files, 1)
        except FolderError as error:
            with pytest.raises(FolderError) as caught:
                list(builder.build_in_steps(files, 1, digest))
            assert caught.value.findings == error.findings
            continue
        steps = builder.build_in_steps(files, 1, digest)
        while True:
            try:
                next(steps)
            except StopIteration as stop:
                assert stop.value == expected
                break


@given(
    files=st.dictionaries(
        st.text(max_size=5),
        st.lists(INI_LINE, max_size=40).map("\n".join),
        max_size=4,
    )
)
def test_files_are_restored_from_pieces(files: dict[str, str]) -> None:
    packed = pack_files(files)
    assert join_files(packed.pieces[packed.digest], packed.pieces) == files


def test_one_changed_section_changes_few_pieces() -> None:
    accounts = [f"[account:a{index}]\nburst = 1\n" for index in range(5000)]
    before = pack_files({"20.ini": "".join(accounts)})
    accounts[2500] = "[account:a2500]\nburst = 2\n"
    after = pack_files({"20.ini": "".join(accounts)})
    assert len(set(after.pieces) - set(before.pieces)) == 2
    assert len(split_text("".join(accounts))) > 20


@given(value=st.binary(max_size=200))
def test_a_damaged_piece_is_refused(value: bytes) -> None:
    with pytest.raises(PieceError):
        decompress_piece(value, HASH)


@given(text=st.text(max_size=100) | st.sampled_from(['{"files": [1]}', "[]", "{}"]))
def test_a_damaged_manifest_is_refused(text: str) -> None:
    with pytest.raises(PieceError):
        read_manifest(text)
