"""What was sent, answered and run, with the time since the start."""

import pathlib
import time


class Record:
    """Writes one line an event, and keeps them for the check."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = path.open('w')
        self.events: list[tuple[float, str, dict]] = []

    def now(self) -> float:
        return time.monotonic() - self._began

    def add(self, what: str, /, **fields: object) -> float:
        at = self.now()
        self.events.append((at, what, fields))
        text = ' '.join(f'{key}={value}' for key, value in fields.items())
        self._file.write(f'{at:8.3f} s  {what}  {text}\n')
        self._file.flush()
        return at

    def of(self, what: str) -> list[tuple[float, dict]]:
        return [
            (at, fields) for at, kind, fields in self.events if kind == what
        ]
