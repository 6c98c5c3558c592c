// Package experimenter plays a table of policies and loads in the emulator, some seeds each, and reports what each
// policy is worth to callers.
package experimenter
