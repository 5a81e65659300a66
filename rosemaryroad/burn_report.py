"""The report on service-level burn, as a table's rows and as a page."""

import collections.abc
import html

import attrs
from plotly import graph_objects

from rosemaryroad import decisions
from rosemaryroad import errors
from rosemaryroad import porcelain

__all__ = ['Row', 'page', 'rows']


_PAGE = """<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>Service-level burn</title></head>
<body>
<h1>Service-level burn</h1>
<p>Counted by {reached}.</p>
{missing}
{plots}
</body>
</html>
"""


@attrs.frozen
class Row:
    """One service over one window.

    Attributes:
        service: The service.
        window: The window's name.
        answers: Answers that count.
        bad: Bad ones among them.
        bad_share: Their share.
        budget: The share that the objective allows.
        rate: How many times faster than allowed the budget goes.
        late: Whole answers that came too late.
        failed: Answers that failed.
        refused: Answers that were refused.
        by_code: Failed and refused ones by code, such as
            ``2001 queue_full: 3``.
    """

    service: str
    window: str
    answers: int
    bad: int
    bad_share: float
    budget: float
    rate: float
    late: int
    failed: int
    refused: int
    by_code: tuple[str, ...]


def rows(report: porcelain.BurnReport) -> tuple[Row, ...]:
    """Returns the rows of the report, by service, shortest window first."""
    return tuple(
        _row(burn, window)
        for burn in report.snapshot.services
        for window in burn.windows
    )


def page(report: porcelain.BurnReport) -> str:
    """Returns a page of HTML that needs no other file and no network."""
    plots = []
    for burn in report.snapshot.services:
        # The plotting library goes into the page once.
        plots.append(
            _figure(burn).to_html(full_html=False, include_plotlyjs=not plots)
        )
    return _PAGE.format(
        reached=html.escape(', '.join(report.reached) or 'nobody'),
        missing='\n'.join(_missing(item) for item in report.not_reached),
        plots='\n'.join(plots) or '<p>There were no answers.</p>',
    )


def _row(burn: decisions.ServiceBurn, window: decisions.WindowBurn) -> Row:
    return Row(
        service=burn.service,
        window=window.window,
        answers=window.answers,
        bad=window.bad,
        bad_share=window.bad_share,
        budget=1.0 - burn.objective.target,
        rate=burn.rate(window),
        late=window.late,
        failed=window.failed,
        refused=window.refused,
        by_code=tuple(
            f'{_label(item.code)}: {item.count}' for item in window.bad_by_code
        ),
    )


def _label(code: errors.ResultCode) -> str:
    return f'{int(code)} {code.name.lower()}'


def _missing(item: porcelain.NotReached) -> str:
    text = html.escape(f'{item.address} ({item.detail})')
    return f'<p><strong>Not reached:</strong> {text}</p>'


def _figure(burn: decisions.ServiceBurn) -> graph_objects.Figure:
    figure = graph_objects.Figure()
    windows = [window.window for window in burn.windows]
    for cause, shares in _causes(burn).items():
        figure.add_bar(name=cause, x=windows, y=shares)
    figure.add_hline(y=1.0, line_dash='dash', annotation_text='budget')
    target = f'{burn.objective.target:.3%}'
    figure.update_layout(
        barmode='stack',
        title=html.escape(
            f'{burn.service}: {target} of answers within '
            f'{burn.objective.lag_ms:.0f} ms of the ideal'
        ),
        xaxis_title='window',
        yaxis_title='times the allowed rate',
        height=420,
    )
    return figure


def _causes(
    burn: decisions.ServiceBurn,
) -> dict[str, collections.abc.Sequence[float]]:
    """Returns what each cause adds to the burn rate of each window."""
    codes = sorted(
        {item.code for window in burn.windows for item in window.bad_by_code}
    )
    causes = {'late': [_part(burn, item, item.late) for item in burn.windows]}
    for code in codes:
        causes[_label(code)] = [
            _part(burn, window, _count(window, code))
            for window in burn.windows
        ]
    return causes


def _count(window: decisions.WindowBurn, code: errors.ResultCode) -> int:
    return sum(item.count for item in window.bad_by_code if item.code is code)


def _part(
    burn: decisions.ServiceBurn, window: decisions.WindowBurn, count: int
) -> float:
    return burn.rate(window) * count / window.bad if window.bad else 0.0
