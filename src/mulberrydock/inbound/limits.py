"""What all inbound connections of a process may hold, by its memory and descriptors."""

import resource

import attrs

#: Descriptors of a process that are no sockets: the platform sets as many aside.
FILE_DESCRIPTORS = 200
#: Maximum share of the descriptors set aside for files, where there are few.
MAX_FILE_SHARE = 0.25
#: Share of the sockets that inbound connections may take. The others connect this
#: process to the instances, the store and its peers.
INBOUND_SOCKET_SHARE = 0.7
#: Share of the process's memory that requests and responses in transit may take. The
#: rest holds the process itself, copies of bodies while they are joined and sent, the
#: responses of instances and the receive buffers of the kernel.
HELD_MEMORY_SHARE = 0.2
#: Share of the memory that connections may take whose bytes the process hasn't read.
UNREAD_MEMORY_SHARE = 0.2
#: Memory that each of many connections takes: what the process holds for it, and the
#: kernel's receive buffer.
CONNECTION_MEMORY_BYTES = 28 * 1024
#: Share of the bytes held that whole requests may take whose bodies aren't small. The
#: rest is left for requests that are still arriving.
WHOLE_SHARE = 0.5
#: Share of the connections whose requests may be whole and wait for their responses.
#: The others can be closed for new connections.
WAITING_SHARE = 0.5


@attrs.define(frozen=True)
class ConnectionLimits:
    """Limits on all inbound connections of a process together.

    ``connections`` and ``waiting`` are counts: of all, and of those whose whole request
    waits for its response. ``held_bytes`` bounds what all hold, ``whole_bytes`` what
    whole requests hold.
    """

    connections: int
    waiting: int
    held_bytes: int
    whole_bytes: int

    @classmethod
    def from_machine(cls, memory_megabytes, max_descriptors):
        """Return the limits of a process on its machine.

        :param max_descriptors: those that the platform allows; the kernel may allow
            fewer.
        """
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        descriptors = max_descriptors
        if soft != resource.RLIM_INFINITY:
            descriptors = min(descriptors, soft)
        files = min(FILE_DESCRIPTORS, int(descriptors * MAX_FILE_SHARE))
        memory = memory_megabytes * 1e6
        sockets = int((descriptors - files) * INBOUND_SOCKET_SHARE)
        in_memory = int(memory * UNREAD_MEMORY_SHARE) // CONNECTION_MEMORY_BYTES
        connections = max(1, min(sockets, in_memory))
        held = int(memory * HELD_MEMORY_SHARE)
        return cls(
            connections=connections,
            waiting=max(1, int(connections * WAITING_SHARE)),
            held_bytes=held,
            whole_bytes=int(held * WHOLE_SHARE),
        )
