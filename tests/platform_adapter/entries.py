"""Sound entries of the store, as operators and minions write them."""

ROUTE = {
    'name': 'r1',
    'host': 'h.example',
    'prefix': '/p/',
    'kind': 'non_idempotent',
    'timeout_ms': 1500,
    'target_latency_ms': 60,
    'priority': 2,
    'service': 'archive',
    'max_attempts': 4,
    'slack_factor': 1.6,
}
WORKER = {
    'service': 'archive',
    'address': '10.0.0.9:8080',
    'zone': 'szeged',
    'version': 'v1',
    'slots': 8,
    'state': 'ready',
    'warmup_left_ms': 0,
    'capacity': {'cpu': 16500, 'mem_mb': 32768, 'gpu': 1},
    'labels': ['a', 'r1-3'],
    'clock_ms': 482113,
    'sequence': 4,
}
