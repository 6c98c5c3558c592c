package abbreviator

import (
	"errors"
	"fmt"
	"unicode/utf8"
)

// Limit is the largest size in bytes of a text that is kept whole.
const Limit = 512

// Text returns the text, or the beginning and the size of a longer one.
func Text(text string) string {
	if len(text) <= Limit {
		return text
	}
	end := Limit
	for end > Limit-utf8.UTFMax && !utf8.RuneStart(text[end]) {
		end--
	}
	return fmt.Sprintf("%s... (%d bytes)", text[:end], len(text))
}

// Error returns the error, or one with the beginning of a longer message, which wraps nothing.
func Error(err error) error {
	if err == nil {
		return nil
	}
	message := err.Error()
	if len(message) <= Limit {
		return err
	}
	return errors.New(Text(message))
}
