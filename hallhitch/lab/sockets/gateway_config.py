"""The gateway settings of a run, in the platform's configuration format."""

from __future__ import annotations

from typing import Any

from hallhitch.decision import api

EFFECTS = {api.SAFE: "pure", api.KEYED: "token", api.UNSAFE: "side_effect"}


def gateway_settings(settings: api.Settings, index: int, gateways: int, zones: int) -> dict[str, Any]:
    """Convert the settings of one gateway to the platform's configuration format."""
    return {
        "balancers": gateways,
        "index": index,
        "discovery": "push",
        "zones": [f"zone-{zone}" for zone in range(zones)],
        "classes": [_request_class(request_class) for request_class in settings.classes],
        "tiers-of-service": [_plan(plan) for plan in settings.plans],
        "family-info": {"shared-counter": True, "counter-timeout": settings.counter_timeout, "units-top": 1},
        "limits": {
            "connect-timeout": settings.connect_timeout,
            "keepalive": settings.keepalive,
            "send-cap": settings.attempts,
            "retry-after": True,
            "max-retry-after": settings.max_advice,
            "cancel": True,
        },
        "safety": {
            "cold": settings.cold_time,
            "cold-from": settings.cold_from,
            "fall": settings.fall_time,
            "fall-multiple": settings.fall_multiple,
        },
    }


def _request_class(request_class: api.RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aim": request_class.aim,
        "deadline": request_class.deadline,
        "worth": request_class.worth,
        "repeat": EFFECTS[request_class.effect],
        "group": request_class.group,
        "window": request_class.repeat_window,
    }


def _plan(plan: api.Plan) -> dict[str, Any]:
    return {
        "name": plan.name,
        "per-second": plan.rate,
        "peak-units": plan.burst,
        "worth-factor": plan.price,
        "beyond-earns": plan.beyond_worth,
        "overrun-cost": plan.beyond_cost,
    }
