"""Task scheduling on a fleet of runners.

`jobs`, `packing`, `preemption`, `ranking`, `runner_health`, `speeds`, `admission` and `scheduler`
hold state and make decisions without I/O; `follower`, `leadership`, `links` and `planner` do I/O
through the protocols in `ports`.
"""
