"""A TCP relay whose open connections can be made silent.

Stands for something between two processes that loses track of their open
connections: they stay open and carry nothing, while new ones work.
"""

import socket
import threading


class Relay:
    """Forwards connections to 127.0.0.1:port to the target address."""

    def __init__(self, port, target):
        self.port = port
        self._target = target
        self._lock = threading.Lock()
        self._open = set()
        self._silent = []
        self._listener = socket.create_server(("127.0.0.1", port), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        """Makes all open connections silent for good."""
        with self._lock:
            self._silent.extend(self._open)
            self._open.clear()

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
            for source, sink in (pair, pair[::-1]):
                threading.Thread(target=self._pump, args=(pair, source, sink), daemon=True).start()

    def _pump(self, pair, source, sink):
        try:
            while True:
                data = source.recv(65536)
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
