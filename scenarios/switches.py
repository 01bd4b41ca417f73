"""Switches mechanisms off, to show that checks detect their absence."""

import dataclasses
from collections.abc import Iterator
from contextlib import AbstractContextManager, ExitStack
from unittest import mock

from oriolestage.core import NotRun, Parameters, Reason
from oriolestage.core.queries._query import Query

#: A limit too large to be reached.
NEVER = 10**9
_CORE = 'oriolestage.core'
_original_outcome = Query.outcome

#: Parameters that switch a mechanism off, by mechanism.
_PARAMETERS_WHEN_OFF = {  # noqa: WPS407
    'freshness': {'freshness_limit_s': NEVER},
    'ramp': {'cold_limit': NEVER},
    'takeover': {'takeover_wait_s': 0},
    'pause': {'pause_limit_s': NEVER},
    'silence': {'silence_limit_s': NEVER},
    'quarantine': {'quarantine_threshold': NEVER},
    'hedging': {'extra_load_share': 0, 'extra_load_burst': 0},
}


def switch_off(
    mechanism: str,
    parameters: Parameters,
    patches: ExitStack,
) -> Parameters:
    """Switch a mechanism off and return the parameters to use.

    Patches of code last until ``patches`` is closed. Raise ``ValueError`` if
    there is no such mechanism.
    """
    changes = _PARAMETERS_WHEN_OFF.get(mechanism)
    if changes is not None:
        return dataclasses.replace(parameters, **changes)
    for patch in _patches(mechanism):
        patches.enter_context(patch)
    return parameters


def _patches(mechanism: str) -> Iterator[AbstractContextManager]:
    match mechanism:
        case 'journal':
            yield mock.patch(
                'scenarios.fake_store.FakeStore.forgets_keys',
                True,
            )
        case 'compare_and_swap':
            yield mock.patch(
                'scenarios.fake_store.FakeStore.overwrites',
                True,
            )
        case 'snapshot':
            yield mock.patch(
                f'{_CORE}.queries._query.Query.outcome', _merge_all_versions
            )
            yield mock.patch(
                f'{_CORE}.queries._snapshots.SnapshotCoordinator.reread_mixed',
                return_value=False,
            )
        case 'coverage':
            yield mock.patch(f'{_CORE}.queries._query.keep_disjoint', list)
        case 'leaving':
            yield mock.patch(
                f'{_CORE}.targets._owned_targets.OwnedTargets.on_listed',
            )
        case 'draining':
            yield mock.patch(f'{_CORE}._node.NodeCore.drained', True)
        case 'notice':
            yield mock.patch('scenarios.core_engine.STOP_NOTICE_S', 0)
        case 'may_have_run':
            yield mock.patch(
                f'{_CORE}.targets._target_calls.TargetCalls._may_have_run',
                _claim_not_run,
            )
        case _:
            raise ValueError(f'no mechanism named {mechanism}')


def _merge_all_versions(query):
    """Merge shard answers of different versions as if all had the lowest."""
    versions = query.answered_versions()
    lowest = min(versions, default=0)
    for shard in query.shards:
        if shard.answer is not None:
            shard.answer = type(shard.answer)(
                lowest,
                shard.answer.covered,
                shard.answer.partition_revision,
                shard.answer.rows,
            )
    return _original_outcome(query)


def _claim_not_run(calls, call, reason):
    """Report lost work as not run, although it may have run."""
    return NotRun(Reason.TARGET_LOST, 'switch', call.task.entry.target)
