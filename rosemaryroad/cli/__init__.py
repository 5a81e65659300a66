"""The command-line tool ``rosemaryroad``."""

from rosemaryroad.cli._app import app
from rosemaryroad.cli._app import main

__all__ = ['app', 'main']
