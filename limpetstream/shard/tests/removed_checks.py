"""Defines what the catalogue of removals says of one check or constant."""

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Removal:
    """One check that can be removed.

    Args:
        name: Name of the removal.
        row: Row of the table of design.md 11.3, or rule of its text.
        module: Full name of the module.
        function: Name of the function, or of the class and the method.
        old: Text that occurs once in the function.
        new: Text that replaces it.
        test: Test that fails with the check removed, relative to the package.
            Empty if only the test of a pair fails, as another check hides it.
        also: Names of other removals that are made at the same time.
    """

    name: str
    row: str
    module: str
    function: str
    old: str
    new: str
    test: str
    also: tuple[str, ...] = ()


@dataclasses.dataclass(slots=True, frozen=True)
class ChangedConstant:
    """One constant of a module that can get another value.

    Args:
        name: Name of the change.
        row: Row of the table of design.md that the constant bounds.
        module: Full name of the module. Its constant has to be read when it is
            used: as an attribute of the module, and as no default of an
            argument or field.
        constant: Name of the constant.
        value: Changed value.
        test: Test that fails with the changed value, relative to the package;
            empty if none does.
        also: Names of other changes that are made at the same time.
    """

    name: str
    row: str
    module: str
    constant: str
    value: float
    test: str = ""
    also: tuple[str, ...] = ()


Change = Removal | ChangedConstant
