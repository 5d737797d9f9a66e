"""Run every benchmark."""

from bench import cost, flood, placement, recovery, routing, scale

for module in (placement, scale, recovery, flood, routing, cost):
    module.main()
