package fitter

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Series holds one metric of one benchmark at several sizes.
type Series struct {
	// Name is the benchmark's name without the size.
	Name string
	// Size is the name of the varied parameter, such as "peers".
	Size   string
	Unit   string
	Points []Point
}

// sizedBenchmark matches names that end in "/SIZE=NUMBER", followed by "-GOMAXPROCS" if that is not 1.
var sizedBenchmark = regexp.MustCompile(`^(Benchmark\S*)/([a-z-]+)=(\d+)(?:-\d+)?$`)

// ReadBenchmarks reads the output of "go test -bench" and returns each metric of each
// benchmark that ran at several sizes, in the order of first appearance.
func ReadBenchmarks(r io.Reader) ([]Series, error) {
	var order []string
	byID := map[string]*Series{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			continue
		}
		match := sizedBenchmark.FindStringSubmatch(fields[0])
		if match == nil {
			continue
		}
		x, err := strconv.ParseFloat(match[3], 64)
		if err != nil {
			return nil, fmt.Errorf("size of %q: %w", fields[0], err)
		}
		// The field after the name is the iteration count; pairs of value and unit follow.
		for i := 2; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("value %q of %q: %w", fields[i], fields[0], err)
			}
			id := match[1] + "/" + match[2] + " " + fields[i+1]
			if byID[id] == nil {
				byID[id] = &Series{Name: match[1], Size: match[2], Unit: fields[i+1]}
				order = append(order, id)
			}
			byID[id].Points = append(byID[id].Points, Point{X: x, Y: y})
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	series := make([]Series, 0, len(order))
	for _, id := range order {
		series = append(series, *byID[id])
	}
	return series, nil
}
