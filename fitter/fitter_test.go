package fitter

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestFit(t *testing.T) {
	tests := []struct {
		name   string
		points []Point
		want   Line
	}{
		{"none", nil, Line{}},
		{"one", []Point{{3, 7}}, Line{Intercept: 7, Points: 1}},
		{"exact", []Point{{1, 5}, {2, 7}, {4, 11}}, Line{Intercept: 3, Slope: 2, Points: 3}},
		{"same size", []Point{{2, 4}, {2, 8}}, Line{Intercept: 6, WorstError: 0.25, Points: 2}},
		{"bent", []Point{{0, 0}, {1, 3}, {2, 0}}, Line{Intercept: 1, WorstError: 2.0 / 3, Points: 3}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got := Fit(test.points)
			c.Check(math.Abs(got.Intercept-test.want.Intercept) < 1e-9, qt.IsTrue, qt.Commentf("%+v", got))
			c.Check(math.Abs(got.Slope-test.want.Slope) < 1e-9, qt.IsTrue, qt.Commentf("%+v", got))
			c.Check(math.Abs(got.WorstError-test.want.WorstError) < 1e-9, qt.IsTrue, qt.Commentf("%+v", got))
			c.Check(got.Points, qt.Equals, test.want.Points)
		})
	}
}

func TestReadBenchmarks(t *testing.T) {
	c := qt.New(t)
	series, err := ReadBenchmarks(strings.NewReader(`goos: linux
BenchmarkPick/endpoints=10-10   1000   120.0 ns/op   64 B/key
BenchmarkPick/endpoints=20-10    500   240.0 ns/op   64 B/key
BenchmarkOther-10                500   240.0 ns/op
PASS
`))
	c.Assert(err, qt.IsNil)
	c.Check(series, qt.DeepEquals, []Series{
		{Name: "BenchmarkPick", Size: "endpoints", Unit: "ns/op", Points: []Point{{10, 120}, {20, 240}}},
		{Name: "BenchmarkPick", Size: "endpoints", Unit: "B/key", Points: []Point{{10, 64}, {20, 64}}},
	})
	_, err = ReadBenchmarks(strings.NewReader("BenchmarkPick/endpoints=10 1 many ns/op\n"))
	c.Check(err, qt.ErrorMatches, `value "many" of .*`)
}
