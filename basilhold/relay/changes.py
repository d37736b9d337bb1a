"""Changes that travel over the relays to the store's region."""

import secrets

from expression import Error, Ok, Result

from basilhold.config import (
    ChangeError,
    ChangeRequest,
    ConfigStore,
    ConfigVersion,
    StoredVersion,
    WriteMark,
    check_change,
    decode_document,
    encode_document,
)
from basilhold.core import OfficeName, RegionName, ServiceName
from basilhold.relay.documents import (
    DocumentCopy,
    DocumentProblem,
    pack_document,
    unpack_document,
)
from basilhold.relay.state import RelayState
from basilhold.relay.subscription import RegionSubscription
from basilhold.rpc.messages_pb2 import ChangeMessage

__all__ = ["ConfigChanger", "read_change"]


class ConfigChanger:
    """Makes an operator's change at a gateway and puts it in force.

    In the store's region the gateway writes to the store and pushes the document.
    Elsewhere it sends the difference up the relays, because the write itself would
    carry the whole document over the paid link; without an answer it writes to the
    store after all, under the same write id.

    Parameters
    ----------
    store : ConfigStore
    subscription : RegionSubscription
    region, store_region : RegionName
        Region of the gateway and of the store.
    """

    def __init__(
        self,
        store: ConfigStore,
        subscription: RegionSubscription,
        region: RegionName,
        store_region: RegionName,
    ):
        self._store = store
        self._subscription = subscription
        self._is_remote = region != store_region

    async def change(
        self,
        request: ChangeRequest,
        services: frozenset[ServiceName] | None = None,
        restored_version: int = 0,
    ) -> Result[StoredVersion, ChangeError]:
        """Check a change, apply it by compare-and-set and put it in force."""
        checked = check_change(request, services)
        if checked.is_error():
            return Error(checked.error)
        write_id = secrets.token_hex(8)
        may_be_applied = False
        if self._is_remote:
            message = self._message(request, write_id, restored_version)
            reply = await self._subscription.submit_change(message)
            if reply.is_ok() and reply.ok.accepted:
                changed_unix_ms = reply.ok.changed_unix_ms
                return Ok(_accepted(request, changed_unix_ms, restored_version))
            may_be_applied = reply.is_ok() or reply.error.may_have_run
        mark = WriteMark(write_id, restored_version, may_be_applied)
        changed = await self._store.change(request, services, mark)
        if changed.is_ok():
            self._subscription.push(changed.ok.info.version, request.document)
        return changed

    async def roll_back(
        self,
        token_office: OfficeName,
        author: str,
        base_version: int,
        to_version: int,
        services: frozenset[ServiceName] | None = None,
    ) -> Result[StoredVersion, ChangeError]:
        """Apply the content of an earlier version as a new version."""
        earlier = await self._store.read_version(token_office, to_version)
        if earlier.is_error():
            return Error(earlier.error)
        document = earlier.ok.document
        request = ChangeRequest(token_office, author, base_version, document)
        return await self.change(request, services, to_version)

    def _message(
        self, request: ChangeRequest, write_id: str, restored_version: int
    ) -> ChangeMessage:
        document = request.document
        copy = DocumentCopy(
            document.office, request.base_version + 1, encode_document(document)
        )
        base = self._subscription.state.base(document.office, request.base_version)
        return ChangeMessage(
            token_office=request.token_office,
            author=request.author,
            base_version=request.base_version,
            document=pack_document(copy, base),
            write_id=write_id,
            restored_version=restored_version,
        )


def read_change(
    state: RelayState, message: ChangeMessage
) -> Result[tuple[ChangeRequest, DocumentCopy], DocumentProblem]:
    """Return the change that a message holds, with the document's JSON."""
    document = message.document
    base = state.base(OfficeName(document.office), document.base_version)
    unpacked = unpack_document(document, base)
    if unpacked.is_error():
        return Error(unpacked.error)
    decoded = decode_document(unpacked.ok.content)
    if decoded.is_error():
        return Error(DocumentProblem(decoded.error.reason))
    request = ChangeRequest(
        OfficeName(message.token_office),
        message.author,
        message.base_version,
        decoded.ok,
    )
    return Ok((request, unpacked.ok))


def _accepted(
    request: ChangeRequest, changed_unix_ms: int, restored_version: int
) -> StoredVersion:
    info = ConfigVersion(
        request.document.office,
        request.base_version + 1,
        request.author,
        changed_unix_ms,
        restored_version,
    )
    return StoredVersion(info, request.document)
