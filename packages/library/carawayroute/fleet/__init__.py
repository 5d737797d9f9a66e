"""Scheduling tasks on a fleet of runners: state, decisions, and the planner that carries them out.

`book`, `packing`, `preemption`, `order`, `admission` and `scheduler` decide and do no input or
output; `follower`, `leadership`, `links` and `planner` act on the protocols of `ports`.
"""
