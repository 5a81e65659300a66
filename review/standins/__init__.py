"""Stand-ins for the users' platform, minions and clients.

They follow the users' pages and use what the build of the deploy file has put
into ``target/deps``, nothing else.
"""
