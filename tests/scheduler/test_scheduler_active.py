"""Tests of the scheduler that holds the lease, with fakes around it."""

import asyncio
import typing
from unittest import mock

import pytest

from monsoonhinge.protocol import commands
from monsoonhinge.runtime import errors
from monsoonhinge.scheduler import active


def test_refused_decisions_are_dropped_with_the_lease() -> None:
    """Guards against plans on decisions that no member has committed."""
    lease = mock.Mock()
    lease.held.return_value = True
    control = mock.Mock()
    control.propose = mock.AsyncMock(
        side_effect=errors.RemoteError(
            "refused", code="invalid", leader="", step="propose", peer="c1"
        )
    )
    scheduler = active.ActiveScheduler(
        lease=lease,
        control=control,
        directory=mock.Mock(),
        demand_tracker=mock.Mock(),
        keep_alive=mock.Mock(),
        order_client=mock.Mock(),
        order_timeout_s=1.0,
        now=lambda: 0.0,
    )
    core = mock.Mock()
    core.plan.return_value = [commands.ReplicaChange()]
    core.orders.fencing = 1
    scheduler.core = typing.cast(typing.Any, core)
    with pytest.raises(errors.RemoteError):
        asyncio.run(scheduler.step())
    assert scheduler.core is None
    lease.invalidate.assert_called_once()
