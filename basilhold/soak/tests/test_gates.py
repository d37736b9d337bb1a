import asyncio
import unittest

from basilhold.soak.gates import VmGate, run_pausable


class VmGateTest(unittest.TestCase):
    """Guards against pauses that do not stop a VM, or that stop others too."""

    def test_pause_holds_back_timers_of_one_vm_only(self):
        ticks = {"paused": [], "other": []}

        async def tick(name):
            for _ in range(5):
                await asyncio.sleep(1)
                ticks[name].append(asyncio.get_running_loop().time())

        async def main():
            paused, other = VmGate(), VmGate()
            tasks = [
                paused.create_task(tick("paused")),
                other.create_task(tick("other")),
            ]
            await asyncio.sleep(1.5)
            paused.pause()
            await asyncio.sleep(10)
            paused.resume()
            await asyncio.gather(*tasks)

        run_pausable(main())
        self.assertEqual([round(t, 3) for t in ticks["other"]], [1, 2, 3, 4, 5])
        expected = [1, 11.5, 12.5, 13.5, 14.5]
        self.assertEqual([round(t, 3) for t in ticks["paused"]], expected)

    def test_cancelled_timer_does_not_run_after_a_pause(self):
        async def main():
            gate, calls = VmGate(), []

            async def start():
                loop = asyncio.get_running_loop()
                return loop.call_later(1, calls.append, "late")

            timer = await gate.create_task(start())
            gate.pause()
            await asyncio.sleep(2)
            timer.cancel()
            gate.resume()
            await asyncio.sleep(2)
            return calls

        self.assertEqual(run_pausable(main()), [])
