"""A machine is stopped and started as planned while programs run; none may be told that its budget is spent while it is not."""
import asyncio
import os
import signal
import sys
import time

from programs import MOST, Case
from standins import play

FOLDER = os.path.dirname(os.path.abspath(__file__))


class StoppedMachine(Case):
    programs, event_s = 16, 0.01
    # The budget is what the turns of a program generate.
    budget = MOST * Case.turns
    first_entries = (1, 0)

    async def disturb(self):
        asyncio.ensure_future(self.roll(self.daemons[0]))

    async def roll(self, machine):
        machine.send(signal.SIGTERM)
        self.line("SIGTERM to %s" % machine.name)
        await machine.process.wait()
        self.line("%s has ended with status %d" % (machine.name, machine.process.returncode))
        await machine.start()
        await machine.await_ready()
        self.calm_from = time.monotonic()
        self.line("%s is ready again" % machine.name)

    def judge(self, programs):
        return self.judge_denied(programs)


play(StoppedMachine(FOLDER, sys.argv[1]).run)
