package main

import (
	"github.com/dotterelpulley/dotterelpulley/mover"
)

// checkSettings checks the settings of either binary, told apart by the keys that only a mover has.
func checkSettings(file string, data []byte) error {
	_, err := mover.ParseSettings(file, data)
	return err
}
