"""HTTP clients that implement the platform's protocols."""

from .http_calls import new_session
from .list_adapter import HttpInstanceList
from .log_adapter import HttpLogService
from .worker_adapter import HttpWorkerLink

__all__ = (
    'HttpInstanceList',
    'HttpLogService',
    'HttpWorkerLink',
    'new_session',
)
