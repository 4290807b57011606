from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=80)
settings.load_profile("ci")
