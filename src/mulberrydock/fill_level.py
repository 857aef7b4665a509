"""What others are sending to engines that seem free, before it is heard of.

The load pattern this answers is many VMs that choose among many engines, each from
counts that are some tenths of a second old. All of them see the same engine as the
freest and send there at once: with 195 VMs the busiest engine got 2.6 times the mean
while others idled, and requests on it were preempted. What will have been sent
meanwhile is known as a sum, and it fills the freest engines first, as water does. So
engines below that level count as equally busy, and a request may choose among them
by what speaks for it alone, such as the documents that an engine keeps.
"""


def fill_level(waits, unseen):
    """Return the seconds of wait up to which the freest engines will be filled.

    :param waits: seconds of work that each engine is known to have.
    :param unseen: seconds of work that arrives at all of them together before
        it is heard of.
    """
    if not waits:
        return 0.0
    rows = sorted(waits)
    filled = 0.0
    for count, (wait, following) in enumerate(zip(rows, rows[1:]), 1):
        step = (following - wait) * count
        if filled + step >= unseen:
            return wait + (unseen - filled) / count
        filled += step
    return rows[-1] + (unseen - filled) / len(rows)
