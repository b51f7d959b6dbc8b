"""At-most-once execution: claim records on the log and the ledger that decides on them."""

from __future__ import annotations

from cornellead_core.claims._identity import PARTITION_COUNT
from cornellead_core.claims._identity import key_digest
from cornellead_core.claims._identity import partition_of
from cornellead_core.claims._identity import rank_owners
from cornellead_core.claims._identity import request_digest
from cornellead_core.claims._identity import stream_name
from cornellead_core.claims._ledger import Epoch
from cornellead_core.claims._ledger import KeyState
from cornellead_core.claims._ledger import KeyView
from cornellead_core.claims._ledger import Ledger
from cornellead_core.claims._ledger import Verdict
from cornellead_core.claims._records import CancelRecord
from cornellead_core.claims._records import ClaimRecord
from cornellead_core.claims._records import ClaimsRecord
from cornellead_core.claims._records import DoneRecord
from cornellead_core.claims._records import EpochRecord
from cornellead_core.claims._records import decode_record
from cornellead_core.claims._records import encode_record
from cornellead_core.claims._retention import check_retention
from cornellead_core.claims._retention import clock_allowance_s

__all__ = [
    "PARTITION_COUNT",
    "CancelRecord",
    "ClaimRecord",
    "ClaimsRecord",
    "DoneRecord",
    "Epoch",
    "EpochRecord",
    "KeyState",
    "KeyView",
    "Ledger",
    "Verdict",
    "check_retention",
    "clock_allowance_s",
    "decode_record",
    "encode_record",
    "key_digest",
    "partition_of",
    "rank_owners",
    "request_digest",
    "stream_name",
]
