"""The settings of one daemon that serves jobs."""

import pathlib

import attrs

from rosemaryroad import _settings_parts
from rosemaryroad import dispatching
from rosemaryroad import errors
from rosemaryroad import structure
from rosemaryroad import yamlfile

_MS_PER_MINUTE = 60_000.0


def _not_empty(_: object, field: attrs.Attribute, value: str) -> None:
    if not value:
        raise ValueError(f'{field.name}: empty')


@attrs.frozen
class JobListen:
    """Where the daemon listens, each as ``IP:port``.

    Attributes:
        callers: For callers and their jobs.
        readiness: For the balancer's question whether it is ready.
        operators: For metrics.
        peers: For the other entry VMs.
    """

    callers: str = attrs.field(validator=_not_empty)
    readiness: str = attrs.field(validator=_not_empty)
    operators: str = attrs.field(validator=_not_empty)
    peers: str = attrs.field(validator=_not_empty)


@attrs.frozen
class JobPlatform:
    """Where the platform is and how it is to be used.

    Attributes:
        address: The store, as ``IP:port``.
        timeout_ms: How long one call of it may take.
    """

    address: str = attrs.field(validator=_not_empty)
    timeout_ms: float = attrs.field(
        default=1_000.0, validator=_settings_parts.between(1.0, _MS_PER_MINUTE)
    )


@attrs.frozen
class JobTimes:
    """Times of the deployment.

    Attributes:
        lease_ms: The longest lease that a worker gives.
        drain_ms: How long a leaving daemon may go on for its callers.
        remote_factor: How many times as long a task takes away from the
            rack where its data is.
        keep_ended_ms: For how long a job that has ended is remembered; its
            request may come again meanwhile.
    """

    lease_ms: float = attrs.field(
        default=1_000.0,
        validator=_settings_parts.between(100.0, _MS_PER_MINUTE),
    )
    drain_ms: float = attrs.field(
        default=5_000.0,
        validator=_settings_parts.between(1.0, 10 * _MS_PER_MINUTE),
    )
    remote_factor: float = attrs.field(
        default=3.0, validator=_settings_parts.between(1.0, 1_000.0)
    )
    keep_ended_ms: float = attrs.field(
        default=dispatching.KEEP_ENDED_MS,
        validator=_settings_parts.between(0.0, 10 * _MS_PER_MINUTE),
    )


@attrs.frozen
class JobSettings:
    """All settings of one daemon that serves jobs.

    Attributes:
        vm: The id of this entry VM.
        failure_domain: Where it stands.
        region: The region of the failure domain.
        listen: Where it listens.
        platform: Where the platform is.
        times: Times of the deployment.
        cores: Its share of a processor core.
        speed: How many times as fast as usual that core is. VMs that get
            more done dispatch first.
        deployment: A name that links of other deployments don't know.
        log: What it logs.
        scheduling: How its dispatchers share out scarce or uneven room.
    """

    vm: str = attrs.field(validator=_not_empty)
    failure_domain: str = attrs.field(validator=_not_empty)
    region: str = attrs.field(validator=_not_empty)
    listen: JobListen
    platform: JobPlatform
    times: JobTimes = JobTimes()
    cores: float = 1.0
    speed: float = 1.0
    deployment: str = 'rosemaryroad'
    log: _settings_parts.Log = _settings_parts.Log()
    scheduling: dispatching.SchedulingPolicy = dispatching.SchedulingPolicy()


def load(path: pathlib.Path) -> JobSettings:
    """Reads a settings file.

    Raises:
        errors.SettingsInvalid: With one problem for each fault.
    """
    try:
        return structure.structure(yamlfile.load(path), JobSettings)
    except errors.CheckFailed as error:
        raise errors.SettingsInvalid(error.problems, error.code) from error
