"""Objects that the log lost when it came back from an older copy."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import msgspec

from cornellead_core.config import ChangeRecord
from cornellead_core.config import ConfigObject
from cornellead_core.config import ConfigState

if TYPE_CHECKING:
    from collections.abc import Mapping

_encoder = msgspec.json.Encoder(order="deterministic")


class LostObjects:
    """Objects in force that a restored log may lack; they stay in force until it has them again.

    A change of an object since the log came back takes precedence over the lost one. Until then,
    the lost changes are appended again as changes of their own, which the reducer decides on.
    """

    def __init__(self) -> None:
        self.restored_ms = 0
        """Unix time in ms at which the log came back; earlier records are those of its copy.

        It is 0 if the log did not tell; no lost change then takes precedence over one on the log.
        """
        self.copy_end = 0
        """Offset after the last record of the copy, as far as records were read."""
        self._objects: dict[str, ConfigObject] = {}

    def begin(self, objects: Mapping[str, ConfigObject], *, restored_ms: int) -> None:
        """Keep the objects in force while the log is read again."""
        self._objects = dict(objects)
        self.restored_ms = restored_ms
        self.copy_end = 0

    def skip_copy(self, offset: int, *, time_ms: int) -> None:
        """Take a record into account that was read from the log."""
        if time_ms < self.restored_ms:
            self.copy_end = max(self.copy_end, offset + 1)

    def add_to(self, state: ConfigState) -> ConfigState:
        """Return a state with the objects that it lacks."""
        missing = self._missing_in(state)
        return state._replace(objects={**state.objects, **missing}) if missing else state

    def settle(self, state: ConfigState, *, era: int) -> None:
        """Drop the objects that the log has again or that were changed or rejected since."""
        self._objects = {
            name: item
            for change in self.make_changes(state, era=era)
            if state.find_decision(change.change_id) is None
            for name, item in self._objects.items()
            if name in change.objects
        }

    def make_changes(self, state: ConfigState, *, era: int) -> list[ChangeRecord]:
        """Return the lost changes, oldest first, based on a state of the restored log.

        All processes give a change the same id, so it is applied once.
        """
        missing = self._missing_in(state)
        changes = []
        for version, author in sorted({(item.version, item.author) for item in missing.values()}):
            values = {
                name: item.value
                for name, item in missing.items()
                if (item.version, item.author) == (version, author)
            }
            digest = hashlib.sha256(_encoder.encode(values)).hexdigest()
            changes.append(
                ChangeRecord(f"restored-{era}-{digest[:32]}", author, state.offset, values)
            )
        return changes

    def _missing_in(self, state: ConfigState) -> dict[str, ConfigObject]:
        missing = {}
        for name, item in self._objects.items():
            current = state.objects.get(name)
            if current is not None and current.version >= self.copy_end:
                continue
            if item.value != (None if current is None else current.value):
                missing[name] = item
        return missing
