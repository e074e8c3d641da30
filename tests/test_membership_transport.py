"""Members that communicate through real UDP sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from garnetusher.membership.actions import Action, Stopped, StopReason
from garnetusher.membership.codec import Codec
from garnetusher.membership.member import Member
from garnetusher.membership.messages import Address
from garnetusher.membership.settings import MemberSettings
from garnetusher.membership.transport import UdpTransport
from garnetusher.membership.view import State


def test_members_find_each_other_and_notice_when_one_leaves() -> None:
    async def run() -> None:
        transports: list[UdpTransport] = []
        actions: list[Action] = []
        seeds: list[Address] = []

        def create_member(index: int) -> Callable[[Address, int], Member]:
            return lambda address, now_us: Member(
                MemberSettings(f"p{index}", "sidecar", "z", *address, seeds=list(seeds)),
                Codec("test"),
                1,
                index,
                now_us,
            )

        for index in range(4):
            transports.append(UdpTransport(create_member(index), actions.append))
            seeds.append(await transports[-1].open("127.0.0.1", 0))
        async with asyncio.timeout(20):
            while any(t.member is None or t.member.view.active_count < 4 for t in transports):  # noqa: ASYNC110  a member has no event to wait for
                await asyncio.sleep(0.02)
            await transports[3].leave()
            first = transports[0].member
            while first is None or first.view.entries["p3"].state != State.LEFT:  # noqa: ASYNC110  a member has no event to wait for
                await asyncio.sleep(0.02)
        assert Stopped(StopReason.LEFT) in actions
        for transport in transports:
            transport.close()

    asyncio.run(run())
