"""Links between entry VMs: websockets that carry CBOR messages."""

from rosemaryroad.peers._codec import decode
from rosemaryroad.peers._codec import encode
from rosemaryroad.peers._codec import MalformedMessage
from rosemaryroad.peers._codec import MAX_MESSAGE_BYTES
from rosemaryroad.peers._codec import MessageTooLarge
from rosemaryroad.peers._codec import UnknownKind
from rosemaryroad.peers._handler import LinkLimits
from rosemaryroad.peers._handler import MessageCounts
from rosemaryroad.peers._handler import PeerHandler
from rosemaryroad.peers._links import PeerLinks

__all__ = [
    'MAX_MESSAGE_BYTES',
    'LinkLimits',
    'MalformedMessage',
    'MessageCounts',
    'MessageTooLarge',
    'PeerHandler',
    'PeerLinks',
    'UnknownKind',
    'decode',
    'encode',
]
