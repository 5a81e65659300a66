"""The daemon that serves jobs on a platform's workers."""

from rosemaryroad.jobserver._dispatcher_messages import take_message
from rosemaryroad.jobserver._front import JobFront
from rosemaryroad.jobserver._home import JobHome
from rosemaryroad.jobserver._node import JobNode
from rosemaryroad.jobserver._queues import QueueBook
from rosemaryroad.jobserver._settings import JobListen
from rosemaryroad.jobserver._settings import JobSettings
from rosemaryroad.jobserver._settings import load

__all__ = [
    'JobFront',
    'JobHome',
    'JobListen',
    'JobNode',
    'JobSettings',
    'QueueBook',
    'load',
    'take_message',
]
