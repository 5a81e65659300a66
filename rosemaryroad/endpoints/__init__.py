"""Adapters to the endpoints on which tasks run."""

from rosemaryroad.endpoints._client import EndpointClient
from rosemaryroad.endpoints._headers import Header
from rosemaryroad.endpoints._http import HttpEndpointClient
from rosemaryroad.endpoints._leases import Control
from rosemaryroad.endpoints._leases import Controlled
from rosemaryroad.endpoints._leases import Lease
from rosemaryroad.endpoints._leases import LeaseRefusal
from rosemaryroad.endpoints._leases import LeaseRefused
from rosemaryroad.endpoints._leases import LeaseRequest
from rosemaryroad.endpoints._leases import LeaseResult
from rosemaryroad.endpoints._leases import LeaseUnknown
from rosemaryroad.endpoints._leases import Usage
from rosemaryroad.endpoints._leases import WorkerLeases
from rosemaryroad.endpoints._workers import WorkerClient
from rosemaryroad.endpoints._workers import WorkerFenced
from rosemaryroad.endpoints._workers import WorkerReplaced
from rosemaryroad.endpoints._workers import WorkerUnreachable

__all__ = [
    'Control',
    'Controlled',
    'EndpointClient',
    'Header',
    'HttpEndpointClient',
    'Lease',
    'LeaseRefusal',
    'LeaseRefused',
    'LeaseRequest',
    'LeaseResult',
    'LeaseUnknown',
    'Usage',
    'WorkerClient',
    'WorkerFenced',
    'WorkerLeases',
    'WorkerReplaced',
    'WorkerUnreachable',
]
