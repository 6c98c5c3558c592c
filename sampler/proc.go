package sampler

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// PID is a process's number.
type PID int

// Bytes counts bytes.
type Bytes int64

// Sample is what the kernel counts of a process at one moment.
type Sample struct {
	At time.Time
	// CPU is the time that the process has spent on processors since its start.
	CPU time.Duration
	// Read and Written count the bytes of all its reads and writes, sockets among them.
	Read    Bytes
	Written Bytes
	// Resident is its memory in use, ResidentPeak the most so far.
	Resident     Bytes
	ResidentPeak Bytes
	// Private is the resident memory that backs no file.
	Private Bytes
}

const (
	tick = 10 * time.Millisecond
	kib  = 1024
	// The places of utime and stime after the command's name in /proc/PID/stat.
	userTimeField   = 11
	systemTimeField = 12
)

// Take reads the process's counts from /proc.
func Take(pid PID) (Sample, error) {
	s := Sample{At: time.Now()}
	for _, part := range []struct {
		file string
		read func(string) error
	}{
		{"stat", s.readStat},
		{"io", s.readIO},
		{"status", s.readStatus},
	} {
		path := filepath.Join("/proc", strconv.Itoa(int(pid)), part.file)
		data, err := os.ReadFile(path)
		if err != nil {
			return Sample{}, fmt.Errorf("read counts of process %d: %w", pid, err)
		}
		if err := part.read(string(data)); err != nil {
			return Sample{}, fmt.Errorf("decode %q: %w", path, err)
		}
	}
	return s, nil
}

func (s *Sample) readStat(text string) error {
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
		s.CPU += time.Duration(ticks) * tick
	}
	return nil
}

func (s *Sample) readIO(text string) error {
	return readLines(text, map[string]*Bytes{"rchar": &s.Read, "wchar": &s.Written})
}

func (s *Sample) readStatus(text string) error {
	into := map[string]*Bytes{"VmRSS": &s.Resident, "VmHWM": &s.ResidentPeak, "RssAnon": &s.Private}
	return readLines(text, into)
}

// readLines reads "key: number" and "key: number kB" lines.
func readLines(text string, into map[string]*Bytes) error {
	for line := range strings.Lines(text) {
		key, value, _ := strings.Cut(line, ":")
		to, wanted := into[key]
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
		*to = Bytes(n)
	}
	return nil
}
