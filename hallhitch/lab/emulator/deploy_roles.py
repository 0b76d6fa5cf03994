"""The roles of the deploy file, as the emulator starts them."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Final

ROOT: Final = Path(__file__).parents[3]
DEPLOY_FILE: Final = ROOT / "deploy" / "system.toml"


@dataclass(frozen=True, slots=True)
class Role:
    """A role of the deploy file: the module of its program, its class of machines and the services that it provides."""

    module: str
    machine_class: str
    serves: tuple[str, ...]


def read_roles(path: Path = DEPLOY_FILE) -> dict[str, Role]:
    """Read the roles of the deploy file, by name."""
    with open(path, "rb") as file:
        tables = tomllib.load(file)["roles"]
    return {name: Role(table["run"].split()[-1], table["on"], tuple(table["serves"])) for name, table in tables.items()}
