package slurper

import (
	"errors"
	"io"
)

// ErrTooLarge means that a body is larger than its limit.
var ErrTooLarge = errors.New("the body exceeds the size limit")

// Bytes is a size.
type Bytes int64

// ReadAll returns the whole body; it reads little more than the limit of one that is larger.
func ReadAll(body io.Reader, limit Bytes) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err == nil && Bytes(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, err
}
