"""Tests of reading settings files."""

from baobabring.settings import InvalidSettings, Settings, read_settings

VALID = """\
[instance]
id = sapporo-1
zone = sapporo
[callers]
address = 127.0.0.1:8001
[peers]
address = 127.0.0.1:9001
[operators]
address = 127.0.0.1:7001
[platform]
url = http://127.0.0.1:6000
"""


def test_valid_file_is_read(tmp_path):
    path = tmp_path / "a.ini"
    path.write_text(VALID)
    settings = read_settings(path)
    assert isinstance(settings, Settings)
    assert settings.instance.zone == "sapporo"


def test_all_findings_are_reported_with_their_location(tmp_path):
    path = tmp_path / "a.ini"
    text = VALID.replace("127.0.0.1:8001", "127.0.0.1:99999")
    text = text.replace("zone = sapporo", "zome = sapporo")
    path.write_text(text + "log_appends_per_s = 0\n")
    result = read_settings(path)
    assert isinstance(result, InvalidSettings)
    lines = [str(f).replace(str(path), "a.ini") for f in result.findings]
    assert lines == [
        "a.ini:1: [instance] zone: missing",
        "a.ini:3: [instance] zome = 'sapporo': unknown key; "
        "the nearest known is 'zone'",
        "a.ini:5: [callers] address = '127.0.0.1:99999': "
        "port must be a number from 0 to 65535",
        "a.ini:12: [platform] log_appends_per_s = '0': Input should be greater than 0",
    ]


def test_unreadable_file_is_a_finding(tmp_path):
    result = read_settings(tmp_path / "none.ini")
    assert "No such file" in str(result.findings[0])
