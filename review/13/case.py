"""The store falls silent for 2 s as programs begin; none may be told later that its budget is spent while it is not."""
import asyncio
import os
import sys
import time

from programs import Case
from standins import play

FOLDER = os.path.dirname(os.path.abspath(__file__))
SILENCE_S = 2.0


class SilentStore(Case):
    async def before_programs(self):
        # The first tokens of the programs are granted as the store falls silent.
        self.store.silence_at = "programs"
        self.resumed.set()
        asyncio.ensure_future(self.return_of_store())

    async def return_of_store(self):
        while not self.store.silent:
            await asyncio.sleep(0.005)
        self.line("the store falls silent")
        await asyncio.sleep(SILENCE_S)
        self.store.silent = False
        self.calm_from = time.monotonic()
        self.line("the store answers again; %d transactions were performed without an answer" % self.store.unanswered)

    def judge(self, programs):
        return self.judge_denied(programs)


play(SilentStore(FOLDER, sys.argv[1]).run)
