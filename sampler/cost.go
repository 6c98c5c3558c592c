package sampler

import "time"

// Cost is what a process spent between two samples.
type Cost struct {
	Over time.Duration
	// Cores is the mean number of cores in use.
	Cores float64
	// BytesPerSecond counts what it read and wrote.
	BytesPerSecond float64
	Resident       Bytes
	ResidentPeak   Bytes
	Private        Bytes
}

// Between returns the cost from one sample to a later one.
func Between(first, last Sample) Cost {
	over := last.At.Sub(first.At)
	if over <= 0 {
		return Cost{}
	}
	moved := last.Read - first.Read + last.Written - first.Written
	return Cost{
		Over:           over,
		Cores:          (last.CPU - first.CPU).Seconds() / over.Seconds(),
		BytesPerSecond: float64(moved) / over.Seconds(),
		Resident:       last.Resident,
		ResidentPeak:   last.ResidentPeak,
		Private:        last.Private,
	}
}
