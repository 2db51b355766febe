"""A machine freezes for 4 s and wakes again while programs run; none may be told that its budget is spent while it is not."""
import asyncio
import os
import signal
import sys
import time

from programs import Case
from standins import play

FOLDER = os.path.dirname(os.path.abspath(__file__))
FREEZE_S = 4.0


class FrozenMachine(Case):
    event_s = 0.01

    async def disturb(self):
        frozen = self.daemons[0]
        frozen.send(signal.SIGSTOP)
        self.line("machine %s freezes" % frozen.name)
        asyncio.ensure_future(self.wake(frozen))

    async def wake(self, frozen):
        await asyncio.sleep(FREEZE_S)
        frozen.send(signal.SIGCONT)
        self.calm_from = time.monotonic()
        self.line("machine %s wakes" % frozen.name)

    def judge(self, programs):
        return self.judge_denied(programs)


play(FrozenMachine(FOLDER, sys.argv[1]).run)
