"""Tests of the example settings files and of the settings reference in docs/."""

import dataclasses
import pathlib
import re
import typing

import pytest

from cassiapitch import bundle, client, config, experiment, settings, standin_settings

ROOT = pathlib.Path(__file__).parent.parent
FILES = sorted((ROOT / "settings").rglob("*.jsonc"))
SCHEMAS = {
    "control": settings.ControlSettings,
    "entry": settings.EntrySettings,
    "operator": client.ClientSettings,
    "bundle": bundle.Bundle,
    "load": experiment.Experiment,
    "standin": standin_settings.StandinSettings,
}


@pytest.mark.parametrize(
    "path", FILES, ids=lambda path: f"{path.parent.name}-{path.stem}"
)
def test_shipped_file_passes_its_checks(path):
    """Guards against an example that its own program refuses."""
    parsed = config.load(path, SCHEMAS[path.stem])
    if isinstance(parsed, bundle.Bundle):
        assert bundle.find_faults(parsed) == []
    if isinstance(parsed, experiment.Experiment):
        assert experiment.find_faults(parsed) == []


def test_both_deployments_have_every_kind_of_file():
    """Guards against a missing example file."""
    folders = {path.parent.name for path in FILES}
    assert folders == {"spoke-and-saddle", "waqa-and-sons"}
    assert len(FILES) == len(folders) * len(SCHEMAS)


@pytest.mark.parametrize("folder", ["spoke-and-saddle", "waqa-and-sons"])
def test_load_agrees_with_the_bundle(folder):
    """Guards against refused calls because an experiment disagrees with its bundle."""
    shipped_bundle = bundle.parse(
        (ROOT / "settings" / folder / "bundle.jsonc").read_text()
    )
    shipped_experiment = experiment.load(ROOT / "settings" / folder / "load.jsonc")
    limits = {
        item.name: (item.rate_tokens_per_s, item.burst_tokens)
        for item in shipped_bundle.client_accounts
    }
    for account in shipped_experiment.accounts:
        assert limits[account.name] == (account.rate_tokens_per_s, account.burst_tokens)
    routes = {(item.method, item.path): item for item in shipped_bundle.routes}
    for item in shipped_experiment.classes:
        if item.kind is experiment.CallKind.ROUTE:
            route = routes[item.method, item.path]
            assert (route.cost_tokens, route.open) == (item.cost_tokens, item.open)
    adapters = {item.name: item.model for item in shipped_bundle.adapters}
    bundle_names = {item.name for item in shipped_bundle.models} | adapters.keys()
    assert set(shipped_experiment.models.names) <= bundle_names
    for name, model in shipped_experiment.models.adapters.items():
        assert adapters[name] == model


def _collect_data_classes(cls, fields_by_class):
    """Collects the field names of a settings class and of the data classes in it."""
    if cls in fields_by_class:
        return
    fields_by_class[cls] = [field.name for field in dataclasses.fields(cls)]
    pending_hints = list(typing.get_type_hints(cls).values())
    while pending_hints:
        hint = pending_hints.pop()
        if dataclasses.is_dataclass(hint):
            _collect_data_classes(hint, fields_by_class)
        pending_hints.extend(typing.get_args(hint))


def test_reference_names_every_field_of_every_settings_class():
    """Guards against fields that the reference lacks, or that no longer exist."""
    fields_by_class = {}
    for cls in SCHEMAS.values():
        _collect_data_classes(cls, fields_by_class)
    text = (ROOT / "docs" / "settings.md").read_text()
    documented = {}
    for section in re.split(r"^### ", text, flags=re.MULTILINE)[1:]:
        title = section.split("\n", 1)[0].strip("` ")
        documented[title] = re.findall(r"^\| `(\w+)` \|", section, re.MULTILINE)
    expected = {cls.__name__: names for cls, names in fields_by_class.items()}
    assert documented == expected
