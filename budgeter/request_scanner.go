package budgeter

import (
	"strings"
)

const (
	lengthField = "content-length"
	codingField = "transfer-encoding"
	// maxName is longer than the names that matter.
	maxName = 20
	// maxLength is larger than any limit of a body.
	maxLength = 1 << 40
)

// requestScanner counts the lines of a request's head, and finds out how large its body may be; the zero value is at the beginning of a
// request.
type requestScanner struct {
	lines int
	// column counts the bytes of the current line but the carriage returns.
	column int
	ended  bool

	// name is the beginning of the current line, in lower case.
	name   [maxName]byte
	inName bool
	// counting is true within the value of a length, which length adds up.
	counting bool
	length   int
	// longest is the largest length that the head names, chunked means that it names none.
	longest int
	chunked bool
}

// countLines returns how many lines of the head end within the bytes.
func (s *requestScanner) countLines(p []byte) int {
	counted := 0
	for _, b := range p {
		if s.ended {
			break
		}
		switch b {
		case '\r':
		case '\n':
			counted++
			s.endLine()
		default:
			s.readField(b)
			s.column++
		}
	}
	return counted
}

func (s *requestScanner) endLine() {
	// Empty lines before a request don't end its head.
	s.ended = s.column == 0 && s.lines > 0
	if s.column > 0 {
		s.lines++
	}
	s.longest = max(s.longest, s.length)
	s.column, s.length, s.counting = 0, 0, false
}

// readField reads a byte of a field.
func (s *requestScanner) readField(b byte) {
	if s.column == 0 {
		s.inName = true
	}
	switch {
	case s.inName && b == ':':
		s.inName = false
		name := strings.TrimRight(string(s.name[:min(s.column, maxName)]), " \t")
		s.counting = name == lengthField
		s.chunked = s.chunked || name == codingField
	case s.inName && s.column < maxName:
		if b >= 'A' && b <= 'Z' {
			b += 'a' - 'A'
		}
		s.name[s.column] = b
	case s.counting && b >= '0' && b <= '9' && s.length < maxLength:
		s.length = 10*s.length + int(b-'0')
	}
}

// bodyBytes returns the largest size that the body may have within the limit.
func (s *requestScanner) bodyBytes(limit int) int {
	if s.chunked {
		return limit
	}
	return min(s.longest, limit)
}
