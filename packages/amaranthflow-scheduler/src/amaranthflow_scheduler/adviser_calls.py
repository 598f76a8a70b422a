"""How long calls to the adviser take, and how many workers one names.

The load are advisers that need seconds for a call. An adviser handles one call
of an instance after the other, also one that was given up, so that a call
which is given up too soon delays all that follow. The configuration says how
long a call takes; what calls have taken corrects it.
"""

from . import model

# The platform's estimate of a job's critical path includes one query about
# roughly this many workers.
_MAX_WORKERS = 30
# The platform's limit for one call.
_MOST_WORKERS = 100
# Workers may be named until they take as long as the rest of the call, or this
# time.
_MIN_NAMING_S = 0.2
# A call that takes longer delays the calls for other steps.
_MAX_CALL_S = 3.0
# A call is given up after this time beside twice the expected time.
_MIN_LIMIT_S = 1.0
_MAX_LIMIT_S = 60.0
_MAX_PATIENCE = 32.0
# A response that takes longer than configured by this ratio counts.
_LATE_RATIO = 1.5
# Validity of tickets if neither the configuration nor the response names it.
_DEFAULT_VALID_S = 10.0


class CallTimes:
    """What is known of the adviser's response times. Times are in seconds.

    :ivar busy_until_s: when the adviser has probably handled all calls that
        were given up.
    """

    def __init__(self):
        self.busy_until_s = float('-inf')
        # Time for each worker named, where the configuration says less.
        self._measured_s: dict[model.AdvicePolicy, float] = {}
        self._patience = 1.0

    def expected_s(self, policy: model.AdvicePolicy, workers: int) -> float:
        """Returns how long a call that names some workers takes."""
        return max(
            policy.call_ms(workers) / 1000,
            workers * self._measured_s.get(policy, 0.0),
        )

    def workers_per_call(
        self, policy: model.AdvicePolicy, wanted: int, rounds: int
    ) -> int:
        """Returns how many workers a call names.

        :param wanted: workers that the waiting tasks need if all are good.
        :param rounds: calls for the step so far.
        """
        decide_s = policy.decide_ms / 1000
        each_s = policy.each_ms / 1000
        if policy in self._measured_s:
            decide_s, each_s = 0.0, self._measured_s[policy]
        if each_s <= 0:
            return min(max(wanted, _MAX_WORKERS), _MOST_WORKERS)
        cheap = int(max(decide_s, _MIN_NAMING_S) / each_s)
        most = (_MAX_CALL_S - decide_s) / each_s
        if policy.valid_ms:
            # Tickets have to be used before they expire.
            most = min(most, (policy.valid_ms / 2000 - decide_s) / each_s)
        # Where few workers are good, further calls name more.
        count = min(max(wanted, cheap), _MAX_WORKERS) * 2**rounds
        return max(1, min(count, int(most * 2**rounds), _MOST_WORKERS))

    def limit_s(
        self, policy: model.AdvicePolicy, workers: int, now_s: float
    ) -> float:
        """Returns after which time a call is given up."""
        own_s = _MIN_LIMIT_S + 2 * self.expected_s(policy, workers)
        return min(
            _MAX_LIMIT_S, self._backlog_s(now_s) + self._patience * own_s
        )

    def on_response(
        self,
        policy: model.AdvicePolicy,
        workers: int,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Notes how long a call took."""
        self._patience = max(1.0, self._patience / 2)
        took_s = now_s - sent_s - self._backlog_s(sent_s)
        self.busy_until_s = float('-inf')
        if took_s > _LATE_RATIO * policy.call_ms(workers) / 1000:
            self._measured_s[policy] = took_s / workers
        else:
            self._measured_s.pop(policy, None)

    def on_no_response(
        self,
        policy: model.AdvicePolicy,
        workers: int,
        sent_s: float,
        now_s: float,
    ) -> None:
        """Notes a call that was given up, and that the adviser goes on with.

        The configuration may be wrong, so the following calls name fewer
        workers and are given more time.
        """
        self._patience = min(2 * self._patience, _MAX_PATIENCE)
        waited_s = now_s - sent_s - self._backlog_s(sent_s)
        self._measured_s[policy] = max(
            self._measured_s.get(policy, 0.0), 2 * waited_s / workers
        )
        self.busy_until_s = max(
            now_s, self.busy_until_s, sent_s + self.expected_s(policy, workers)
        )

    def _backlog_s(self, now_s: float) -> float:
        """Returns how long calls that were given up delay a further one."""
        return max(0.0, self.busy_until_s - now_s)


def valid_s(policy: model.AdvicePolicy, valid_ms: int) -> float:
    """Returns how long tickets are valid.

    :param valid_ms: what the response says; 0 if it says nothing.
    """
    return (valid_ms or policy.valid_ms) / 1000 or _DEFAULT_VALID_S
