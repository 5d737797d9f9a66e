"""Run the benchmarks one after another: placement, scale, recovery, flood, routing and cost."""

from bench import cost, flood, placement, recovery, routing, scale

for module in (placement, scale, recovery, flood, routing, cost):
    module.main()
