"""Test helper: crowds of clients that don't behave, and what a process holds for them.

A crowd is a number of connections that send the same bytes and stay open. It reads
nothing, and stops once no connection has taken a byte for a while.
"""

import contextlib
import os
import resource
import selectors
import socket
import threading
import time

import attrs

#: Seconds without progress of any connection after which a crowd has sent what it can.
STALL_SECONDS = 1.0
#: Seconds for which a crowd sends at most.
MAX_SEND_SECONDS = 60.0
#: Bytes that one connection sends before the next one's turn.
TURN_BYTES = 256 * 1024
#: Receive buffer of a client that reads nothing.
SMALL_RECEIVE_BYTES = 4096
#: Seconds between two samples of a process.
SAMPLE_SECONDS = 0.05
#: Descriptors of a test process beside those of its crowd.
OWN_DESCRIPTORS = 500


@attrs.define
class Crowd:
    """Connections to one port that all send ``payload`` and then stay open.

    ``payload`` may be a function that returns the bytes of one client by its number.
    """

    port: int
    count: int
    payload: object
    receive_bytes: int = 0
    sockets: list = attrs.field(factory=list)
    sent: dict = attrs.field(factory=dict)

    def __enter__(self):
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        needed = self.count + OWN_DESCRIPTORS
        if soft < needed:
            resource.setrlimit(resource.RLIMIT_NOFILE, (min(needed, hard), hard))
        return self

    def __exit__(self, *error):
        for sock in self.sockets:
            sock.close()

    def connect(self):
        """Open all connections; those that are refused are left out."""
        for _ in range(self.count):
            sock = socket.socket()
            if self.receive_bytes:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_bytes)
            sock.settimeout(5.0)
            try:
                sock.connect(("127.0.0.1", self.port))
            except OSError:
                sock.close()
                continue
            sock.setblocking(False)
            self.sockets.append(sock)
        return self

    def send(self):
        """Send the payload on every connection, as far as the process takes it."""
        selector = selectors.DefaultSelector()
        for number, sock in enumerate(self.sockets):
            payload = self.payload(number) if callable(self.payload) else self.payload
            selector.register(sock, selectors.EVENT_WRITE, memoryview(payload))
        end = time.monotonic() + MAX_SEND_SECONDS
        while selector.get_map() and time.monotonic() < end:
            ready = selector.select(STALL_SECONDS)
            if not ready:
                break
            for key, _ in ready:
                self._send_turn(selector, key)
        selector.close()
        return self

    def _send_turn(self, selector, key):
        try:
            count = key.fileobj.send(key.data[:TURN_BYTES])
        except BlockingIOError:
            return
        except OSError:
            selector.unregister(key.fileobj)
            return
        self.sent[key.fd] = self.sent.get(key.fd, 0) + count
        if count == len(key.data):
            selector.unregister(key.fileobj)
        else:
            selector.modify(key.fileobj, selectors.EVENT_WRITE, key.data[count:])


@attrs.define
class Meter:
    """Samples what a process holds: its memory, its unread bytes, its descriptors.

    :param ports: the ports on which the process listens.
    """

    pid: int
    ports: tuple
    unread_bytes: int = 0
    descriptors: int = 0
    stopped: threading.Event = attrs.field(factory=threading.Event)

    @contextlib.contextmanager
    def running(self):
        """Sample until the end of the block."""
        thread = threading.Thread(target=self._run, daemon=True)
        thread.start()
        try:
            yield self
        finally:
            self.stopped.set()
            thread.join()

    def _run(self):
        while not self.stopped.wait(SAMPLE_SECONDS):
            self.unread_bytes = max(self.unread_bytes, unread_bytes(self.ports))
            self.descriptors = max(self.descriptors, descriptors(self.pid))

    def peak_megabytes(self):
        """Return the peak of the memory and that of the bytes not yet read, in MB."""
        return peak_megabytes(self.pid) + self.unread_bytes / 1e6

    def figures(self):
        """Return the peaks as text for the output of a test."""
        return (
            f"memory {peak_megabytes(self.pid):.0f} MB, unread "
            f"{self.unread_bytes / 1e6:.0f} MB, descriptors {self.descriptors}"
        )


def peak_megabytes(pid):
    """Return the largest resident memory that a process has had, in MB."""
    with open(f"/proc/{pid}/status") as status:
        (line,) = [line for line in status if line.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024 / 1e6


def descriptors(pid):
    """Return how many descriptors a process has open, 0 once it has ended."""
    try:
        return len(os.listdir(f"/proc/{pid}/fd"))
    except OSError:
        return 0


def unread_bytes(ports):
    """Return the bytes that the kernel holds for the servers on local ``ports``."""
    suffixes = tuple(f":{port:04X}" for port in ports)
    total = 0
    with open("/proc/net/tcp") as table:
        next(table)
        for line in table:
            fields = line.split()
            if fields[1].endswith(suffixes) and fields[3] == "01":
                total += int(fields[4].partition(":")[2], 16)
    return total
