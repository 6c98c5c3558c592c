package verifier

import (
	"fmt"
	"net"
)

// Conn is a client's connection whose reads fail at a malformed head of a response. Whole requests are written and their responses read in
// turn, as fasthttp does, whose parser takes some of these heads for others.
type Conn struct {
	net.Conn
	head headChecker
}

// Write writes a request, after which the head of its response is expected.
func (c *Conn) Write(p []byte) (int, error) {
	c.head = headChecker{inHead: true}
	return c.Conn.Write(p)
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, b := range p[:n] {
		if !c.head.inHead {
			break
		}
		if err := c.head.next(b); err != nil {
			return 0, err
		}
	}
	return n, err
}

// headChecker checks heads byte by byte, up to the end of the first one that isn't that of an interim response.
type headChecker struct {
	inHead bool
	// line counts the lines of the head, column the bytes of the line.
	line, column int
	// inValue is true behind the name of a field, blank in a line that begins with its end.
	inValue bool
	blank   bool
	status  int
}

// statusLine begins each head, with any digits in place of zeros.
const statusLine = "HTTP/1.0 000"

func (s *headChecker) next(b byte) error {
	column := s.column
	s.column++
	switch {
	case s.line == 0 && column < len(statusLine):
		return s.checkStatusLine(column, b)
	case b == '\n':
		return s.endLine(column)
	case s.blank:
		return fmt.Errorf("%w: a line begins with a carriage return", ErrMalformed)
	case s.line == 0 && column == len(statusLine) && b != ' ' && b != '\r':
		return fmt.Errorf("%w: no status line", ErrMalformed)
	case s.line == 0 && isControl(rune(b)) && b != '\r':
		return fmt.Errorf("%w: control byte in the status line", ErrMalformed)
	case s.line == 0 || s.inValue:
		return nil
	case column == 0 && (b == ' ' || b == '\t') && s.line > 1:
		// The value of the field before goes on.
		s.inValue = true
		return nil
	case column == 0 && b == '\r':
		s.blank = true
		return nil
	case b == ':' && column > 0:
		s.inValue = true
		return nil
	case !isToken(b):
		return fmt.Errorf("%w: invalid field name", ErrMalformed)
	}
	return nil
}

func (s *headChecker) checkStatusLine(column int, b byte) error {
	isDigit := b >= '0' && b <= '9'
	if statusLine[column] == '0' && !isDigit || statusLine[column] != '0' && b != statusLine[column] {
		return fmt.Errorf("%w: no status line", ErrMalformed)
	}
	if column >= len(statusLine)-3 {
		s.status = 10*s.status + int(b-'0')
	}
	if column == len(statusLine)-1 && !IsInterim(s.status) {
		return checkStatus(s.status)
	}
	return nil
}

// endLine ends a line of the length.
func (s *headChecker) endLine(length int) error {
	switch {
	case s.line > 0 && (s.blank || length == 0):
		*s = headChecker{inHead: IsInterim(s.status)}
	case s.line > 0 && !s.inValue:
		return fmt.Errorf("%w: a field without a colon", ErrMalformed)
	default:
		s.line, s.column, s.inValue = s.line+1, 0, false
	}
	return nil
}
