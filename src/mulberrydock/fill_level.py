"""Estimates what other VMs send to the freest engines before it is reported.

Needed because many VMs choose among many engines by counts that are some tenths of a
second old. Without it, all of them send to the same freest engine at once: with 195 VMs
the busiest engine got 2.6 times the mean while others idled, and it preempted requests.
The total of the unreported work is known, and it goes to the freest engines first, as
in a water-filling allocation. Engines below that fill level count as equally busy, and
a request chooses among them by other criteria, such as the documents that an engine
has cached.
"""


def fill_level(waits, unreported):
    """Return the seconds of wait up to which the freest engines will be filled.

    :param waits: seconds of work that each engine is known to have.
    :param unreported: seconds of work that arrives at all of them together before it
        is reported.
    """
    if not waits:
        return 0.0
    rows = sorted(waits)
    filled = 0.0
    for count, (wait, following) in enumerate(zip(rows, rows[1:]), 1):
        step = (following - wait) * count
        if filled + step >= unreported:
            return wait + (unreported - filled) / count
        filled += step
    return rows[-1] + (unreported - filled) / len(rows)
