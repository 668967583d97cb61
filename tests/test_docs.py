"""Runs the code examples of the documentation."""

import re
from contextlib import redirect_stdout
from io import StringIO
from pathlib import Path
from unittest import TestCase

DECISIONS = Path(__file__).parents[1] / "docs" / "DECISIONS.md"


class DocsTest(TestCase):
    """The example of docs/DECISIONS.md works with the current code."""

    def test_decisions_example_runs(self) -> None:
        blocks = re.findall(r"```python\n(.*?)```", DECISIONS.read_text(), re.S)
        self.assertEqual(len(blocks), 1)
        output = StringIO()
        with redirect_stdout(output):
            exec(compile(blocks[0], str(DECISIONS), "exec"), {})
        self.assertIn("Bid(account_id='depot-1'", output.getvalue())
