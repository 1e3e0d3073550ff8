"""How often one request may be sent to targets; performs no I/O."""

from collections.abc import Callable

from monsoonhinge.ingress import admission
from monsoonhinge.ingress import retry_budget

# Limit for attempts that no target ran, in addition to route.max_attempts.
_MAX_REJECTIONS = 8


class AttemptBudget:
    """Counts the attempts of one request and permits further ones.

    Attributes:
        attempts: Number of attempts that a target may have run, with the one
            under way.
        rejections: Number of attempts that no target ran.
    """

    def __init__(
        self,
        *,
        admitted: admission.AdmittedRequest,
        deadline: float,
        retries: retry_budget.RetryBudget,
        clock: Callable[[], float],
    ) -> None:
        """Creates the budget of a request that was not sent yet.

        Args:
            admitted: Route and service of the request.
            deadline: Deadline of the request, in seconds of the clock.
            retries: Budget of all requests at this gateway.
            clock: Returns the time in seconds.
        """
        self.attempts = 0
        self.rejections = 0
        self._admitted = admitted
        self._deadline = deadline
        self._retries = retries
        self._clock = clock

    def begin_attempt(self) -> None:
        """Counts an attempt that is about to be sent.

        However it ends, also if the caller leaves meanwhile, a target may have
        run it.
        """
        self.attempts += 1

    def end_without_run(self) -> None:
        """Takes back the count of an attempt that no target ran."""
        self.attempts -= 1
        self.rejections += 1

    def has_attempts_left(self) -> bool:
        """Returns whether the request may run at another target."""
        return (
            self._admitted.retryable
            and self.attempts < self._admitted.route.max_attempts
        )

    def take_retry(self) -> bool:
        """Returns whether another attempt may be made after one that may run.

        It is charged to the budget of all requests.
        """
        now = self._clock()
        return (
            self.has_attempts_left()
            and now < self._deadline
            and self._retries.take(self._admitted.service.name, now)
        )

    def take_repeat(self) -> bool:
        """Returns whether a request that no target ran may be sent again.

        It is charged to the budget of all requests.
        """
        return self.rejections <= _MAX_REJECTIONS and self._retries.take(
            self._admitted.service.name, self._clock()
        )
