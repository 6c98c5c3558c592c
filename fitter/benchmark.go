package fitter

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Series is one metric of one benchmark over its sizes.
type Series struct {
	// Name is the benchmark's name without its size.
	Name string
	// Size names what was varied, such as "peers".
	Size   string
	Unit   string
	Points []Point
}

// Benchmark names end in "/SIZE=NUMBER" and, if it is not 1, in "-PROCESSORS".
var sized = regexp.MustCompile(`^(Benchmark\S*)/([a-z-]+)=(\d+)(?:-\d+)?$`)

// ReadBenchmarks reads the output of "go test -bench" and returns each metric of each
// benchmark that ran at several sizes, in the order of first appearance.
func ReadBenchmarks(r io.Reader) ([]Series, error) {
	var order []string
	found := map[string]*Series{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 {
			continue
		}
		m := sized.FindStringSubmatch(fields[0])
		if m == nil {
			continue
		}
		x, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return nil, fmt.Errorf("size of %q: %w", fields[0], err)
		}
		// The first field after the name counts the iterations; pairs of value and unit follow.
		for i := 2; i+1 < len(fields); i += 2 {
			y, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, fmt.Errorf("value %q of %q: %w", fields[i], fields[0], err)
			}
			id := m[1] + "/" + m[2] + " " + fields[i+1]
			if found[id] == nil {
				found[id] = &Series{Name: m[1], Size: m[2], Unit: fields[i+1]}
				order = append(order, id)
			}
			found[id].Points = append(found[id].Points, Point{X: x, Y: y})
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read benchmarks: %w", err)
	}
	series := make([]Series, 0, len(order))
	for _, id := range order {
		series = append(series, *found[id])
	}
	return series, nil
}
