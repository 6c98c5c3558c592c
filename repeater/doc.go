// Package repeater provides context-aware loops and sleeps.
package repeater
