"""Builds the testbed's bundle: roles, models, adapters, accounts and routes."""

import dataclasses
from typing import Any

from cassiapitch import keygen

ENGINE_MEMORY_MIB = 40_960
ROLES = ("kit-assistant", "shopfront")
SERVICE_ROLE = "order-desk"
_DEFAULT_STORE = {"loads_per_s": 4.0, "loads_in_flight_count": 4}


@dataclasses.dataclass(frozen=True, slots=True)
class TestbedBundle:
    """The content of a testbed's bundle.

    Attributes:
        credentials: Maps each role to its bearer credential.
        models: Maps each model to its role.
        adapters: Maps each adapter to its model.
        accounts: Maps each client account to (rate, burst, weight).
        roles: The two engine roles.
        store: Limits of the weight store, with the fields of the bundle.
    """

    credentials: dict[str, str]
    models: dict[str, str]
    adapters: dict[str, str]
    accounts: dict[str, tuple[int, int, int]]
    roles: tuple[str, str] = ROLES
    store: dict[str, Any] = dataclasses.field(
        default_factory=lambda: dict(_DEFAULT_STORE)
    )

    def document(self, version: int, **sections: Any) -> dict[str, Any]:
        """Returns the bundle as a JSON document; `sections` replace its fields."""
        engine_roles = [
            {
                "name": name,
                "kind": "engine",
                # The second role's engines ignore fencing, as some real engines do.
                "fencing": name == self.roles[0],
                "credential_sha256": keygen.digest(self.credentials[name]),
                "memory_limit_mib": ENGINE_MEMORY_MIB,
            }
            for name in self.roles
        ]
        service_role = {
            "name": SERVICE_ROLE,
            "kind": "service",
            "credential_sha256": keygen.digest(self.credentials[SERVICE_ROLE]),
        }
        document = {
            "version": version,
            "roles": [*engine_roles, service_role],
            "models": [
                {
                    "name": name,
                    "role": role,
                    "memory_mib": 6_000 + 1_000 * (number % 4),
                    "minimum_copies": 1 if number % 4 == 0 else 0,
                }
                for number, (name, role) in enumerate(self.models.items())
            ],
            "adapters": [
                {"name": name, "model": model, "memory_mib": 200}
                for name, model in self.adapters.items()
            ],
            "client_accounts": [
                {
                    "name": name,
                    "rate_tokens_per_s": rate,
                    "burst_tokens": burst,
                    "weight": weight,
                }
                for name, (rate, burst, weight) in self.accounts.items()
            ],
            "routes": [
                _route("/size-chart", "GET", is_idempotent=True, is_open=True, cost=0),
                _route("/catalogue", "GET", is_idempotent=True, is_open=False, cost=5),
                _route(
                    "/orders/team", "POST", is_idempotent=False, is_open=False, cost=50
                ),
            ],
            "store": self.store,
        }
        return {**document, **sections}


def _route(
    path: str, method: str, *, is_idempotent: bool, is_open: bool, cost: int
) -> dict[str, Any]:
    return {
        "path": path,
        "method": method,
        "role": SERVICE_ROLE,
        "idempotent": is_idempotent,
        "open": is_open,
        "timeout_ms": 10_000,
        "cost_tokens": cost,
    }


def make_testbed_bundle(
    model_count: int, adapter_count: int, roles: tuple[str, str] = ROLES
) -> TestbedBundle:
    """Returns a bundle's content with five client accounts, two of them large."""
    models = {f"model-{number:02d}": roles[number % 2] for number in range(model_count)}
    names = list(models)
    adapters = {
        f"adapter-{number:02d}": names[number % min(4, model_count)]
        for number in range(adapter_count)
    }
    credentials = {name: keygen.new_key() for name in (*roles, SERVICE_ROLE)}
    accounts = {
        "jersey-shop": (12_000, 36_000, 5),
        "team-portal": (9_000, 27_000, 4),
        "club-orders": (2_000, 8_000, 2),
        "mockup-batch": (1_500, 6_000, 1),
        "store-kiosk": (200, 600, 1),
    }
    return TestbedBundle(credentials, models, adapters, accounts, roles)
