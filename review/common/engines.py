"""Model servers and an origin as in the site mwakalinga-registry, and a configuration for them."""
import hashlib

from deployment import pf

ZONES = {"dar-kariakoo": "dar", "arusha-njiro": "arusha", "mbeya-uyole": "mbeya"}
ORIGIN_ZONE = "dar-kariakoo"
SIDE_LINK_MBPS, SLOTS = 7.6, 16
pf.PIECES, pf.PIECE_BYTES = 64, 32768


class Engine(pf.Backend):
    """A model server whose record names its zone and slots."""

    def register(self, state="ready"):
        record = {"service": self.pool, "address": self.address, "zone": self.zone, "version": "v1", "slots": SLOTS,
                  "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": self.born,
                  "models": [{"name": name, "version": version, "adapters": []}
                             for name, version in self.models.items()]}
        self.store.put("servers/" + self.id, record)


class Origin(pf.Origin):
    """The origin of weights; corrupts some of its answers with a manifest: one digit of one digest."""

    def __init__(self, host):
        self.to_corrupt, self.answers, self.corrupted = 0, 0, 0
        super().__init__(host)

    def handle(self, request):
        self.answers += 1
        path, _, query = request.path.partition("?")
        if "/manifest/" not in path or self.to_corrupt == 0:
            return super().handle(request)
        self.to_corrupt -= 1
        self.corrupted += 1
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        model, version = path.rpartition("/")[2], int(fields["version"])
        digests = [hashlib.sha256(pf.piece(model, version, i)).hexdigest() for i in range(pf.PIECES)]
        digests[17] = ("1" if digests[17][0] == "0" else "0") + digests[17][1:]
        return request.answer(200, {"model": model, "version": version, "chunk_bytes": pf.PIECE_BYTES, "layers": 16,
                                    "digests": digests})


def configuration(version, origin, **changes):
    result = pf.configuration(version, origin, **changes)
    for service in result["services"]:
        if "origin" in service:
            service["zone"] = ORIGIN_ZONE
        if "engine" in service:
            service["engine"]["slots"] = SLOTS
    return result
