package sampler

import "time"

// Cost is the resource usage of a process between two samples.
type Cost struct {
	Elapsed time.Duration
	// Cores is the mean number of cores in use.
	Cores float64
	// BytesPerSecond is the mean rate of bytes read and written.
	BytesPerSecond float64
	Resident       Bytes
	ResidentPeak   Bytes
	Private        Bytes
}

// Between returns the cost between a sample and a later one, or zero if last is not later.
func Between(first, last Sample) Cost {
	elapsed := last.At.Sub(first.At)
	if elapsed <= 0 {
		return Cost{}
	}
	transferred := last.Read - first.Read + last.Written - first.Written
	return Cost{
		Elapsed:        elapsed,
		Cores:          (last.CPU - first.CPU).Seconds() / elapsed.Seconds(),
		BytesPerSecond: float64(transferred) / elapsed.Seconds(),
		Resident:       last.Resident,
		ResidentPeak:   last.ResidentPeak,
		Private:        last.Private,
	}
}
