"""Validates a whole command line before any part of it is carried out.

``fire`` calls a command before it reports left-over arguments. It also
parses each value as Python, so that the JSON body ``{"a":1}`` would be sent
as ``{'a': 1}``. This module checks every argument against the signature of the
command and converts it by its annotation, so that ``fire`` only gets command
lines that are valid.
"""

import difflib
import inspect
from collections.abc import Callable, Iterable
from typing import Any, get_type_hints

import msgspec
from fire import decorators

from limpetstream import errors

HELP_WORDS = frozenset({"--help", "-h", "help"})
TRUE_WORDS = frozenset({"true", "yes", "1"})
FALSE_WORDS = frozenset({"false", "no", "0"})


class WrongUsage(errors.LimpetstreamError):
    """The command line is not valid; nothing was carried out."""


def suggestion(word: str, known: Iterable[str]) -> str:
    """Return a suggestion for a misspelt word; empty if none is close.

    >>> suggestion("membrs", ["members", "rights"])
    "; did you mean 'members'?"
    """
    close = difflib.get_close_matches(word, list(known), n=1)
    return f"; did you mean {close[0]!r}?" if close else ""


def parse_setting_value(text: str) -> Any:
    """Parse a settings value: JSON, ``True``, ``False`` or else plain text.

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


def parse_number(text: str, number_type: type) -> Any:
    """Parse a number.

    Args:
        text: Text to parse.
        number_type: ``int`` or ``float``.

    Raises:
        WrongUsage: The text is not a number of this type.
    """
    try:
        return number_type(text)
    except ValueError:
        expected = "a whole number" if number_type is int else "a number"
        raise WrongUsage(f"expected {expected}, got {text!r}") from None


def parse_boolean(text: str) -> bool:
    """Parse a boolean.

    Raises:
        WrongUsage: The text is neither true nor false.
    """
    word = text.lower()
    if word not in TRUE_WORDS | FALSE_WORDS:
        raise WrongUsage(f"expected true or false, got {text!r}")
    return word in TRUE_WORDS


def parser_of(annotation: Any) -> Callable[[str], Any]:
    """Return the function that parses values of an annotated type."""
    if annotation in (int, float):
        return lambda text: parse_number(text, annotation)
    if is_boolean(annotation):
        return parse_boolean
    return parse_setting_value if annotation is Any else str


def is_boolean(annotation: Any) -> bool:
    """Return whether a parameter is boolean, so that it needs no value."""
    return annotation is bool or annotation == bool | None


def parameters_of(function: Callable[..., Any]) -> dict[str, inspect.Parameter]:
    """Return the parameters of a command, without ``self``, by name.

    Annotations are evaluated; a parameter without one counts as text.
    """
    hints = get_type_hints(function)
    signature_parameters = inspect.signature(function).parameters
    return {
        name: each.replace(annotation=hints.get(name, str))
        for name, each in signature_parameters.items()
        if name != "self"
    }


def set_parsers(function: Callable[..., Any]) -> Callable[..., Any]:
    """Make ``fire`` parse the values of a command by their annotations."""
    parameters = parameters_of(function)
    parser_by_name = {
        name: parser_of(each.annotation)
        for name, each in parameters.items()
        if each.kind in (each.POSITIONAL_OR_KEYWORD, each.KEYWORD_ONLY)
    }
    accepts_settings = any(
        each.kind is each.VAR_KEYWORD for each in parameters.values()
    )
    decorators.SetParseFn(parse_setting_value if accepts_settings else str)(function)
    return decorators.SetParseFns(**parser_by_name)(function)


def split_options(
    words: list[str], parameters: dict[str, inspect.Parameter]
) -> tuple[list[str], dict[str, str]]:
    """Split a command line into positional arguments and options.

    Returns:
        The positional arguments, and the values of the options by name.

    Raises:
        WrongUsage: An option is unknown, repeated or lacks its value.
    """
    positional: list[str] = []
    value_by_name: dict[str, str] = {}
    remaining = iter(words)
    for word in remaining:
        if not word.startswith("--"):
            if word == "-":
                raise WrongUsage("'-' is not a valid argument")
            positional.append(word)
            continue
        option, has_value, value = word[2:].partition("=")
        name, negated = resolve(option.replace("-", "_"), parameters)
        known = parameters.get(name)
        if known is not None and is_boolean(known.annotation):
            value = str(parse_boolean(value) is not negated) if has_value else ""
            value = value or str(not negated)
        elif not has_value:
            value = next(remaining, "--")
            if value.startswith("--"):
                raise WrongUsage(f"--{option} needs a value")
        if name in value_by_name:
            raise WrongUsage(f"--{option} is given twice")
        value_by_name[name] = value
    return positional, value_by_name


def resolve(name: str, parameters: dict[str, inspect.Parameter]) -> tuple[str, bool]:
    """Return the parameter that an option sets.

    Returns:
        Name of the parameter, and whether the prefix ``no`` negates it.

    Raises:
        WrongUsage: No parameter has this name.
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
    positional: list[str],
    value_by_name: dict[str, str],
) -> None:
    """Check that the arguments of a command are complete and can be parsed.

    Raises:
        WrongUsage: An argument is missing, superfluous or cannot be parsed.
    """
    signature = inspect.Signature(list(parameters.values()))
    try:
        bound = signature.bind(*positional, **value_by_name)
    except TypeError as error:
        raise WrongUsage(f"{name}: {error}") from None
    for key, value in bound.arguments.items():
        known = parameters[key]
        if known.kind not in (known.VAR_KEYWORD, known.VAR_POSITIONAL):
            try:
                parser_of(known.annotation)(value)
            except WrongUsage as error:
                raise WrongUsage(f"--{key}: {error}") from None


