"""rosemaryroad, a dispatcher for sub-second tasks."""

__all__ = ['__version__']

__version__ = '0.1.0'
