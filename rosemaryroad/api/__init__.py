"""What callers and operators reach over HTTP."""

from rosemaryroad.api._admin import make_admin_blueprint
from rosemaryroad.api._admin_bodies import ChangeRequest
from rosemaryroad.api._admin_bodies import History
from rosemaryroad.api._admin_bodies import ServiceList
from rosemaryroad.api._admin_bodies import Valid
from rosemaryroad.api._admin_bodies import ValidateRequest
from rosemaryroad.api._callers import CallersApi
from rosemaryroad.api._callers import SubmitBody
from rosemaryroad.api._errors import error_body
from rosemaryroad.api._errors import ErrorBody
from rosemaryroad.api._errors import http_status
from rosemaryroad.api._status import PeerView
from rosemaryroad.api._status import ServiceStatus
from rosemaryroad.api._status import Status
from rosemaryroad.api._status import StatusApi
from rosemaryroad.api._status import StatusSource

__all__ = [
    'CallersApi',
    'ChangeRequest',
    'ErrorBody',
    'History',
    'PeerView',
    'ServiceList',
    'ServiceStatus',
    'Status',
    'StatusApi',
    'StatusSource',
    'SubmitBody',
    'Valid',
    'ValidateRequest',
    'error_body',
    'http_status',
    'make_admin_blueprint',
]
