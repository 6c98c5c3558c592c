package sampler

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// PID is a process id.
type PID int

// Bytes is a number of bytes.
type Bytes int64

// Sample holds the kernel's counters of a process at one time.
type Sample struct {
	At time.Time
	// CPU is the processor time that the process has used since its start.
	CPU time.Duration
	// Read and Written count the bytes of all reads and writes, including sockets.
	Read    Bytes
	Written Bytes
	// Resident is the resident memory, ResidentPeak its maximum so far.
	Resident     Bytes
	ResidentPeak Bytes
	// Private is the resident anonymous memory, which no file backs.
	Private Bytes
}

const (
	// clockTick is the unit of utime and stime in /proc/PID/stat; it assumes that USER_HZ is 100.
	clockTick = 10 * time.Millisecond
	kib       = 1024
	// Indexes of utime and stime among the fields after the command name in /proc/PID/stat.
	userTimeField   = 11
	systemTimeField = 12
)

// Take reads the process's counters from /proc.
func Take(pid PID) (Sample, error) {
	s := Sample{At: time.Now()}
	for _, source := range []struct {
		file  string
		parse func(string) error
	}{
		{"stat", s.parseStat},
		{"io", s.parseIO},
		{"status", s.parseStatus},
	} {
		path := filepath.Join("/proc", strconv.Itoa(int(pid)), source.file)
		data, err := os.ReadFile(path)
		if err != nil {
			return Sample{}, fmt.Errorf("read counts of process %d: %w", pid, err)
		}
		if err := source.parse(string(data)); err != nil {
			return Sample{}, fmt.Errorf("decode %q: %w", path, err)
		}
	}
	return s, nil
}

func (s *Sample) parseStat(text string) error {
	end := strings.LastIndexByte(text, ')')
	fields := strings.Fields(text[end+1:])
	if end < 0 || len(fields) <= systemTimeField {
		return fmt.Errorf("%d fields are too few", len(fields))
	}
	for _, i := range []int{userTimeField, systemTimeField} {
		ticks, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			return fmt.Errorf("field %d: %w", i, err)
		}
		s.CPU += time.Duration(ticks) * clockTick
	}
	return nil
}

func (s *Sample) parseIO(text string) error {
	return parseLines(text, map[string]*Bytes{"rchar": &s.Read, "wchar": &s.Written})
}

func (s *Sample) parseStatus(text string) error {
	targets := map[string]*Bytes{"VmRSS": &s.Resident, "VmHWM": &s.ResidentPeak, "RssAnon": &s.Private}
	return parseLines(text, targets)
}

// parseLines parses "key: number" and "key: number kB" lines and stores the values of the keys in targets.
func parseLines(text string, targets map[string]*Bytes) error {
	for line := range strings.Lines(text) {
		key, value, _ := strings.Cut(line, ":")
		target, wanted := targets[key]
		if !wanted {
			continue
		}
		number, isKiB := strings.CutSuffix(strings.TrimSpace(value), " kB")
		n, err := strconv.ParseInt(number, 10, 64)
		if err != nil {
			return fmt.Errorf("key %q: %w", key, err)
		}
		if isKiB {
			n *= kib
		}
		*target = Bytes(n)
	}
	return nil
}
