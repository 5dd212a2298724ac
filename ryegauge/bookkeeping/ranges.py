"""Sets of task numbers as sorted half-open ranges, compact enough for records."""

from collections.abc import Iterable, Iterator


class Ranges:
    """An immutable set of integers. Jobs have up to 100,000 tasks, mostly consecutive ones."""

    __slots__ = ("spans",)

    def __init__(self, spans: tuple[tuple[int, int], ...] = ()) -> None:
        self.spans = spans

    @staticmethod
    def of(numbers: Iterable[int]) -> "Ranges":
        """The set of the given numbers, in any order."""
        spans: list[tuple[int, int]] = []
        for n in sorted(set(numbers)):
            if spans and spans[-1][1] == n:
                spans[-1] = (spans[-1][0], n + 1)
            else:
                spans.append((n, n + 1))
        return Ranges(tuple(spans))

    @staticmethod
    def up_to(count: int) -> "Ranges":
        """The numbers from 0 to `count` - 1."""
        return Ranges(((0, count),)) if count > 0 else Ranges()

    @staticmethod
    def from_flat(flat: list[int]) -> "Ranges":
        """Parses [start, end, start, end, ...]. Raises ValueError if the length is odd."""
        return Ranges(tuple(zip(flat[::2], flat[1::2], strict=True)))

    def flat(self) -> list[int]:
        """The form in records: [start, end, start, end, ...], ends exclusive."""
        return [bound for span in self.spans for bound in span]

    def __len__(self) -> int:
        return sum(b - a for a, b in self.spans)

    def __bool__(self) -> bool:
        return bool(self.spans)

    def __iter__(self) -> Iterator[int]:
        for a, b in self.spans:
            yield from range(a, b)

    def __contains__(self, n: object) -> bool:
        return isinstance(n, int) and any(a <= n < b for a, b in self.spans)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Ranges) and self.spans == other.spans

    def __hash__(self) -> int:
        return hash(self.spans)

    def __repr__(self) -> str:
        return f"Ranges({','.join(f'{a}-{b}' for a, b in self.spans)})"

    def __or__(self, other: "Ranges") -> "Ranges":
        spans: list[tuple[int, int]] = []
        for a, b in sorted(self.spans + other.spans):
            if spans and a <= spans[-1][1]:
                spans[-1] = (spans[-1][0], max(b, spans[-1][1]))
            else:
                spans.append((a, b))
        return Ranges(tuple(spans))

    def __sub__(self, other: "Ranges") -> "Ranges":
        """One pass over both sets, since a job whose tasks end in any order has thousands of
        spans."""
        spans: list[tuple[int, int]] = []
        others, i = other.spans, 0
        for a, b in self.spans:
            while i < len(others) and others[i][1] <= a:
                i += 1
            j = i
            while a < b and j < len(others) and others[j][0] < b:
                c, d = others[j]
                if c > a:
                    spans.append((a, c))
                a = max(a, d)
                j += 1
            if a < b:
                spans.append((a, b))
        return Ranges(tuple(spans))

    def first(self, count: int) -> "Ranges":
        """The lowest `count` numbers."""
        spans: list[tuple[int, int]] = []
        for a, b in self.spans:
            if count <= 0:
                break
            spans.append((a, min(b, a + count)))
            count -= b - a
        return Ranges(tuple(spans))
