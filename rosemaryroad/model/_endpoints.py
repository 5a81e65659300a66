"""Endpoints, the back ends on which tasks run."""

import ipaddress
import re

import attrs

_PORT = re.compile('[0-9]{1,5}')
_PORTS_END = 65_536
_IPV6 = 6

# How much of a text that is no address an error shows.
_SHOWN = 60


@attrs.frozen
class Address:
    """Where a process listens.

    Attributes:
        host: An IP number; names are not resolved.
        port: A TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        return f'{self.host}:{self.port}'

    @classmethod
    def parse(cls, text: str) -> 'Address':
        """Reads ``IP:port``.

        Raises:
            ValueError: The host is no IP number or the port is no port.
        """
        host, _, port = text.rpartition(':')
        if not _PORT.fullmatch(port) or not 0 < int(port) < _PORTS_END:
            raise ValueError(f'not an IP:port address: {text[:_SHOWN]!r}')
        if host.startswith('[') and host.endswith(']'):
            number = ipaddress.IPv6Address(host[1:-1])
        else:
            number = ipaddress.ip_address(host)
        if number.version == _IPV6 and number.scope_id is not None:
            raise ValueError('an address with a scope')
        return cls(host, int(port))


@attrs.frozen
class Endpoint:
    """One minion of a service, as the document or the VM list gives it.

    Attributes:
        id: The id of the endpoint VM.
        incarnation: One life of that VM; a mark such as "leaving" holds
            only for the life in which it was made.
        address: Where the minion listens, as ``IP:port``.
        failure_domain: The failure domain it stands in.
        slots: Tasks that it runs at once.
        connections: Connections that it accepts, from all entry VMs.
        cores: Processor cores of the VM.
        memory_mb: Memory of the VM.
        accelerators: Accelerators of the VM.
        leaving: Whether the source says that it is leaving.
    """

    id: str
    address: str
    failure_domain: str
    incarnation: str = '0'
    slots: int = attrs.field(default=8, validator=attrs.validators.ge(1))
    connections: int = attrs.field(
        default=64, validator=attrs.validators.ge(1)
    )
    cores: float = attrs.field(default=1.0, validator=attrs.validators.gt(0))
    memory_mb: int = attrs.field(
        default=1024, validator=attrs.validators.gt(0)
    )
    accelerators: int = attrs.field(
        default=0, validator=attrs.validators.ge(0)
    )
    leaving: bool = False

    def __attrs_post_init__(self) -> None:
        Address.parse(self.address)
