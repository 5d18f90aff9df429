"""Records that the routing decisions are based on, and indexes over them; no decisions are made here."""
