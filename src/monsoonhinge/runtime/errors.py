"""Base classes of errors; each error names its step and its peer."""


class MonsoonhingeError(Exception):
    """Base of all errors raised by the system.

    Attributes:
        step: Operation that failed, such as ``connect`` or ``append``.
        peer: Address or name of the other side, or "".
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        """Returns the message followed by the step and the peer."""
        message = super().__str__()
        context = [
            f"{label}={value}"
            for label, value in (("step", self.step), ("peer", self.peer))
            if value
        ]
        return f"{message} ({', '.join(context)})" if context else message


class TemporaryError(MonsoonhingeError):
    """An operation that may succeed later, without a change of settings."""


class SettingsError(MonsoonhingeError):
    """A settings file is unreadable or invalid.

    Attributes:
        problems: One line per problem, each naming the field.
    """

    def __init__(self, problems: list[str], *, peer: str = "") -> None:
        super().__init__("; ".join(problems), step="read settings", peer=peer)
        self.problems = problems


class ProtocolError(MonsoonhingeError):
    """A peer sent a frame or message that violates the internal protocol."""


class MessageTooLarge(ProtocolError):
    """A message exceeds the largest frame; no byte of it was sent."""


class ConnectionLost(MonsoonhingeError):
    """The connection ended before the reply arrived."""


class RequestTimeout(MonsoonhingeError):
    """No reply arrived within the timeout."""


class RemoteError(MonsoonhingeError):
    """The peer replied with an error.

    Attributes:
        code: Machine-readable reason.
        leader: Address of the control leader if the peer knows it, else "".
    """

    def __init__(
        self, message: str, *, code: str, leader: str, step: str, peer: str
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.code = code
        self.leader = leader
