"""Builds attempts at targets that are never sent."""

from oriolestage.entry._target_client import TargetCall


def make_call(target: str, fingerprint: int, process: str = '') -> TargetCall:
    """Return an attempt at a target."""
    return TargetCall(
        request_id='a',
        method='GET',
        path='/x',
        headers=(),
        body=b'',
        repeatable=True,
        target=target,
        address='10.0.0.1:1',
        time_left_s=1,
        fingerprint=fingerprint,
        process=process,
    )
