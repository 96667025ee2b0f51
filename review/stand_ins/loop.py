"""An event loop with timers and UDP sockets."""

import heapq
import itertools
import select
import socket
import time

BATCH_COUNT = 64


class Loop:
    """Runs callbacks of sockets and timers in one thread."""

    def __init__(self):
        self.epoll = select.epoll()
        self.handlers = {}
        self.timers = []
        self.order = itertools.count()
        self.is_running = False

    def after(self, delay_s, callback, *args):
        """Calls callback(*args) after a delay."""
        heapq.heappush(self.timers, (time.monotonic() + delay_s,
                                     next(self.order), callback, args))

    def udp(self, address, port, on_datagram):
        """Opens a UDP socket; on_datagram gets the bytes and the sender."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        sock.setblocking(False)
        sock.bind((address, port))
        self.handlers[sock.fileno()] = (sock, on_datagram)
        self.epoll.register(sock.fileno(), select.EPOLLIN)
        return sock

    def close(self, sock):
        """Closes a socket of this loop."""
        self.epoll.unregister(sock.fileno())
        del self.handlers[sock.fileno()]
        sock.close()

    def _read(self, descriptor):
        sock, on_datagram = self.handlers[descriptor]
        for _ in range(BATCH_COUNT):
            try:
                raw, sender = sock.recvfrom(65536)
            except OSError:
                return
            on_datagram(raw, sender)
            if descriptor not in self.handlers:
                return

    def _run_timers(self):
        now = time.monotonic()
        while self.timers and self.timers[0][0] <= now:
            _, _, callback, args = heapq.heappop(self.timers)
            callback(*args)

    def run(self, length_s):
        """Runs for a time, or until stop is called."""
        end = time.monotonic() + length_s
        self.is_running = True
        while self.is_running and time.monotonic() < end:
            wait_s = min(end, self.timers[0][0] if self.timers else end) \
                - time.monotonic()
            for descriptor, _ in self.epoll.poll(max(wait_s, 0)):
                if descriptor in self.handlers:
                    self._read(descriptor)
            self._run_timers()

    def stop(self):
        """Makes run return."""
        self.is_running = False
