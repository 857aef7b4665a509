"""Checks of a soak's streams over all requests with which clients went on with them."""

import collections

from platform_fleet import event_ids, event_versions, whole_events


def find_violations(outcomes):
    """Yield what is wrong with the streams in ``outcomes``, as their clients saw them.

    A client goes on after the last event that it has, so its events have to be in order
    without a gap, whether or not a request ended as complete.
    """
    versions = collections.defaultdict(set)
    for outcome in outcomes:
        events = whole_events(outcome.body)
        ids, first = event_ids(events), outcome.after_event + 1
        if ids != list(range(first, first + len(ids))):
            yield f"ORDER: {outcome.id} got events {ids} after {outcome.after_event}"
        versions[outcome.origin or outcome.id] |= event_versions(events)
    for origin, found in versions.items():
        if len(found) > 1:
            yield f"ORDER: {origin} has events of the versions {sorted(found)}"
