"""Stateful test: random faults never give a resource two users."""

from hypothesis import HealthCheck, settings, stateful

from limpetstream.membership.tests import machine

SETTINGS = settings(
    derandomize=True,
    deadline=None,
    max_examples=15,
    stateful_step_count=15,
    suppress_health_check=list(HealthCheck),
)


def test_random_faults_never_give_a_resource_two_users():
    """Guards against overlapping rights and against diverging readers."""
    stateful.run_state_machine_as_test(machine.ClusterMachine, settings=SETTINGS)


def test_holder_that_reads_its_renewal_late_is_not_superseded_early():
    """Guards against a claim right after a probe finds no usable right.

    The holder has not yet read a renewal that the claimant has read. It
    therefore reports no usable right, but has one again a moment later.
    """
    driven = machine.ClusterMachine()
    try:
        driven.disturb(delay_s=0.3, late=0.0, lose=0.5, number=0)
        driven.advance(seconds=4.0)
    finally:
        driven.teardown()
