"""A TCP relay that simulates faults of the network between two processes.

It can black-hole its open connections, which then stay open and carry nothing
while new ones work; reset them; refuse new ones as well; delay the data; hold the data back
in one direction or both, as a network partition does; and deliver data late, after the
client has closed the connection and opened others.
"""

import select
import socket
import struct
import threading
import time


def closed_by_peer(connection):
    poll = select.poll()
    poll.register(connection, select.POLLRDHUP)
    return bool(poll.poll(0))


class Relay:
    """Forwards connections to host:port to the target address.

    A connection that its client has closed before it is accepted is dropped. Otherwise
    a client that gives up and connects again keeps a busy relay behind for good.

    `delay` is in seconds, for each direction. `cut` contains "in" while no data
    passes to the target and "out" while no data passes from it.
    """

    def __init__(self, port, target, host="127.0.0.1"):
        self._address = (host, port)
        self.delay = 0.0
        self.cut = frozenset()
        self._late_until, self._late_by = 0.0, 0.0
        self._target = target
        self._lock = threading.Lock()
        self._open = set()
        self._black_holed = []
        self._refusals = 0
        self._listen()

    def black_hole(self):
        """Black-holes all open connections: they stay open and carry nothing more."""
        with self._lock:
            self._black_holed.extend(self._open)
            self._open.clear()

    def reset(self):
        """Resets all open connections."""
        with self._lock:
            pairs = list(self._open)
            self._open.clear()
        for pair in pairs:
            for it in pair:
                it.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                it.close()

    def refuse(self):
        """Resets all open connections and refuses new ones, until as many calls of accept()."""
        with self._lock:
            self._refusals += 1
            if self._refusals == 1:
                # Ends the accept() of the other thread, which closing alone does not.
                self._listener.shutdown(socket.SHUT_RDWR)
                self._listener.close()
        self.reset()

    def accept(self):
        with self._lock:
            self._refusals -= 1
            if self._refusals == 0:
                self._listen()

    def hold_up(self, window, late_by):
        """Data to the target on connections that are opened within `window` seconds arrives
        `late_by` seconds late, also if the client closes the connection meanwhile."""
        self._late_until, self._late_by = time.monotonic() + window, late_by

    def close(self):
        self._listener.close()
        with self._lock:
            for pair in [*self._open, *self._black_holed]:
                for it in pair:
                    it.close()

    def _listen(self):
        self._listener = socket.create_server(self._address, backlog=256)
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _accept(self, listener):
        while True:
            try:
                near, _ = listener.accept()
            except OSError:
                return
            if closed_by_peer(near):
                near.close()
                continue
            try:
                far = socket.create_connection(self._target, timeout=2.0)
            except OSError:
                near.close()
                continue
            for it in (near, far):
                it.settimeout(None)
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            pair = (near, far)
            with self._lock:
                self._open.add(pair)
            held_up = time.monotonic() < self._late_until
            for source, sink, direction in ((near, far, "in"), (far, near, "out")):
                threading.Thread(target=self._forward,
                                 args=(pair, source, sink, direction, held_up),
                                 daemon=True).start()

    def _forward(self, pair, source, sink, direction, held_up):
        try:
            while True:
                data = source.recv(65536)
                if held_up and direction == "in":
                    time.sleep(self._late_by)
                    held_up = False
                if self.delay:
                    time.sleep(self.delay)
                while direction in self.cut:
                    time.sleep(0.01)
                with self._lock:
                    # A black-holed connection stays open even if one end closes.
                    if pair not in self._open:
                        return
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            # What is on its way to the target still arrives.
            if held_up and direction == "out":
                return
        with self._lock:
            if pair not in self._open:
                return
            self._open.discard(pair)
        for it in pair:
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            it.close()
