"""The HTTP headers between an entry VM and a minion."""

import enum

__all__ = ['Header']


class Header(enum.StrEnum):
    """Names of the headers; each time is a decimal number of ms."""

    # Repeated in every reply: without it an answer that arrives twice
    # would be taken for that of the next attempt on the connection.
    ATTEMPT = 'Rosemaryroad-Attempt'
    SUBMISSION = 'Rosemaryroad-Submission'
    TASK_INDEX = 'Rosemaryroad-Task-Index'
    DEADLINE_MS = 'Rosemaryroad-Deadline-Ms'
    DECLARED_RUN_MS = 'Rosemaryroad-Declared-Run-Ms'
    IDEMPOTENT = 'Rosemaryroad-Idempotent'
    REQUEST_ID = 'Rosemaryroad-Request-Id'
    RUN_MS = 'Rosemaryroad-Run-Ms'
    LOAD = 'Rosemaryroad-Load'
    NOT_RUN = 'Rosemaryroad-Not-Run'
