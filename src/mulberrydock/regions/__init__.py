"""Where work goes when data centres lie in several regions.

Here belongs what depends on the distance between regions: how far an instance is, and
whether it is near enough. It imports nothing but the standard library and ``attrs``.
"""

from .distances import Distances

__all__ = ["Distances"]
