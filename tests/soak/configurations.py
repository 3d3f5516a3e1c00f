"""Configurations that differ in limits, routes, customers and keys, within what the checks of the soak assume."""
import platform_fleet as pf

LIMITS = {"idle_timeout_ms": (2000, 3500, 5000, 9000), "max_header_bytes": (2048, 4096, 8192),
          "max_body_bytes": (20000, 60000, 100000), "header_timeout_ms": (1000, 2000)}
# The deadline of the requests, 3 s, stays the shortest limit on their time.
TIMEOUTS_MS = (3000, 4000, 8000)
# At least as many attempts as in the first configuration, since the checks expect that a request finds a sound server.
ATTEMPTS = {"idempotent": (2, 3, 4), "non_idempotent": (2, 3), "streaming": (3, 4, 5)}
PART = "part/"


def draw_routes(rng, routes):
    """Changes routes, and splits some of them, whose requests are served with and without the split."""
    changed = [{**each, "timeout_ms": rng.choice(TIMEOUTS_MS), "max_attempts": rng.choice(ATTEMPTS[each["kind"]])}
               for each in routes]
    parts = [{**each, "name": each["name"] + "-part", "path_prefix": each["path_prefix"] + PART} for each in changed]
    return changed + [part for part in parts if rng.random() < 0.4]


def draw(rng, version, origin, routes, keys, choose=None):
    """A configuration in which callers use the last of `keys`. `choose` is min or max for the limits, drawn otherwise."""
    spare = tuple(f"spare-{rng.randrange(4)}" for _ in range(rng.randrange(2)))
    tenants = {name: (f"{name}-{version}",) for name in ("south", "east") if rng.random() < 0.4}
    drawn = pf.configuration(version, origin, draw_routes(rng, routes), spare + tuple(keys), tenants)
    drawn["limits"] = {name: (choose or rng.choice)(values) for name, values in LIMITS.items()}
    return drawn
