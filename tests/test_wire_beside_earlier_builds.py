"""Messages of the group's membership beside builds of an earlier commit.

The bytes were recorded from commit 13a1a0a, which doesn't know spare members.
"""

import pytest

from cassiapitch import codec
from cassiapitch.raftmessages import (
    ChangeAnswer,
    ChangeAsk,
    ChangeKind,
    Group,
    GroupMember,
    PeerHello,
)

IP = "10.0.0.1"
RECORDED = {
    PeerHello(
        "c", IP, "d1", IP, 7600, True, "z", True, "10.0.0.2", 7600
    ): "92a95065657248656c6c6f8aa7636c7573746572a163a46e616d65a831302e302e302e31a76469736b5f6964a26431a26970a831302e302e302e31a4706f7274cd1db0a6666f726d6564c3a47a6f6e65a17aaa69735f6f757473696465c3a96c65616465725f6970a831302e302e302e32ab6c65616465725f706f7274cd1db0",
    ChangeAsk(
        7, 1, ChangeKind.REMOVE, IP
    ): "92a94368616e676541736b87a46c69666507a873657175656e636501a46b696e64a672656d6f7665a46e616d65a831302e302e302e31a47a6f6e65a0a26970a0a4706f727400",
    ChangeAnswer(
        7, 1, 12, None, False
    ): "92ac4368616e6765416e7377657285a46c69666507a873657175656e636501a5696e6465780ca6726561736f6ec0a9756e6365727461696ec2",
    Group(
        (GroupMember(IP, "d1", "z", IP, 7600, False),)
    ): "92a547726f757081a76d656d626572739186a46e616d65a831302e302e302e31a76469736b5f6964a26431a47a6f6e65a17aa26970a831302e302e302e31a4706f7274cd1db0a5766f746572c2",
}


@pytest.mark.parametrize(
    "message", RECORDED, ids=lambda message: type(message).__name__
)
def test_message_is_the_one_that_an_earlier_build_reads_and_writes(message):
    """Guards against an upgrade in which old and new members don't understand each
    other."""
    recorded = bytes.fromhex(RECORDED[message])
    assert codec.encode(message) == recorded
    assert codec.decode(recorded) == message
