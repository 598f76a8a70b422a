"""Scheduling decisions, replicated state and ownership of racks."""

from .exceptions import AmaranthflowError as AmaranthflowError
from .exceptions import NotReady as NotReady
from .exceptions import Overloaded as Overloaded
from .exceptions import RequestRefused as RequestRefused
from .exceptions import RequestUncertain as RequestUncertain
from .verdict import Verdict as Verdict
