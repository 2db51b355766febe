"""Turns with a long input, inside the limits of the manifest: their runner serves them, and their channel is closed."""
import asyncio
import base64
import os
import signal
import sys

from standins import (HEADER, Client, Daemon, Record, Server, Store, engine_service, free_ports, manifest, new_id,
                      plain_service, play, serve, turn_route)

FOLDER = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# A photo as text in a turn's input: 1.2 MB of the 4 MiB that the manifest allows.
LIMIT_BYTES, INPUT_BYTES, SHORT_BYTES = 4194304, 1200000, 12000
TURNS, ALLOWED = 8, 3


class Case:
    def __init__(self, work):
        self.work, self.record = work, Record(os.path.join(FOLDER, "record.txt"))

    async def turn(self, client, name, size):
        """Send one turn on the client's kept channel. Return whether its channel was closed without a whole answer."""
        ident, program = new_id(), new_id()
        body = base64.b64encode(os.urandom(size * 3 // 4))
        headers = [(HEADER + "Model", "m"), (HEADER + "Program-Id", program), (HEADER + "Session-Id", program),
                   (HEADER + "Finish-Ms", "5000"), (HEADER + "Token-Budget", "4608"), (HEADER + "Token-Counts", "1460,108"),
                   (HEADER + "Prompt-Prefix", "5c1e07a2:800,%s:660" % program[:8])]
        answer = await client.request("POST", "/lohu930/2f", ident, body, headers, deadline_ms=4000)
        served = ident in self.whole
        self.record.line("turn %s to %s, input of %d bytes: %s; the runner answered it %s" % (
            ident, name, len(body), answer, "whole" if served else "not whole"))
        return served and answer.end in ("cut", "closed", "reset")

    async def runner(self, server, request, reader, writer, ident, echo):
        result = await server.run(request, writer, ident, echo)
        self.whole.add(ident)
        return result

    async def main(self):
        self.whole = set()
        store = Store()
        port = free_ports(1)[0]
        await serve(store.handle, "127.0.0.1", port)
        limits = {"header_bytes": 16384, "body_bytes": LIMIT_BYTES, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        await store.put("op", "config", manifest(7, [turn_route()], [engine_service(), plain_service()], limits))
        for n in range(2):
            server = Server("i-%d" % n, "huvo11a", self.record)
            server.respond = self.runner
            await server.start(store)
        daemons = [Daemon(os.path.join("target", "dogwoodweir-entry"), self.work, "front-nl-ams-%d" % n, port) for n in (1, 2)]
        try:
            for daemon in daemons:
                await daemon.start()
            for daemon in daemons:
                if not await daemon.await_ready():
                    return 2
            await asyncio.sleep(4)  # the machines are in touch
            return await self.play(daemons)
        finally:
            for daemon in daemons:
                await daemon.end()

    async def play(self, daemons):
        size = INPUT_BYTES if TROUBLE else SHORT_BYTES
        closed = 0
        client = Client(daemons[0].ip, daemons[0].front)
        for _ in range(TURNS):
            if await self.turn(client, daemons[0].name, SHORT_BYTES):
                return 2
            closed += await self.turn(client, daemons[0].name, size)
        self.record.line("in calm, channels closed without a whole answer: %d; allowed are %d" % (closed, ALLOWED))
        # A planned stop of the other machine while it serves such a turn.
        client = Client(daemons[1].ip, daemons[1].front)
        await self.turn(client, daemons[1].name, SHORT_BYTES)
        last = asyncio.ensure_future(self.turn(client, daemons[1].name, size))
        await asyncio.sleep(0.05)
        daemons[1].send(signal.SIGTERM)
        self.record.line("SIGTERM to %s" % daemons[1].name)
        cut = await last
        self.record.line("around the planned stop, channels closed without a whole answer: %d; allowed are 0" % cut)
        return 1 if closed > ALLOWED or cut else 0


play(Case(sys.argv[1]).main)
