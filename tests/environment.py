"""Settings shared by all behave features."""

import hypothesis

hypothesis.settings.register_profile(
    'ci', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('ci')
