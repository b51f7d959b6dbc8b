"""Whether a response that ended with its connection is whole."""

from __future__ import annotations

from enum import StrEnum

from cornellead_core.close_delimited._listener_check import ListenerState


class ResponseEnd(StrEnum):
    """What the regular end of a connection says about the response that it ends."""

    WHOLE = "whole"
    """The server is still there, so it has ended the response itself."""
    UNPROVEN = "unproven"
    """Passed on as whole, but no evidence that the server is sound."""
    CUT = "cut"
    """The server's process ended with the connection, so the rest may be missing."""


def judge_end(listener: ListenerState, *, leaving: bool, broke_others: bool = False) -> ResponseEnd:
    """Judge a response that has neither a length nor chunks, after its connection has closed.

    The kernel closes the connections of a killed process as those of one that has answered. A
    server that leaves stops listening before its last responses end, but completes them all.

    :param listener: State of the server's listening socket after the connection has closed.
    :param leaving: Whether the server is known to be leaving or to have been replaced.
    :param broke_others: Whether other responses of the server broke off at the same moment.

    >>> judge_end(ListenerState.CLOSED, leaving=False)
    <ResponseEnd.CUT: 'cut'>
    >>> judge_end(ListenerState.CLOSED, leaving=True)
    <ResponseEnd.UNPROVEN: 'unproven'>
    """
    if listener is ListenerState.LISTENING:
        return ResponseEnd.WHOLE
    if listener is ListenerState.CLOSED and (broke_others or not leaving):
        return ResponseEnd.CUT
    return ResponseEnd.UNPROVEN
