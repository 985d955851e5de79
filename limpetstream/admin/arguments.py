"""Checks a whole command line before anything of it is carried out.

``fire`` calls a command first and finds left-over arguments afterwards, and it
reads each value as Python, so that the JSON body ``{"a":1}`` would be sent as
``{'a': 1}``. Here every argument is checked against the signature and
converted by its annotation; ``fire`` gets a command line that surely fits.
"""

import difflib
import inspect
from collections.abc import Callable, Iterable
from typing import Any, get_type_hints

import msgspec
from fire import decorators

from limpetstream import errors

HELP = frozenset({"--help", "-h", "help"})
TRUE = frozenset({"true", "yes", "1"})
FALSE = frozenset({"false", "no", "0"})


class WrongUsage(errors.LimpetstreamError):
    """The command line does not fit; nothing was carried out."""


def suggestion(word: str, known: Iterable[str]) -> str:
    """Return a suggestion for a mistyped word.

    >>> suggestion("membrs", ["members", "rights"])
    "; did you mean 'members'?"
    """
    close = difflib.get_close_matches(word, list(known), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def parse_setting_value(text: str) -> Any:
    """Return a settings value: JSON, a Python constant, or plain text.

    >>> [parse_setting_value(text) for text in ("900", "True", "out")]
    [900, True, 'out']
    >>> parse_setting_value('["read", "edit"]')
    ['read', 'edit']
    """
    if text in ("True", "False"):
        return text == "True"
    try:
        return msgspec.json.decode(text.encode())
    except (msgspec.DecodeError, UnicodeError, RecursionError):
        return text


def parse_number(text: str, kind: type) -> Any:
    """Return a number.

    Raises:
        WrongUsage: It is none.
    """
    try:
        return kind(text)
    except ValueError:
        name = "a whole number" if kind is int else "a number"
        raise WrongUsage(f"expected {name}, got {text!r}") from None


def parse_boolean(text: str) -> bool:
    """Return a boolean.

    Raises:
        WrongUsage: It is neither true nor false.
    """
    word = text.lower()
    if word not in TRUE | FALSE:
        raise WrongUsage(f"expected true or false, got {text!r}")
    return word in TRUE


def parser_of(annotation: Any) -> Callable[[str], Any]:
    """Return the function that reads values of a type."""
    if annotation in (int, float):
        return lambda text: parse_number(text, annotation)
    if is_boolean(annotation):
        return parse_boolean
    return parse_setting_value if annotation is Any else str


def is_boolean(annotation: Any) -> bool:
    """Return whether a parameter is a switch, given without a value."""
    return annotation is bool or annotation == bool | None


def parameters_of(function: Callable[..., Any]) -> dict[str, inspect.Parameter]:
    """Return the parameters of a command with evaluated annotations."""
    hints = get_type_hints(function)
    found = inspect.signature(function).parameters
    return {
        name: each.replace(annotation=hints.get(name, str))
        for name, each in found.items()
        if name != "self"
    }


def set_parsers(function: Callable[..., Any]) -> Callable[..., Any]:
    """Let ``fire`` read the values of a command by their annotations."""
    parameters = parameters_of(function)
    named = {
        name: parser_of(each.annotation)
        for name, each in parameters.items()
        if each.kind in (each.POSITIONAL_OR_KEYWORD, each.KEYWORD_ONLY)
    }
    has_settings = any(each.kind is each.VAR_KEYWORD for each in parameters.values())
    decorators.SetParseFn(parse_setting_value if has_settings else str)(function)
    return decorators.SetParseFns(**named)(function)


def split_options(
    words: list[str], parameters: dict[str, inspect.Parameter]
) -> tuple[list[str], dict[str, str]]:
    """Return plain arguments, and values by name, of a command line.

    Raises:
        WrongUsage: An option is unknown, repeated or has no value.
    """
    plain: list[str] = []
    value_by_name: dict[str, str] = {}
    left = iter(words)
    for word in left:
        if not word.startswith("--"):
            if word == "-":
                raise WrongUsage("'-' is no argument")
            plain.append(word)
            continue
        option, has_value, value = word[2:].partition("=")
        name, negated = resolve(option.replace("-", "_"), parameters)
        known = parameters.get(name)
        if known is not None and is_boolean(known.annotation):
            value = str(parse_boolean(value) is not negated) if has_value else ""
            value = value or str(not negated)
        elif not has_value:
            value = next(left, "--")
            if value.startswith("--"):
                raise WrongUsage(f"--{option} needs a value")
        if name in value_by_name:
            raise WrongUsage(f"--{option} is given twice")
        value_by_name[name] = value
    return plain, value_by_name


def resolve(name: str, parameters: dict[str, inspect.Parameter]) -> tuple[str, bool]:
    """Return the parameter of an option, and whether ``no`` negates it.

    Raises:
        WrongUsage: There is none.
    """
    if name in parameters:
        return name, False
    positive = parameters.get(name.removeprefix("no"))
    if positive is not None and is_boolean(positive.annotation):
        return positive.name, True
    if name and any(each.kind is each.VAR_KEYWORD for each in parameters.values()):
        return name, False
    raise WrongUsage(f"no option --{name}{suggestion(name, parameters)}")


def check_arguments(
    name: str,
    parameters: dict[str, inspect.Parameter],
    plain: list[str],
    value_by_name: dict[str, str],
) -> None:
    """Check that the arguments of a command are complete and readable.

    Raises:
        WrongUsage: They are not.
    """
    signature = inspect.Signature(list(parameters.values()))
    try:
        bound = signature.bind(*plain, **value_by_name)
    except TypeError as error:
        raise WrongUsage(f"{name}: {error}") from None
    for key, value in bound.arguments.items():
        known = parameters[key]
        if known.kind not in (known.VAR_KEYWORD, known.VAR_POSITIONAL):
            try:
                parser_of(known.annotation)(value)
            except WrongUsage as error:
                raise WrongUsage(f"--{key}: {error}") from None


def commands_of(owner: type) -> dict[str, Callable[..., Any]]:
    """Return the public methods of a class of commands."""
    return {
        name: function
        for name, function in inspect.getmembers(owner, inspect.isfunction)
        if not name.startswith("_")
    }


def prepare_function(function: Callable[..., Any], words: list[str]) -> list[str]:
    """Return the checked command line of a program without commands.

    Raises:
        WrongUsage: It does not fit; nothing was carried out.
    """
    if HELP & set(words):
        return ["--help"]
    set_parsers(function)
    parameters = parameters_of(function)
    plain, value_by_name = split_options(words, parameters)
    check_arguments("arguments", parameters, plain, value_by_name)
    return [*plain, *option_words(value_by_name)]


def prepare_command(owner: type, words: list[str]) -> tuple[dict[str, Any], list[str]]:
    """Return arguments of the constructor, and a checked command line.

    Args:
        owner: Class whose public methods are the commands. Parameters of its
            constructor may stand before or after the command.
        words: Command line without the program.

    Raises:
        WrongUsage: It does not fit; nothing was carried out.
    """
    commands = commands_of(owner)
    shared = parameters_of(owner.__init__)
    place = command_index(words, shared)
    if HELP & set(words) or place is None:
        if place is None and not HELP & set(words):
            raise WrongUsage(f"name a command: {', '.join(commands)}")
        return {}, [*([words[place]] if place is not None else []), "--help"]
    name = words[place].replace("-", "_")
    if name not in commands:
        raise WrongUsage(f"no command {words[place]!r}{suggestion(name, commands)}")
    own = parameters_of(set_parsers(commands[name]))
    _, before = split_options(words[:place], shared)
    plain, after = split_options(words[place + 1 :], {**shared, **own})
    for key in [key for key in after if key in shared and key not in own]:
        before[key] = after.pop(key)
    check_arguments(name, own, plain, after)
    check_arguments("options", shared, [], before)
    made = {
        key: parser_of(shared[key].annotation)(text) for key, text in before.items()
    }
    return made, [name, *plain, *option_words(after)]


def command_index(words: list[str], shared: dict[str, inspect.Parameter]) -> int | None:
    """Return the index of the command, which comes after shared options."""
    place = 0
    while place < len(words) and words[place].startswith("--"):
        known = shared.get(words[place][2:])
        has_value = known is not None and not is_boolean(known.annotation)
        place += 2 if has_value else 1
    return place if place < len(words) and words[place] not in HELP else None


def option_words(value_by_name: dict[str, str]) -> list[str]:
    """Return options in the form that ``fire`` cannot misread."""
    return [f"--{name}={value}" for name, value in value_by_name.items()]
