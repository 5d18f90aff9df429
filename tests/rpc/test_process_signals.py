"""Signals of a process that starts, runs and ends: each is handled once, and none ends the process.

Guards against two faults: a SIGHUP between two steps of the start is handled twice or not at all, and a
signal during the exit replaces the exit code.
"""

from __future__ import annotations

import subprocess
import sys

import pytest

PROGRAM = """
import asyncio, os, signal
from tuliptrack.rpc.process_signals import ProcessSignals

def send(number=signal.SIGHUP):
    os.kill(os.getpid(), number)

handled = []
signals = ProcessSignals(signal.SIGHUP, signal.SIGTERM)
{before_loop}

async def main():
    loop = asyncio.get_running_loop()
    {in_loop}
    signals.attach(loop)
    {attached}
    signals.handle(signal.SIGHUP, lambda: handled.append("reload"))
    {serving}
    await asyncio.sleep(0.05)
    {ending}
    signals.block()

asyncio.run(main())
{ended}
print(*handled)
"""
SENT_AROUND_A_CALL = """
    register, wake = loop.add_signal_handler, signal.set_wakeup_fd
    def {name}(*args, **options):
        send()
        result = {original}(*args, **options)
        send()
        return result
    {place} = {name}
"""


def run_program(**steps: str) -> str:
    """Run the program with each argument inserted at the place of its name; return what the handlers
    noted.
    """
    places = ("before_loop", "in_loop", "attached", "serving", "ending", "ended")
    program = PROGRAM.format(**{place: steps.get(place, "") for place in places})
    done = subprocess.run([sys.executable, "-c", program], capture_output=True, text=True, timeout=30)
    assert done.returncode == 0, (done.returncode, done.stderr)
    return done.stdout.strip()


@pytest.mark.parametrize("place", ["before_loop", "in_loop", "attached", "serving"])
def test_a_signal_is_handled_once_whenever_it_arrives(place: str) -> None:
    assert run_program(**{place: "send()"}) == "reload"


@pytest.mark.parametrize(
    ("place", "original"),
    [("loop.add_signal_handler", "register"), ("signal.set_wakeup_fd", "wake")],
    ids=["handlers", "wakeup descriptor"],
)
def test_signals_around_each_step_of_attaching_to_the_loop_are_handled_once(
    place: str, original: str
) -> None:
    """The two signals that are sent before and after a call by which the loop takes over are handled
    together, once, after the second.
    """
    lines = SENT_AROUND_A_CALL.format(name="around", original=original, place=place)
    assert run_program(in_loop=lines.strip()) == "reload"


def test_signals_in_one_iteration_are_handled_once_and_a_later_one_again() -> None:
    series = "send(); send(); send()"
    for place in ("before_loop", "in_loop", "attached", "serving"):
        assert run_program(**{place: series}) == "reload"
    assert run_program(serving="send(); await asyncio.sleep(0.02); send()") == "reload reload"


def test_signals_at_the_end_do_not_replace_the_exit_code() -> None:
    everything = "send(); send(signal.SIGTERM)"
    assert run_program(ended=everything) == ""


def test_a_signal_without_a_handler_is_pending() -> None:
    lines = (
        "send(signal.SIGTERM); await asyncio.sleep(0.02); handled.append(signals.has_pending(signal.SIGTERM))"
    )
    assert run_program(attached=lines) == "True"
