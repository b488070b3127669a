"""The expression language of the policy: a subset of Python's expression syntax.

An expression is arithmetic over numbers and names, with `min`, `max`, comparisons,
`and`/`or`/`not` and `a if c else b`. It is parsed with `ast` and evaluated by walking the
tree. Node types that aren't handled here are rejected, so an expression can't execute other code.
"""

from __future__ import annotations

import ast
import operator
from collections.abc import Callable
from typing import Any, Protocol

Value = bool | int | float

_BINARY: dict[type[ast.AST], Callable[[Any, Any], Any]] = {
    ast.Add: operator.add,
    ast.Sub: operator.sub,
    ast.Mult: operator.mul,
    ast.Div: operator.truediv,
    ast.FloorDiv: operator.floordiv,
    ast.Mod: operator.mod,
}
_COMPARE: dict[type[ast.AST], Callable[[Any, Any], bool]] = {
    ast.Lt: operator.lt,
    ast.LtE: operator.le,
    ast.Gt: operator.gt,
    ast.GtE: operator.ge,
    ast.Eq: operator.eq,
    ast.NotEq: operator.ne,
}
_FUNCTIONS: dict[str, Callable[..., Value]] = {"min": min, "max": max}


class ExpressionError(Exception):
    """An expression that can't be evaluated, with the reason and the column, counted from 1."""

    def __init__(self, column: int, reason: str) -> None:
        super().__init__(reason)
        self.column = column
        self.reason = reason


class UnknownNameError(Exception):
    """An undefined name in an expression; the text is shown to the user as the reason."""


class NameResolver(Protocol):
    """Resolves the names in an expression to values."""

    def value(self, name: str) -> Value:
        """Return the value of a plain name; raises UnknownNameError."""

    def attribute(self, section: str, name: str) -> Value:
        """Return the value of `section.name`; raises UnknownNameError."""


def evaluate(text: str, names: NameResolver) -> Value:
    """Return the value of an expression; raises ExpressionError, and what `names` raises."""
    try:
        tree = ast.parse(text, mode="eval")
    except (SyntaxError, ValueError, MemoryError, RecursionError) as error:
        column = getattr(error, "offset", None) or 1
        raise ExpressionError(column, "not an expression") from None
    return _Evaluator(names).value(tree.body)


def is_number(value: Value) -> bool:
    """Return whether a value is a number; a bool isn't, although it is an `int` in Python."""
    return not isinstance(value, bool)


class _Evaluator:
    """Evaluates the nodes of one expression."""

    def __init__(self, names: NameResolver) -> None:
        self._names = names

    def value(self, node: ast.expr) -> Value:
        match node:
            case ast.Constant(value=bool() | int() | float() as value):
                return value
            case ast.Name() | ast.Attribute(value=ast.Name()):
                return self._named(node)
            case ast.BinOp() | ast.UnaryOp(op=ast.USub()) | ast.Call():
                return self._arithmetic(node)
            case ast.BoolOp() | ast.Compare() | ast.UnaryOp(op=ast.Not()) | ast.IfExp():
                return self._logic(node)
        raise _not_allowed(node)

    def _number(self, node: ast.expr) -> Value:
        value = self.value(node)
        if not is_number(value):
            raise _error_at(node, "must be a number")
        return value

    def _named(self, node: ast.Name | ast.Attribute) -> Value:
        try:
            match node:
                case ast.Name(id=name):
                    return self._names.value(name)
                case ast.Attribute(value=ast.Name(id=section), attr=name):
                    return self._names.attribute(section, name)
        except UnknownNameError as error:
            raise _error_at(node, str(error)) from None
        raise _not_allowed(node)

    def _arithmetic(self, node: ast.expr) -> Value:
        match node:
            case ast.BinOp(left=left, op=op, right=right) if type(op) in _BINARY:
                operands = self._number(left), self._number(right)
                try:
                    result: Value = _BINARY[type(op)](*operands)
                except (ZeroDivisionError, OverflowError) as error:
                    raise _error_at(node, str(error)) from None
                return result
            case ast.UnaryOp(op=ast.USub(), operand=operand):
                return -self._number(operand)
            case ast.Call(func=ast.Name(id=function), args=arguments, keywords=[]) if (
                function in _FUNCTIONS and arguments
            ):
                return _FUNCTIONS[function](*(self._number(argument) for argument in arguments))
        raise _not_allowed(node)

    def _logic(self, node: ast.expr) -> Value:
        match node:
            case ast.UnaryOp(op=ast.Not(), operand=operand):
                return not self.value(operand)
            case ast.BoolOp(op=op, values=operands):
                # All operands are evaluated, so that an error in any of them is reported.
                values = [bool(self.value(operand)) for operand in operands]
                return all(values) if isinstance(op, ast.And) else any(values)
            case ast.Compare(left=left, ops=[op], comparators=[right]) if type(op) in _COMPARE:
                return _COMPARE[type(op)](self._number(left), self._number(right))
            case ast.IfExp(test=test, body=body, orelse=orelse):
                return self.value(body if self.value(test) else orelse)
        raise _not_allowed(node)


def _error_at(node: ast.expr, reason: str) -> ExpressionError:
    return ExpressionError(node.col_offset + 1, reason)


def _not_allowed(node: ast.expr) -> ExpressionError:
    return _error_at(node, "not part of the language")
