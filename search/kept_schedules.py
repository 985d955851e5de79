"""Schedules and seeds of the search that are kept as tests."""

from search import schedules

# Kind of the first fault, or none, and the seed that is red without the check.
RED_SEED_BY_REMOVAL = {
    "acknowledge-durable": ("", 0),
    "claim-read-back": ("", 40),
    "confirm-incarnation": ("", 282),
    "ended-time": ("long_split", 0),
    "executors-and-start-incarnation": ("restart_half", 200),
    "executors-incarnation": ("restart_half", 18),
    "expired-append": ("", 0),
    "idle-reached": ("restart_half", 156),
    "instances-half": ("", 14),
    "instances-later-epoch": ("", 6),
    "instances-majority": ("", 4),
    "journal-fenced": ("", 3),
    "lease-length": ("", 2),
    "load-before-poll": ("", 0),
    "mark-earlier": ("", 0),
    "place-earlier-runs": ("", 0),
    "poll-proof": ("", 2),
    "poll-silent": ("", 2),
    "proof-executors": ("restart_half", 3),
    "proof-instances": ("", 4),
    "proof-max-without-append": ("long_split", 0),
    "proof-validity": ("", 6),
    "records-half": ("long_split", 1),
    "replaced-append": ("", 33),
    "restart-ends": ("", 7),
    "settle-append": ("isolated_after_split", 0),
    "start-and-place-incarnation": ("restart_after_claim", 60),
    "start-and-place-proof": ("restart_after_claim", 0),
    "start-clock-read": ("", 80),
    "start-journal": ("", 10),
    "stop-proof": ("", 12),
    "wait-lease": ("", 2),
    "wait-validity": ("", 12),
}

# The same for ``restart_draws``; these let a task run twice.
RED_RESTART_SEED_BY_REMOVAL = {
    "restart-longest-recorded": 71,
    "restart-recorded": 349,
    "restart-token": 488,
}

# The same with the runs judged of processes that nobody has reached.
RED_LATE_START_SEED_BY_REMOVAL = {
    "late-start-delay": 297,
}

# The same for ``restart_draws.draw_long_running``.
RED_LONG_RUNNING_SEED_BY_REMOVAL = {
    "long-running-recorded": 14,
}


def restart_after_isolated_successor() -> schedules.Schedule:
    """Return the reduced schedule of seed 282.

    A second owner does not reach x0, loses the store and keeps both
    majorities. A third one reaches only x0 and acknowledges an end there. x0
    restarts, and answers the second owner first.
    """
    return schedules.Schedule(
        seed=282,
        executors=6,
        instances=4,
        reserves=0,
        resets=False,
        jobs=[
            schedules.chain(1.2094483552780035, 3, [10.069820453924434], 2000),
            schedules.chain(3.0200982463439985, 1, [1.2, 1.2, 0.6, 0.6, 6.97], 2000),
            schedules.chain(4.235223147966471, 1, [8.11870106063105], 2000),
            schedules.chain(5.304436722068267, 3, [10.641033587404706], 6000),
            schedules.chain(6.2676927812824985, 1, [1.2, 0.6, 0.3, 0.3, 6.89], 2000),
            schedules.chain(7.557363171679203, 1, [0.6, 0.6, 0.6, 0.3, 8.93], 6000),
        ],
        faults=[
            schedules.Fault("replace_owner", 217674493, 6.502532772816389),
            schedules.Fault(
                "lose_answers",
                345338153,
                1.0261134189463252,
                "RUN_ORDERED",
                delay_s=0.18023976290362873,
            ),
            schedules.Fault("kill", 447341011, 5.986860596218721, "RUN_ORDERED", 2),
        ],
    )
