"""Loops that each own one piece of state."""

from rosemaryroad.controllers._documents import DocumentsController
from rosemaryroad.controllers._endpoints import EndpointsController
from rosemaryroad.controllers._members import HeartbeatLinks
from rosemaryroad.controllers._members import HeartbeatSink
from rosemaryroad.controllers._members import MembersController

__all__ = [
    'DocumentsController',
    'EndpointsController',
    'HeartbeatLinks',
    'HeartbeatSink',
    'MembersController',
]
