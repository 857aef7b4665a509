"""Operators patch the configuration at a given version."""

import json


def test_stale_patch_is_refused_and_changes_nothing(local_fleet, tmp_path):
    # Guards against a lost update: two operators read version N, and the first patch
    # makes N+1. The second, based on N, must be refused with its result code instead of
    # being merged, and the store must keep the first.
    shown = json.loads(local_fleet.ctl("config", "show").stdout)
    version = shown["version"]
    first = tmp_path / "first.toml"
    first.write_text('leaving = ["engine-2"]\n')
    second = tmp_path / "second.toml"
    second.write_text('leaving = ["entry-2"]\n')

    landed = local_fleet.ctl("config", "patch", str(first), "--version", str(version))
    assert landed.returncode == 0, landed.stderr
    refused = local_fleet.ctl("config", "patch", str(second), "--version", str(version))
    assert refused.returncode == 1
    assert json.loads(refused.stdout)["code"] == 105

    after = json.loads(local_fleet.ctl("config", "show").stdout)
    assert after["version"] == json.loads(landed.stdout)["version"]
    assert 'leaving = ["engine-2"]' in after["config"]
