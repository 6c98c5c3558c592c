// Package experimenter simulates every combination of the policies and loads of a table in the emulator, each with
// several seeds, and reports the worth to callers that each policy achieves.
package experimenter