def commands_of(command_class: type) -> dict[str, Callable[..., Any]]:
    """Return the commands of a class: its public methods, by name."""
    return {
        name: function
        for name, function in inspect.getmembers(command_class, inspect.isfunction)
        if not name.startswith("_")
    }


def prepare_function(function: Callable[..., Any], words: list[str]) -> list[str]:
    """Return the validated command line of a program without commands.

    Raises:
        WrongUsage: The command line is not valid.
    """
    if HELP_WORDS & set(words):
        return ["--help"]
    set_parsers(function)
    parameters = parameters_of(function)
    positional, value_by_name = split_options(words, parameters)
    check_arguments("arguments", parameters, positional, value_by_name)
    return [*positional, *option_words(value_by_name)]


def prepare_command(
    command_class: type, words: list[str]
) -> tuple[dict[str, Any], list[str]]:
    """Return the constructor's arguments and the validated command line.

    Args:
        command_class: Class whose public methods are the commands. Options
            for its constructor may come before or after the command.
        words: Command line without the name of the program.

    Raises:
        WrongUsage: The command line is not valid.
    """
    commands = commands_of(command_class)
    constructor_parameters = parameters_of(command_class.__init__)
    index = command_index(words, constructor_parameters)
    if HELP_WORDS & set(words) or index is None:
        if index is None and not HELP_WORDS & set(words):
            raise WrongUsage(f"name a command: {', '.join(commands)}")
        return {}, [*([words[index]] if index is not None else []), "--help"]
    name = words[index].replace("-", "_")
    if name not in commands:
        raise WrongUsage(f"no command {words[index]!r}{suggestion(name, commands)}")
    command_parameters = parameters_of(set_parsers(commands[name]))
    _, constructor_values = split_options(words[:index], constructor_parameters)
    positional, command_values = split_options(
        words[index + 1 :], {**constructor_parameters, **command_parameters}
    )
    for key in [
        key
        for key in command_values
        if key in constructor_parameters and key not in command_parameters
    ]:
        constructor_values[key] = command_values.pop(key)
    check_arguments(name, command_parameters, positional, command_values)
    check_arguments("options", constructor_parameters, [], constructor_values)
    constructor_arguments = {
        key: parser_of(constructor_parameters[key].annotation)(text)
        for key, text in constructor_values.items()
    }
    return constructor_arguments, [name, *positional, *option_words(command_values)]


def command_index(
    words: list[str], constructor_parameters: dict[str, inspect.Parameter]
) -> int | None:
    """Return the index of the command in a command line; None if missing.

    Options for the constructor may precede the command.
    """
    index = 0
    while index < len(words) and words[index].startswith("--"):
        known = constructor_parameters.get(words[index][2:])
        has_value = known is not None and not is_boolean(known.annotation)
        index += 2 if has_value else 1
    return index if index < len(words) and words[index] not in HELP_WORDS else None


def option_words(value_by_name: dict[str, str]) -> list[str]:
    """Return options as ``--name=value``, which ``fire`` cannot misread."""
    return [f"--{name}={value}" for name, value in value_by_name.items()]
