"""A loopback TCP proxy that can delay, reset, or refuse connections, and drop bytes in one or both directions."""

import asyncio
import contextlib
import socket
import struct

CHUNK = 65536
RESET = struct.pack("ii", 1, 0)  # SO_LINGER with time 0: close() sends a reset.


class Proxy:
    """Forwards bytes to a port. `mode` is "pass", "delay", "silent" (drops all bytes), "one_way" (drops the bytes of
    answers) or "refuse" (closes new connections)."""

    def __init__(self, target):
        self.target = target
        self.mode = "pass"
        self.delay_s = 0.0
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.on_connection, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def reset_all(self):
        for writer in list(self.writers):
            connection = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):  # Already closed.
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()

    async def on_connection(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.target)
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        # A connection that has dropped bytes is no valid byte stream any more. It stays silent after the fault.
        state = {"is_silent": False}
        try:
            await asyncio.gather(self.pump(reader, far_writer, state, False), self.pump(far_reader, writer, state, True))
        except asyncio.CancelledError:
            pass  # The soak has ended.
        finally:
            self.writers -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def pump(self, reader, writer, state, is_answer):
        try:
            while data := await reader.read(CHUNK):
                if self.mode == "silent" or (self.mode == "one_way" and is_answer):
                    state["is_silent"] = True
                if state["is_silent"] and (is_answer or self.mode == "silent"):
                    continue
                if self.mode == "delay":
                    await asyncio.sleep(self.delay_s)
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()
