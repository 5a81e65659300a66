"""Log lines as the daemons write them, for tests of their readers."""

import json


def line(second: float, vm: str, event: str, **fields: object) -> str:
    """Returns a line of a VM at a second of one minute."""
    pairs = ' '.join(
        f'{key}={json.dumps(value) if " " in str(value) else value}'
        for key, value in fields.items()
    )
    stamp = f'2026-03-04T10:00:{second:06.3f}Z'
    return f'time={stamp} level=info entry_vm={vm} event={event} {pairs}\n'
