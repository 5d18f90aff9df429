"""Plain records that the decision module keeps, and its indexes over them; no decision is made here."""

from tuliptrack.state.choosing import any_of, least_of, median_low
from tuliptrack.state.demand import PREFIXES_KEPT, Asked
from tuliptrack.state.fleet import GONE_KEPT, Changed, Fleet
from tuliptrack.state.loads import Candidates, Group, Loads
from tuliptrack.state.ramp import Ramp
from tuliptrack.state.records import Blame, Flight, Kind, Pace, Seat

__all__ = [
    "GONE_KEPT",
    "PREFIXES_KEPT",
    "Asked",
    "Blame",
    "Candidates",
    "Changed",
    "Fleet",
    "Flight",
    "Group",
    "Kind",
    "Loads",
    "Pace",
    "Ramp",
    "Seat",
    "any_of",
    "least_of",
    "median_low",
]
