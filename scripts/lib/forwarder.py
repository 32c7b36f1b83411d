"""A load balancer between callers and an entry, which forwards each connection.

It copies bytes both ways, and closes both sides once a write fails. What happens when a
caller closes its connection differs between kinds of load balancers:

    "half"    the end of input is passed on; the connection to the entry stays open for the
              answer
    "late"    as "half", some seconds later
    "never"   nothing is passed on, and the answer is discarded
"""

import socket
import threading
import time

KINDS = ("half", "late", "never")
LATE_S = 3.0


class Forwarder:
    def __init__(self, address, target, kind):
        self._target, self._kind = target, kind
        self._listener = socket.create_server(address, backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            caller, _ = self._listener.accept()
            try:
                entry = socket.create_connection(self._target, timeout=2.0)
            except OSError:
                caller.close()
                continue
            entry.settimeout(None)
            for it in (caller, entry):
                it.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threads = [threading.Thread(target=self._forward, args=it, daemon=True)
                       for it in ((caller, entry, self._kind), (entry, caller, "half"))]
            for it in threads:
                it.start()
            threading.Thread(target=self._close, args=(threads, caller, entry),
                             daemon=True).start()

    @staticmethod
    def _forward(source, sink, kind):
        try:
            while data := source.recv(65536):
                try:
                    sink.sendall(data)
                except OSError:
                    if kind == "half":
                        raise
            if kind == "never":
                return
            if kind == "late":
                time.sleep(LATE_S)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for it in (source, sink):
                try:
                    it.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    @staticmethod
    def _close(threads, caller, entry):
        for it in threads:
            it.join()
        caller.close()
        entry.close()
