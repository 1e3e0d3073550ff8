"""Tests of loads that go on after their target was silent."""

import typing

from monsoonhinge.config import schema
from monsoonhinge.config import view as config_view
from monsoonhinge.protocol import commands
from monsoonhinge.protocol import messages
from monsoonhinge.scheduler import keepalive
from monsoonhinge.scheduler import ledger
from monsoonhinge.scheduler import planner
from monsoonhinge.scheduler import weightstore

_LOAD_S = {"1": 3.0, "2": 9.0}


def _view() -> config_view.View:
    """Returns a model whose current version loads slower than the other."""
    model = schema.Model(
        name="m0",
        versions=[
            schema.ModelVersion(version=name, weights_bytes=1, load_s=load_s)
            for name, load_s in _LOAD_S.items()
        ],
        current="2",
        kv_bytes_per_replica=1,
    )
    return config_view.View(version=1, objects={schema.object_id(model): model})


def test_resumed_load_has_the_load_time_of_its_own_version() -> None:
    """Guards against a load time of another version that the store learns."""
    change = commands.ReplicaChange(
        action="load",
        decision_id="d1",
        target="t1",
        incarnation=1,
        model="m0",
        model_version="1",
    )
    planning = planner.Planner(
        ledger=ledger.Ledger(footprint_bytes=lambda *_: 1),
        store=weightstore.WeightStore(
            schema.Store(name="s", loads_per_s=4.0), now=0.0
        ),
        keep_alive=typing.cast(keepalive.KeepAlivePolicy, None),
        new_id=lambda: "d2",
    )
    planning._view = _view()
    planning.ledger.apply(change, 0.0)
    state = messages.TargetState(target="t1", incarnation=1, sequence=1)
    planning.apply_announcement(state, 0.5)
    planning.expire("t1", 5.0)
    state = messages.TargetState(
        target="t1",
        incarnation=1,
        sequence=2,
        replicas=[
            messages.ReplicaState(
                order_id="d1", model="m0", version="1", state="loading"
            )
        ],
    )
    planning.apply_announcement(state, 6.0)
    assert planning.store.active_loads["d1"].nominal_s == _LOAD_S["1"]
