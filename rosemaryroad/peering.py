"""Serves what peers forward and takes in their heartbeats."""

from rosemaryroad import controllers
from rosemaryroad import errors
from rosemaryroad import filters
from rosemaryroad import local
from rosemaryroad import logs
from rosemaryroad import model
from rosemaryroad import peers
from rosemaryroad import refusals

__all__ = ['ForwardHandler']


class ForwardHandler(peers.PeerHandler):
    """What this entry VM does for its peers.

    Args:
        home: This incarnation.
        handler: Serves calls at home.
    """

    def __init__(
        self, home: model.Incarnation, handler: filters.Handler
    ) -> None:
        self._home = home
        self._handler = handler
        self._members: controllers.MembersController | None = None

    def connect(self, members: controllers.MembersController) -> None:
        """Sets who takes in heartbeats; needed before links are opened."""
        self._members = members

    async def forward(
        self, vm: str, message: model.Forward
    ) -> model.ForwardAnswer:
        """Serves a submission, or a wait for one, of a session of ours."""
        context = filters.Context(message.request_id)
        try:
            key = self._key(message.session, message.name)
            if message.submission is None:
                call = filters.Wait(context, key, message.wait_ms)
            else:
                call = self._submit(context, key, message)
            with logs.request_scope(message.request_id):
                reply = await self._handler(call)
        except errors.RosemaryroadError as error:
            reply = filters.Done(_failed(error))
        if isinstance(reply, filters.Running):
            return model.ForwardAnswer(
                message.request, None, reply.done_tasks, reply.tasks
            )
        return model.ForwardAnswer(message.request, reply.answer)

    @staticmethod
    def _submit(
        context: filters.Context,
        key: model.SubmissionKey,
        message: model.Forward,
    ) -> filters.Submit:
        submission = message.submission
        # Only the session named beside it has been compared with this
        # incarnation. A submission of another one, by a fault of the peer,
        # would be started here though its home is elsewhere.
        if submission.key != key:
            raise errors.InvalidRequest(
                'the forward names another submission than it carries',
                errors.ResultCode.INVALID_IDENTIFIER,
            )
        return filters.Submit(context, submission, message.wait_ms)

    async def cancel_forward(
        self, vm: str, message: model.CancelForward
    ) -> model.ForwardAnswer:
        """Cancels a submission, or ends a session, of ours."""
        context = filters.Context('')
        try:
            if message.name is None:
                session = self._session(message.session)
                call = filters.EndSession(context, session)
            else:
                key = self._key(message.session, message.name)
                call = filters.Cancel(context, key)
            answer = local.reply_to_answer(await self._handler(call))
        except errors.RosemaryroadError as error:
            answer = _failed(error)
        return model.ForwardAnswer(message.request, answer)

    def heartbeat(self, vm: str, message: model.Heartbeat) -> None:
        """Takes in a heartbeat."""
        self._members.heartbeat(vm, message)

    def peer_lost(self, vm: str) -> None:
        """The link to a peer is gone."""
        self._members.peer_lost(vm)

    def peer_joined(self, vm: str, incarnation: model.Incarnation) -> None:
        """A link to a peer stands."""
        self._members.peer_joined(vm, incarnation)

    def _key(self, session: str, name: str) -> model.SubmissionKey:
        return model.SubmissionKey(self._session(session), name)

    def _session(self, text: str) -> model.SessionId:
        session = model.SessionId.parse(text)
        # A peer may still take this life of the VM for the one before. Its
        # sessions are none of ours: serving them here would start their
        # tasks a second time.
        if session.home != self._home:
            raise errors.RefusedError(
                errors.ResultCode.HOME_GONE, errors.Run.UNKNOWN
            )
        return session


def _failed(error: errors.RosemaryroadError) -> model.Answer:
    return model.Answer(failure=refusals.to_failure(error))
