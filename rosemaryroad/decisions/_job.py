"""One submission while it is unanswered."""

import collections

import attrs

from rosemaryroad import model


@attrs.define(eq=False)
class Job:
    """The state of a submission at its home.

    Attributes:
        submission: What the caller submitted.
        arrived: When it arrived, in milliseconds.
        deadline: When its answer stops being of use, in milliseconds.
        waiting: Places of the tasks that wait, next one first.
        running: Places of the tasks that are out, by attempt.
        results: Results so far, by place.
        refused_by: Endpoints that refused a task, by place.
        tries: How often a task was refused or tried again, by place.
        may_have_run: Whether any attempt may have started.
        longest_run_ms: The longest measured run time of a task.
        settled: Whether it has its final answer.
        held_for: What its next task needs, while the endpoints for that
            are full and the job stands aside.
        counted_class: The size class in which the queue counts it.
        counted_tasks: The waiting tasks that the queue counts for it.
        held_bytes: Bytes that it took when it was let in.
        result_bytes: Bytes of the results so far.
    """

    submission: model.Submission
    arrived: float
    deadline: float
    waiting: collections.deque[int]
    running: dict[int, int] = attrs.field(factory=dict)
    results: dict[int, bytes] = attrs.field(factory=dict)
    refused_by: dict[int, frozenset[str]] = attrs.field(factory=dict)
    tries: dict[int, int] = attrs.field(factory=dict)
    may_have_run: bool = False
    longest_run_ms: float | None = None
    settled: bool = False
    held_for: model.Needs | None = None
    counted_class: int = 0
    counted_tasks: int = 0
    held_bytes: int = 0
    result_bytes: int = 0

    @classmethod
    def create(cls, submission: model.Submission, now: float) -> 'Job':
        """Makes a job with all its tasks waiting."""
        return cls(
            submission=submission,
            arrived=now,
            deadline=now + submission.deadline_ms,
            waiting=collections.deque(range(len(submission.tasks))),
            held_bytes=submission.held_bytes,
        )

    @property
    def key(self) -> model.SubmissionKey:
        """The submission's key."""
        return self.submission.key

    @property
    def team(self) -> str:
        """The team it counts for."""
        return self.submission.team

    @property
    def tasks_left(self) -> int:
        """Tasks without a result."""
        return len(self.submission.tasks) - len(self.results)

    def count_try(self, index: int) -> int:
        """Counts one more try of a task and returns the number so far."""
        tries = self.tries.get(index, 0) + 1
        self.tries[index] = tries
        return tries

    def exclude(self, index: int, endpoint: str) -> None:
        """Keeps a task's next try away from an endpoint."""
        refused_by = self.refused_by.get(index, frozenset())
        self.refused_by[index] = refused_by | {endpoint}

    def record_run(self, run_ms: float) -> None:
        """Keeps the longest run time, the job's ideal response time."""
        if self.longest_run_ms is None or run_ms > self.longest_run_ms:
            self.longest_run_ms = run_ms

    def whole_answer(self) -> model.Answer:
        """Returns all results in the order submitted."""
        count = len(self.submission.tasks)
        return model.Answer(tuple(self.results[i] for i in range(count)))
