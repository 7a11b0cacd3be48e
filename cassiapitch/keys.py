"""Keys as replicated state: listed by the bundle, granted, or withdrawn."""

import dataclasses

from cassiapitch.bundle import Bundle
from cassiapitch.commands import GrantKey, KeyChanged, KeyRefused, WithdrawKey
from cassiapitch.types import AccountName
from cassiapitch.view import Changes
from cassiapitch.viewitems import (
    KeyItem,
)


@dataclasses.dataclass(frozen=True, slots=True)
class GrantedKey:
    """A key that an operator granted outside of a bundle."""

    account: AccountName
    index: int
    author: str


@dataclasses.dataclass(frozen=True, slots=True)
class WithdrawnKey:
    """A key that never works again, whatever a later bundle lists."""

    index: int
    author: str


@dataclasses.dataclass(slots=True)
class Keys:
    """State of all keys; a withdrawn key's record is kept for ever.

    Attributes:
        accounts: Client accounts of the bundle in force.
        listed: Maps digests that the bundle in force lists to their account.
        granted: Keys granted by operators.
        withdrawn: Keys withdrawn by operators.
    """

    accounts: set[AccountName] = dataclasses.field(default_factory=set)
    listed: dict[str, AccountName] = dataclasses.field(default_factory=dict)
    granted: dict[str, GrantedKey] = dataclasses.field(default_factory=dict)
    withdrawn: dict[str, WithdrawnKey] = dataclasses.field(default_factory=dict)

    def account_of(self, sha256: str) -> AccountName | None:
        """Returns the account that a key works for, or None if it doesn't work."""
        if sha256 in self.withdrawn:
            return None
        if sha256 in self.listed:
            return self.listed[sha256]
        grant = self.granted.get(sha256)
        return None if grant is None else grant.account

    def view_items(self) -> dict[str, KeyItem]:
        """Returns the view's items of all keys that work."""
        items = {}
        for sha256 in {**self.listed, **self.granted}:
            account = self.account_of(sha256)
            if account is not None:
                items[f"key/{sha256}"] = KeyItem(account)
        return items


def find_conflicts(keys: Keys, bundle: Bundle) -> list[str]:
    """Returns faults of a bundle that lists a granted key for another account."""
    faults = []
    for number, key in enumerate(bundle.keys):
        grant = keys.granted.get(key.sha256)
        if grant is not None and grant.account != key.client_account:
            faults.append(
                f"$.keys[{number}].client_account: the key is granted to "
                f"{grant.account!r}"
            )
    return faults


def withdrawn_key_warnings(keys: Keys, bundle: Bundle) -> tuple[str, ...]:
    """Returns a warning for each listed key that was withdrawn."""
    return tuple(
        f"$.keys[{number}].sha256: the key was withdrawn and stays withdrawn"
        for number, key in enumerate(bundle.keys)
        if key.sha256 in keys.withdrawn
    )


def set_bundle(keys: Keys, bundle: Bundle) -> None:
    """Takes over a new bundle's accounts and keys.

    A grant to an account that the bundle lacks ends: the key would otherwise work
    again by surprise once a later bundle reuses the account's name.
    """
    keys.accounts = {AccountName(item.name) for item in bundle.client_accounts}
    keys.listed = {key.sha256: AccountName(key.client_account) for key in bundle.keys}
    keys.granted = {
        sha256: grant
        for sha256, grant in keys.granted.items()
        if grant.account in keys.accounts
    }


def grant(
    keys: Keys, command: GrantKey, index: int
) -> tuple[KeyChanged | KeyRefused, Changes]:
    """Makes a key work for an account."""
    sha256 = command.sha256
    if sha256 in keys.withdrawn:
        return KeyRefused("key_withdrawn", "a withdrawn key never works again"), {}
    if command.account not in keys.accounts:
        message = f"no client account {command.account!r} in the bundle in force"
        return KeyRefused("account_unknown", message), {}
    working_for = keys.account_of(sha256)
    if working_for not in (None, command.account):
        return KeyRefused("key_conflict", "the key works for another account"), {}
    if sha256 in keys.granted:
        return KeyChanged(keys.granted[sha256].index), {}
    keys.granted[sha256] = GrantedKey(command.account, index, command.author)
    return KeyChanged(index), {f"key/{sha256}": KeyItem(command.account)}


def withdraw(
    keys: Keys, command: WithdrawKey, index: int
) -> tuple[KeyChanged, Changes]:
    """Stops a key for ever; also one that is not known yet."""
    sha256 = command.sha256
    if sha256 in keys.withdrawn:
        return KeyChanged(keys.withdrawn[sha256].index), {}
    keys.withdrawn[sha256] = WithdrawnKey(index, command.author)
    keys.granted.pop(sha256, None)
    return KeyChanged(index), {f"key/{sha256}": None}


def load(
    accounts: tuple[AccountName, ...],
    bundle: Bundle | None,
    granted: dict[str, GrantedKey],
    withdrawn: dict[str, WithdrawnKey],
) -> Keys:
    """Returns the state that a snapshot holds."""
    listed = () if bundle is None else bundle.keys
    return Keys(
        set(accounts),
        {key.sha256: AccountName(key.client_account) for key in listed},
        granted,
        withdrawn,
    )
