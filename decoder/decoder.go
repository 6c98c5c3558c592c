package decoder

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Problem is one error in a file.
type Problem struct {
	File   string
	Line   int
	Key    string
	Detail string
}

// Error returns the problem as "file:line: key: detail".
func (p Problem) Error() string {
	location := p.File
	if p.Line > 0 {
		location = fmt.Sprintf("%s:%d", p.File, p.Line)
	}
	if p.Key == "" {
		return location + ": " + p.Detail
	}
	return fmt.Sprintf("%s: %s: %s", location, p.Key, p.Detail)
}

// DecodeFile decodes the TOML file into v, a pointer to a wire struct.
func DecodeFile(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read %q: %w", path, err)
	}
	return Decode(path, data, v)
}

// Decode decodes TOML into v, a pointer to a wire struct; name is the file name for errors.
func Decode(name string, data []byte, v any) error {
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	var missing *toml.StrictMissingError
	if errors.As(err, &missing) {
		return unknownKeys(name, missing)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		return problem(name, decodeErr, decodeErr.Error())
	}
	if err != nil {
		return Problem{File: name, Detail: err.Error()}
	}
	return nil
}

func unknownKeys(name string, missing *toml.StrictMissingError) error {
	problems := make([]error, 0, len(missing.Errors))
	for i := range missing.Errors {
		problems = append(problems, problem(name, &missing.Errors[i], "unknown key"))
	}
	return errors.Join(problems...)
}

func problem(name string, e *toml.DecodeError, detail string) Problem {
	line, _ := e.Position()
	return Problem{File: name, Line: line, Key: strings.Join(e.Key(), "."), Detail: detail}
}
