"""A machine is removed for good while long programs run; their later turns must still reach a runner."""
import asyncio
import os
import sys
import time

from programs import Case

FOLDER = os.path.dirname(os.path.abspath(__file__))


class RemovedMachine(Case):
    async def disturb(self):
        removed = self.daemons[0]
        await removed.end()
        self.calm_from = time.monotonic()
        self.line("machine %s is removed for good" % removed.name)
        asyncio.ensure_future(self.replace())

    async def replace(self):
        await asyncio.sleep(2)
        spare = self.machine("front-nl-ams-3", "nl-ams")
        self.daemons.append(spare)
        await spare.start()
        self.line("machine %s is added in its place, at another address" % spare.name)

    def judge(self, programs):
        return self.judge_lost(programs)


async def main():
    return await RemovedMachine(FOLDER, sys.argv[1]).run()


status = asyncio.run(main())
print("status %d" % status)
sys.exit(status)
