package experimenter

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const smallTable = `seeds = 2
[[policy]]
name = "as built"
[[policy]]
name = "forward at once"
forward = true
[[load]]
name = "steady"
hosts = 2
engines = [1.0, 2.0]
span = "4s"
interval = "75ms"
kind = [{ per-second = 6, prompt = 500, answer = 100, objective = "400ms", pause = "250ms", deadline = "15s", worth = 1, late = 0.5 }]
surge = [{ at = "1s", for = "2s", times = 3 }]
`

func TestRunSimulatesAllCells(t *testing.T) {
	c := qt.New(t)
	table, err := Decode([]byte(smallTable))
	c.Assert(err, qt.IsNil)
	cells, err := Run(context.Background(), table, 2)
	c.Assert(err, qt.IsNil)
	c.Assert(cells, qt.HasLen, 2)
	for _, cell := range cells {
		c.Check(cell.Worths, qt.HasLen, 2)
		c.Check(cell.Mean > 0 && cell.Mean <= 1, qt.IsTrue, qt.Commentf("%+v", cell))
		c.Check(cell.Kinds, qt.HasLen, 1)
	}
	again, err := Run(context.Background(), table, 1)
	c.Assert(err, qt.IsNil)
	c.Assert(again, qt.DeepEquals, cells, qt.Commentf("results depend on the seeds, not on the number of workers"))

	var out strings.Builder
	c.Assert(WriteReport(&out, cells), qt.IsNil)
	c.Check(out.String(), qt.Contains, "| steady | forward at once |")
	path := filepath.Join(c.TempDir(), "worth.svg")
	c.Assert(WritePlot(path, cells), qt.IsNil)
	plot, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Check(string(plot), qt.Contains, "<svg")
	c.Check(string(plot), qt.Contains, "forward at once")
}

func TestRunStopsWhenContextIsCancelled(t *testing.T) {
	c := qt.New(t)
	table, err := Decode([]byte(smallTable))
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = Run(ctx, table, 1)
	c.Assert(err, qt.ErrorIs, context.Canceled)
}

func TestTablesOfTestdataDecode(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("testdata/*.toml")
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) > 0, qt.IsTrue)
	for _, file := range files {
		data, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		_, err = Decode(data)
		c.Check(err, qt.IsNil, qt.Commentf("%s", file))
	}
}

func TestDecodeReportsErrorsOfInvalidTable(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]string{
		"seeds = ":  "decode the table: .*",
		"seeds = 1": "there must be a policy and a load",
		strings.Replace(smallTable, "seeds = 2", "seeds = 0", 1):                   "seeds: 0, at least one is needed",
		strings.Replace(smallTable, `span = "4s"`, `span = "soon"`, 1):             `steady: span: "soon" is no time above zero, such as 400ms`,
		strings.Replace(smallTable, "engines = [1.0, 2.0]", "engines = [0.0]", 1):  `load "steady": an engine's slowness is 0, it must be above zero`,
		strings.Replace(smallTable, "per-second = 6", "per-second = 0", 1):         `load "steady", kind 1: per-second, prompt and answer must be above zero`,
		strings.Replace(smallTable, `objective = "400ms"`, `objective = "-1s"`, 1): `load "steady", kind 1, objective: "-1s" is no time above zero, such as 400ms`,
	} {
		_, err := Decode([]byte(text))
		c.Check(err, qt.ErrorMatches, "(?s)"+want, qt.Commentf("%s", text))
	}
}
