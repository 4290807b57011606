import sys
from pathlib import Path

from hypothesis import settings

# The adapter's package is not installed.
sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "platform"))

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=80)
settings.load_profile("ci")
