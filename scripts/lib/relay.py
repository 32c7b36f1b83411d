"""A TCP relay that stands for the network between two processes.

It can lose track of its open connections, which then stay open and carry
nothing while new ones work; reset them; delay what it carries; and hold it
back in one direction or both, as a cut does.
"""

import socket
import struct
import threading
import time


class Relay:
    """Forwards connections to host:port to the target address.

    `delay` is in seconds, each way. `cut` has "in" while nothing is carried to
    the target and "out" while nothing is carried from it.
    """

    def __init__(self, port, target, host="127.0.0.1"):
        self.port = port
        self.delay = 0.0
        self.cut = frozenset()
        self._target = target
        self._lock = threading.Lock()
        self._open = set()
        self._silent = []
        self._listener = socket.create_server((host, port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Makes all open connections silent for good."""
        with self._lock:
            self._silent.extend(self._open)
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

    def close(self):
        self._listener.close()
        with self._lock:
            for pair in [*self._open, *self._silent]:
                for it in pair:
                    it.close()

    def _accept(self):
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
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
            for source, sink, way in ((near, far, "in"), (far, near, "out")):
                threading.Thread(target=self._pump, args=(pair, source, sink, way),
                                 daemon=True).start()

    def _pump(self, pair, source, sink, way):
        try:
            while True:
                data = source.recv(65536)
                if self.delay:
                    time.sleep(self.delay)
                while way in self.cut:
                    time.sleep(0.01)
                with self._lock:
                    # A silent connection stays open, also when an end closes.
                    if pair not in self._open:
                        return
                if not data:
                    break
                sink.sendall(data)
        except OSError:
            pass
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
