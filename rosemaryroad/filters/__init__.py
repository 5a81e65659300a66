"""The chain of filters that each request passes."""

from rosemaryroad.filters._authenticate import AuthenticateFilter
from rosemaryroad.filters._calls import Call
from rosemaryroad.filters._calls import Cancel
from rosemaryroad.filters._calls import Context
from rosemaryroad.filters._calls import Done
from rosemaryroad.filters._calls import EndSession
from rosemaryroad.filters._calls import OpenSession
from rosemaryroad.filters._calls import PUBLIC_TEAM
from rosemaryroad.filters._calls import Reply
from rosemaryroad.filters._calls import Running
from rosemaryroad.filters._calls import SessionClosed
from rosemaryroad.filters._calls import SessionOpened
from rosemaryroad.filters._calls import Submit
from rosemaryroad.filters._calls import Wait
from rosemaryroad.filters._chain import chain
from rosemaryroad.filters._chain import Filter
from rosemaryroad.filters._chain import Handler
from rosemaryroad.filters._check import CheckFilter
from rosemaryroad.filters._home import HomeFilter
from rosemaryroad.filters._trace import TraceFilter

__all__ = [
    'PUBLIC_TEAM',
    'AuthenticateFilter',
    'Call',
    'Cancel',
    'CheckFilter',
    'Context',
    'Done',
    'EndSession',
    'Filter',
    'Handler',
    'HomeFilter',
    'OpenSession',
    'Reply',
    'Running',
    'SessionClosed',
    'SessionOpened',
    'Submit',
    'TraceFilter',
    'Wait',
    'chain',
]
