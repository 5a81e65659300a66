"""Lost jobs over time, as a page with a plot."""

import collections
import html

from plotly import graph_objects

from rosemaryroad.losses import _causes
from rosemaryroad.losses import _report

_PAGE = """<!DOCTYPE html>
<html lang="en">
<head><meta charset="utf-8"><title>Lost jobs</title></head>
<body>
<h1>Lost jobs</h1>
<p>{lost} of {jobs} jobs were not answered in time, {unserved} of them got no
answer of use. {skipped} log lines could not be read.</p>
{plot}
</body>
</html>
"""


def page(report: _report.LossReport) -> str:
    """Returns a page of HTML that needs no other file and no network."""
    figure = graph_objects.Figure()
    for cause in _causes.Cause:
        counts = collections.Counter(
            loss.second for loss in report.losses if loss.cause is cause
        )
        if counts:
            figure.add_bar(
                name=html.escape(cause.value),
                x=sorted(counts),
                y=[counts[second] for second in sorted(counts)],
            )
    figure.update_layout(
        barmode='stack',
        xaxis_title='second in which the job came',
        yaxis_title='jobs not answered in time',
        height=520,
    )
    return _PAGE.format(
        lost=len(report.losses),
        jobs=report.jobs,
        unserved=sum(not loss.is_served for loss in report.losses),
        skipped=report.skipped,
        plot=figure.to_html(full_html=False, include_plotlyjs=True),
    )
