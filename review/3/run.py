"""All processes are killed while a wide job is under way; afterwards the progress of the job no longer fits into a row of the store."""

import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins"))
import cell as standins

WIDE_JOB = "5c0e7a21d94b36f8"
TASKS_PER_STEP = 3300
RECOVERY_S = 12
OBSERVED_S = 15


def desired_state(version):
    def route(name, priority):
        return {"name": name, "host": standins.HOST, "pathPrefix": "/%s/" % name, "service": "desk", "priority": priority,
                "maxAttempts": 3, "slackFactor": 3, "targetLatencyMs": 3000}
    return {"version": version, "limits": {"maxBodyBytes": 65536}, "services": [{"name": "desk"}],
            "routes": [route("quick", 0), route("sweep", 2)]}


async def scenario():
    cell = standins.Cell(os.path.dirname(os.path.abspath(__file__)))
    calls = []

    async def client(number):
        """Hands in a small job once, at one entry process."""
        entry = cell.entries[number % len(cell.entries)]
        sent = time.monotonic()
        job = "%016x" % (0xA00000 + number)
        status, _ = await standins.call(entry.front, "POST", "/quick/" + job,
                                        {"spec": "quick", "taskGroups": [{"count": 1, "cpu": 100, "memMb": 64, "estimateMs": 200}]})
        cell.record.write("client POST %s at %s: %s" % (job, entry.name, status))
        calls.append((sent, status == 200))

    def served(begin, end):
        answers = [is_served for sent, is_served in calls if begin <= sent < end]
        return sum(answers), len(answers)

    try:
        for number in range(2):
            cell.add_worker("i-desk-%d" % number, "desk",
                            duration=lambda task, attempt: 0.4 if task.startswith(WIDE_JOB) else 0.1)
        if not await cell.start(desired_state(3)):
            return 2
        await asyncio.sleep(3)
        pending = []
        is_open = True

        async def traffic():
            number = 0
            while is_open:
                number += 1
                pending.append(asyncio.create_task(client(number)))
                await asyncio.sleep(0.25)

        begin = time.monotonic()
        sender = asyncio.create_task(traffic())
        await asyncio.sleep(4)
        step = {"count": TASKS_PER_STEP, "cpu": 100, "memMb": 64, "estimateMs": 400}
        if not await cell.submit(WIDE_JOB, {"spec": "sweep", "taskGroups": [step, {**step, "dependsOn": [0]}]}, "/sweep/"):
            return 2
        while len(cell.done) < 1000 and time.monotonic() < begin + 34:
            await asyncio.sleep(0.02)
        fault = time.monotonic()
        if standins.trouble():
            for entry in cell.entries:
                entry.signal(signal.SIGKILL)
            await asyncio.gather(*[asyncio.to_thread(entry.process.wait) for entry in cell.entries])
            await asyncio.sleep(1)
            for entry in cell.entries:
                entry.start()
        back = time.monotonic()
        await asyncio.sleep(RECOVERY_S + OBSERVED_S)
        is_open = False
        await sender
        await asyncio.gather(*pending)
        before, all_before = served(begin, fault)
        after, all_after = served(back + RECOVERY_S, back + RECOVERY_S + OBSERVED_S)
        state = await cell.state(WIDE_JOB, "/sweep/")
        largest = max(len(value) for (table, _), (value, _) in cell.store.rows.items() if table == "progress")
        text = ("served before the final fault: %d of %d; sent later than %d s after the machines are back: %d of %d; "
                "the wide job: %s, %d of %d tasks done; largest row of progress: %d bytes; refused transactions: %d"
                % (before, all_before, RECOVERY_S, after, all_after, state,
                   len([task for task in cell.done if task.startswith(WIDE_JOB)]), 2 * TASKS_PER_STEP, largest, cell.store.too_large))
        cell.record.write(text)
        print(text)
        if all_before < 4 or 4 * before < all_before or not all_after:
            return 2
        return 1 if 4 * after < all_after else 0
    finally:
        cell.close()


standins.run(scenario)
