"""Settings files: invalid ones are refused with the name of the wrong key."""

import pytest

from mulberrydock.exceptions import SettingsError
from mulberrydock.settings import default_settings_text, parse_settings

GOOD = default_settings_text("lagos")


@pytest.mark.parametrize(
    "old, new, named",
    [
        ('name = "lagos"', 'name = "lagos"\nflavour = 1', "flavour"),
        ("rank = 1", "rank = 19", "classes[3].rank"),
        ("deadline_seconds = 3.0", 'deadline_seconds = "soon"', "deadline_seconds"),
        ("checks_fencing = true", "checks_fencing = 3", "engines[0].checks_fencing"),
        ('address = "127.0.0.1:17400"', 'address = "nowhere"', "store.address"),
        ('data_centre = "ikeja"', 'data_centre = "mars"', "data_centre"),
        ('engine = "engine-5"', 'engine = "engine-9"', "engine-9"),
        ('role = "auto"', 'role = "teacher"', "role"),
        ('name = "engine-2"', 'name = "engine-1"', "named twice"),
        ("leaving = []", 'leaving = ["vm-x"]', "leaving[0]"),
        ("[deployment]", "[deployment", "not TOML"),
    ],
)
def test_invalid_settings_error_names_the_key(old, new, named):
    assert old in GOOD
    with pytest.raises(SettingsError) as caught:
        parse_settings(GOOD.replace(old, new, 1))
    assert named in str(caught.value)
    assert "[103 INVALID_SETTINGS]" in str(caught.value)


@pytest.mark.parametrize("name", ["lagos", "montevideo"])
def test_embedded_deployments_load(name):
    settings = parse_settings(default_settings_text(name))
    assert len(settings.engines) == 5
    assert len(settings.services) == 3
    assert len(settings.entries) == 8
    assert len(settings.data_centres) == 3
