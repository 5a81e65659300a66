"""Which jobs were not answered in time, and why, from all VMs' logs."""

from rosemaryroad.losses._causes import Cause
from rosemaryroad.losses._page import page
from rosemaryroad.losses._report import Dimension
from rosemaryroad.losses._report import find
from rosemaryroad.losses._report import Group
from rosemaryroad.losses._report import group
from rosemaryroad.losses._report import Loss
from rosemaryroad.losses._report import LossReport
from rosemaryroad.losses._stories import JobStory
from rosemaryroad.losses._stories import tell

__all__ = [
    'Cause',
    'Dimension',
    'Group',
    'JobStory',
    'Loss',
    'LossReport',
    'find',
    'group',
    'page',
    'tell',
]
