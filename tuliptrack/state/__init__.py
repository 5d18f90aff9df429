"""Records that the routing decisions keep, and indexes over them; nothing is decided here."""
