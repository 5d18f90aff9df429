"""`python -m tuliptrack`."""

from tuliptrack.cli.main import main

if __name__ == "__main__":
    main()
