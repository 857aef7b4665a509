"""Splits prompts into tokens and hashes their prefix blocks.

Engines cache prompts by blocks of ``defaults.CACHE_BLOCK_TOKENS`` tokens and publish
cache events by block hash, so the router and the engines must use the same hashes.
"""

import hashlib
import itertools
import json

from . import defaults
from .request import MAX_SUSPECT_PARTS, fingerprint

#: Blocks at the start of a prompt that make its routing key (64 tokens).
KEY_BLOCKS = 4


def prompt_tokens(body):
    """Return the prompt tokens of an OpenAI-compatible request ``body``."""
    if "messages" in body:
        text = " ".join(str(m.get("content", "")) for m in body["messages"])
    else:
        text = str(body.get("prompt", ""))
    return text.split()


def block_hashes(tokens, block=defaults.CACHE_BLOCK_TOKENS):
    """Return the chained hash of each complete block of ``tokens``, in order.

    :param block: tokens of a block.
    """
    hashes = []
    digest = hashlib.blake2b(digest_size=8)
    for start in range(0, len(tokens) - block + 1, block):
        digest.update(" ".join(tokens[start : start + block]).encode())
        hashes.append(digest.copy().hexdigest())
    return hashes


def routing_key(tokens):
    """Return the hash of the first :data:`KEY_BLOCKS` blocks.

    It is empty for a shorter prompt.
    """
    hashes = block_hashes(tokens[: KEY_BLOCKS * defaults.CACHE_BLOCK_TOKENS])
    return hashes[-1] if len(hashes) == KEY_BLOCKS else ""


def conversation_works(tenant, body):
    """Return the fingerprints of the beginnings that other turns of a chat share.

    Each turn has a new body, which begins with the messages of those before it.

    :param body: an OpenAI-compatible request; one without messages has none.
    :returns: one fingerprint for each beginning, the shortest first.
    """
    works, work = [], fingerprint("conversation", tenant)
    for message in itertools.islice(_messages(body)[:-1], MAX_SUSPECT_PARTS):
        work = fingerprint(work, json.dumps(message, sort_keys=True))
        works.append(work)
    return tuple(works)


def _messages(body):
    messages = body.get("messages")
    return messages if isinstance(messages, list) else []
