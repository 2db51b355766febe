"""Agent programs with a token budget, run through some entry machines while one disruption strikes.

A case names the disruption and the rule; this module runs the machines, the runners, the store and the clients.
"""
import asyncio
import os
import random
import time

from standins import (HEADER, Client, Daemon, Record, Server, Store, engine_service, free_ports, manifest, new_id,
                      plain_service, serve, turn_route)

# One turn generates the most that it may: EVENTS events of EVENT_TOKENS tokens.
EVENTS, EVENT_TOKENS = 32, 18
MOST = EVENTS * EVENT_TOKENS
WAY_S = 0.078
CONTACT_S = 3.0
# Statuses that end a program, and those that promise that a turn has not run.
FINAL, PROMISES = (400, 401, 402, 403, 404, 413), (429, 503, 408, 421)


class Program:
    def __init__(self, name, aim_s):
        self.name, self.ident, self.previous = name, new_id(), ""
        self.aim = time.monotonic() + aim_s
        self.tokens, self.turns, self.ended = 0, 0, ""
        self.tries = []  # tries of the turn that failed


class Try:
    """A client attempt that was not answered with the whole turn."""

    def __init__(self, at, status, left):
        self.at, self.status, self.left = at, status, left


class Case:
    """One run. Subclasses override disturb."""

    programs, turns, budget, event_s = 10, 34, 20000, 0.005
    # The machines through which the first turns of a program come in, one after the other.
    first_entries = (0,)

    def __init__(self, folder, work):
        self.work, self.trouble = work, os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.join(folder, "record.txt"))
        # The disruption begins once began is set and is over at calm_from.
        self.calm_from = None
        self.first_turns, self.requests, self.begun, self.stopped = [], 0, 0, False
        self.resumed = asyncio.Event()
        # The aim: 1.8 times the time on idle runners, with the way of each turn, and the objective.
        self.aim_s = 1.8 * self.turns * (EVENTS * self.event_s + WAY_S) + 0.3

    def line(self, text):
        self.record.line(text)

    def in_touch(self, at):
        """Report whether the machines that the clients use are in touch, and nothing was disturbed lately."""
        return not self.trouble or self.calm_from is not None and at - self.calm_from > CONTACT_S

    async def disturb(self):
        """Bring about the disruption, after the first turns; set calm_from at its end."""

    async def warm_up(self):
        """Serve short programs through all machines, so that these have channels to each other as in operation."""
        for n in range(4 * len(self.daemons)):
            program = Program("warm-up", self.aim_s)
            for step in range(len(self.daemons)):
                await self.turn([self.daemons[(n + step) % len(self.daemons)]], program)

    def entries(self):
        """Return the machines through which later turns come in."""
        return self.daemons[1:3]

    async def before_programs(self):
        """Prepare the disruption before the programs begin."""

    def route(self):
        return turn_route(timeout_ms=3000)

    async def attempt(self, daemon, program, kind):
        """Send one client attempt of a turn on a new channel."""
        ident = new_id()
        left = max(1, int((program.aim - time.monotonic()) * 1000))
        headers = [(HEADER + "Model", "m"), (HEADER + "Program-Id", program.ident), (HEADER + "Session-Id", program.ident),
                   (HEADER + "Finish-Ms", str(left)), (HEADER + "Token-Budget", str(self.budget)),
                   (HEADER + "Token-Counts", "1460,%d" % MOST), (HEADER + "Prompt-Prefix", "5c1e07a2:800,%s:660" % program.ident[:8])]
        if program.previous:
            headers.append((HEADER + "Previous-Turn", program.previous))
        client = Client(daemon.ip, daemon.front)
        at = time.monotonic()
        answer = await client.request("POST", "/lohu930/2f", ident, b"input of turn %d " % program.turns * 60, headers)
        client.close()
        self.requests += 1
        reached = any(i == ident for s in self.servers for _, i in s.reached)
        program.tokens += (answer.body.count(b"\nid: ") + answer.body.startswith(b"id: ")) * EVENT_TOKENS
        reason = "" if answer.status == 200 else " " + answer.body.decode("latin-1").strip()
        self.line("%s %s: request %s of turn %d to %s: %s%s; a runner %s it; tokens so far %d of %d" % (
            kind, program.name, ident, program.turns + 1, daemon.name, answer, reason,
            "got" if reached else "did not get", program.tokens, self.budget))
        return ident, at, answer, reached

    async def turn(self, daemons, program):
        """Send a turn as clients do: each try once more after a promise, and a failed turn again, twice at most."""
        program.tries = []
        for _ in range(3):
            for _ in range(2):
                ident, at, answer, reached = await self.attempt(random.choice(daemons), program, "program")
                if answer.status == 200 and answer.end == "whole":
                    program.previous = ident
                    program.turns += 1
                    return True
                program.tries.append(Try(at, answer.status, self.budget - program.tokens))
                if answer.status in FINAL:
                    program.ended = "%d while its budget held %d tokens more" % (answer.status, self.budget - program.tokens)
                    return False
                if answer.status not in PROMISES:
                    break
                await asyncio.sleep(min(float(answer.headers.get("retry-after", "0.1")), 1.0))
            await asyncio.sleep(random.uniform(0.1, 0.4))
        program.ended = "turn %d failed after %d tries" % (program.turns + 1, len(program.tries))
        return False

    async def run_program(self, program):
        # The first turns come in through certain machines, the others through all but the first machine.
        for entry in self.first_entries:
            if not await self.turn([self.daemons[entry]], program):
                return
        self.begun += 1
        await self.resumed.wait()
        while program.turns < self.turns and await self.turn(self.entries(), program):
            pass

    async def new_programs(self):
        """First turns of other programs, through the same machines."""
        while not self.stopped:
            program = Program("other", self.aim_s)
            _, at, _, reached = await self.attempt(random.choice(self.entries()), program, "first turn of")
            self.first_turns.append((at, reached))
            await asyncio.sleep(0.2)

    async def await_first_turns(self, tasks):
        while self.begun < len(tasks) and not all(t.done() for t in tasks):
            await asyncio.sleep(0.01)

    async def start(self):
        """Start the platform's stand-ins and the machines. It returns whether all machines are ready."""
        self.store = Store()
        self.store_port = free_ports(1)[0]
        await serve(self.store.handle, "127.0.0.1", self.store_port)
        await self.store.put("op", "config", manifest(7, [self.route()], [engine_service(), plain_service()]))
        self.servers = [Server("i-%d" % n, "huvo11a", self.record, events=EVENTS, event_s=self.event_s) for n in range(3)]
        for server in self.servers:
            await server.start(self.store)
        places = [("front-nl-ams-1", "nl-ams"), ("front-nl-ams-2", "nl-ams"), ("front-nl-ehv-1", "nl-ehv")]
        self.daemons = [self.machine(name, zone) for name, zone in places]
        for daemon in self.daemons:
            await daemon.start()
        for daemon in self.daemons:
            if not await daemon.await_ready():
                self.line("%s is not ready" % daemon.name)
                return False
        await asyncio.sleep(4)  # the machines are in touch and know each other
        return True

    def machine(self, name, zone):
        return Daemon(os.path.join("target", "dogwoodweir-entry"), self.work, name, self.store_port, zone=zone)

    async def run(self):
        """Return 0 if the rule held, 1 if it was broken and 2 if the case could not run."""
        self.daemons = []
        try:
            if not await self.start():
                return 2
            await self.warm_up()
            if self.trouble:
                await self.before_programs()
            programs = [Program("P%d" % (n + 1), self.aim_s) for n in range(self.programs)]
            others = asyncio.ensure_future(self.new_programs())
            tasks = [asyncio.ensure_future(self.run_program(p)) for p in programs]
            if self.trouble:
                disturbance = asyncio.ensure_future(self.disturb_after(tasks))
            else:
                self.resumed.set()
            await asyncio.gather(*tasks)
            self.stopped = True
            await others
            if self.trouble:
                await disturbance
        finally:
            for daemon in self.daemons:
                await daemon.end()
        calm = [r for at, r in self.first_turns if self.in_touch(at)]
        self.line("first turns of other programs sent in calm: %d, of which reached a runner: %d" % (len(calm), sum(calm)))
        for p in programs:
            self.line("program %s: %d turns of %d, %d tokens of %d; %s" % (
                p.name, p.turns, self.turns, p.tokens, self.budget, p.ended or "complete"))
        if not calm or sum(calm) < 0.9 * len(calm):
            return 2
        return self.judge(programs)

    async def disturb_after(self, tasks):
        await self.await_first_turns(tasks)
        await self.disturb()
        self.resumed.set()

    def judge(self, programs):
        raise NotImplementedError

    def judge_denied(self, programs):
        """DENIED: more than 5 + one in 500 of all requests end with a 4xx though they are proper."""
        false = [t for p in programs for t in p.tries if t.status == 402 and self.in_touch(t.at) and t.left >= MOST]
        allowed = 5 + self.requests / 500
        self.line("402 in calm while the budget held another turn: %d of %d requests; allowed are %.1f" % (len(false), self.requests, allowed))
        return 1 if len(false) > allowed else 0
