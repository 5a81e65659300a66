"""Adapters to the endpoints on which tasks run."""

from rosemaryroad.endpoints._client import EndpointClient
from rosemaryroad.endpoints._headers import Header
from rosemaryroad.endpoints._http import HttpEndpointClient
from rosemaryroad.endpoints._workers import WorkerClient
from rosemaryroad.endpoints._workers import WorkerFenced
from rosemaryroad.endpoints._workers import WorkerReplaced
from rosemaryroad.endpoints._workers import WorkerUnreachable

__all__ = [
    'EndpointClient',
    'Header',
    'HttpEndpointClient',
    'WorkerClient',
    'WorkerFenced',
    'WorkerReplaced',
    'WorkerUnreachable',
]
