"""Share a queue fairly between two kinds of request while one of them floods it."""

from carawayroute.fair_queue import FairQueue

queue: FairQueue[str] = FairQueue(lambda path: (1.0, 1.0, 1.0))
for number in range(1_000):
    queue.push(("export", "studio", "robot"), f"export {number}")
queue.push(("preview", "studio", "alice"), "preview 1")

first_three = [queue.pop(lambda item: 1.0) for _ in range(3)]
print(first_three)
