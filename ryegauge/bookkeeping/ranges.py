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
        return sum(end - start for start, end in self.spans)

    def __bool__(self) -> bool:
        return bool(self.spans)

    def __iter__(self) -> Iterator[int]:
        for start, end in self.spans:
            yield from range(start, end)

    def __contains__(self, n: object) -> bool:
        return isinstance(n, int) and any(start <= n < end for start, end in self.spans)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Ranges) and self.spans == other.spans

    def __hash__(self) -> int:
        return hash(self.spans)

    def __repr__(self) -> str:
        return f"Ranges({','.join(f'{start}-{end}' for start, end in self.spans)})"

    def __or__(self, other: "Ranges") -> "Ranges":
        spans: list[tuple[int, int]] = []
        for start, end in sorted(self.spans + other.spans):
            if spans and start <= spans[-1][1]:
                spans[-1] = (spans[-1][0], max(end, spans[-1][1]))
            else:
                spans.append((start, end))
        return Ranges(tuple(spans))

    def __sub__(self, other: "Ranges") -> "Ranges":
        """One pass over both sets, since a job whose tasks end in any order has thousands of
        spans."""
        spans: list[tuple[int, int]] = []
        others, first_other = other.spans, 0
        for start, end in self.spans:
            while first_other < len(others) and others[first_other][1] <= start:
                first_other += 1
            position = first_other
            while start < end and position < len(others) and others[position][0] < end:
                cut_start, cut_end = others[position]
                if cut_start > start:
                    spans.append((start, cut_start))
                start = max(start, cut_end)
                position += 1
            if start < end:
                spans.append((start, end))
        return Ranges(tuple(spans))

    def first(self, count: int) -> "Ranges":
        """The lowest `count` numbers."""
        spans: list[tuple[int, int]] = []
        for start, end in self.spans:
            if count <= 0:
                break
            spans.append((start, min(end, start + count)))
            count -= end - start
        return Ranges(tuple(spans))
