"""Manifests of a small deployment."""

from typing import Any

HOST = "ficu95.example"
SERVICE = "wuno96b"
LLM = "huvo11a"
KEY = "i9n73hh2b9wu3fexd9dn"
TENANT = "hule930"
MODEL = "daka510000"


def plain_manifest(version: int) -> dict[str, Any]:
    """Returns a manifest with a route to a plain service."""
    return {
        "version": version,
        "routes": [
            {
                "name": "r-828m82t",
                "host": HOST,
                "pathPrefix": "/pufi791/",
                "kind": "safe",
                "timeoutMs": 1200 + version,
                "targetLatencyMs": 150,
                "priority": 1,
                "service": SERVICE,
                "maxAttempts": 2,
                "authExempt": False,
                "stickySessions": False,
                "resumable": False,
            }
        ],
        "services": [_plain_service()],
        "limits": _limits(),
        "tenants": [_tenant()],
    }


def model_manifest(
    version: int, max_attempts: int = 2, rate_per_s: int = 200_000
) -> dict[str, Any]:
    """Returns a manifest with a route for resumable streams of a model.

    A rate of 0 leaves the tenant without a usage cap.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": "r-nr26tta",
                "host": HOST,
                "pathPrefix": "/lohu930/",
                "kind": "streaming",
                "timeoutMs": 15000,
                "targetLatencyMs": 1500,
                "priority": 0,
                "service": LLM,
                "maxAttempts": max_attempts,
                "authExempt": False,
                "stickySessions": True,
                "resumable": True,
                "gapAimMs": 300,
            }
        ],
        "services": [
            {
                "name": LLM,
                "healthPath": "/health",
                "maxConnections": 780,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 162799,
                    "models": [
                        {
                            "name": MODEL,
                            "weightsMb": 72700.0,
                            "loadS": 1.2,
                            "adapters": 0,
                            "adapterMb": 66.0,
                            "warmS": 0.6,
                            "diskS": 0.78,
                        }
                    ],
                    "weightsMb": 200000.0,
                    "adapterSlots": 8,
                    "loadsPerS": 1.1,
                },
            },
            _plain_service(),
        ],
        "limits": _limits(),
        "tenants": [_tenant(rate_per_s)],
    }


def _plain_service() -> dict[str, Any]:
    return {
        "name": SERVICE,
        "healthPath": "/health",
        "maxConnections": 208,
        "protocol": "h1",
        "tls": False,
    }


def _limits() -> dict[str, int]:
    return {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }


def _tenant(rate_per_s: int = 200_000) -> dict[str, Any]:
    return {
        "name": TENANT,
        "apiKeys": [KEY],
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 200,
        "ratePerS": rate_per_s,
        "burst": rate_per_s,
    }
