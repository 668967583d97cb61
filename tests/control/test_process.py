"""Messages between the members of control."""

from unittest.mock import Mock

from pistachiolever.control.process import ControlProcess
from pistachiolever.raft.models import RaftEnvelope, VoteRequest
from tests.support.cases import CaseTest


class ReceiveTest(CaseTest):
    """Only messages of members reach the consensus core."""

    # A message of a process that is no member ended the consensus task with KeyError,
    # as its answer had no sender.
    def test_message_of_an_unknown_member_is_dropped(self) -> None:
        process = Mock(sender_by_member={"b": Mock()}, unknown_senders=set())
        message = VoteRequest(1, "x", 0, 0, is_pre_vote=False)
        envelopes = [RaftEnvelope(name, "a", message) for name in ("x", "b", "x")]
        ControlProcess.receive(process, envelopes)
        received = [
            call.args[0].envelope.sender
            for call in process.consensus.inbox.put.call_args_list
        ]
        self.assertEqual(received, ["b"])
        self.assertEqual(process.context.recorder.record.call_count, 1)
