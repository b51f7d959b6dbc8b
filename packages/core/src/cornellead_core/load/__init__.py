"""Server load: reports, aggregated summaries and the admission bound."""

from __future__ import annotations

from cornellead_core.load._bound import BATCH_SHARE
from cornellead_core.load._bound import DEFAULT_BOUND
from cornellead_core.load._bound import DEFAULT_MARGIN
from cornellead_core.load._bound import admission_limit
from cornellead_core.load._digest import DcSummary
from cornellead_core.load._digest import Digest
from cornellead_core.load._digest import LoadReport
from cornellead_core.load._digest import ServerState
from cornellead_core.load._digest import decode_digest
from cornellead_core.load._digest import encode_digest
from cornellead_core.load._load_table import EXPIRY_S
from cornellead_core.load._load_table import HORIZON_S
from cornellead_core.load._load_table import TOTAL
from cornellead_core.load._load_table import LoadEstimate
from cornellead_core.load._load_table import LoadTable
from cornellead_core.load._load_table import single_server_group

__all__ = [
    "BATCH_SHARE",
    "DEFAULT_BOUND",
    "DEFAULT_MARGIN",
    "EXPIRY_S",
    "HORIZON_S",
    "TOTAL",
    "DcSummary",
    "Digest",
    "LoadEstimate",
    "LoadReport",
    "LoadTable",
    "ServerState",
    "admission_limit",
    "decode_digest",
    "encode_digest",
    "single_server_group",
]
