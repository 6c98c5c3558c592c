package verifier

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that a response doesn't follow the protocol, so that nothing in it can be relied on.
var ErrMalformed = errors.New("the response is malformed")

const (
	minInterim = 100
	minFinal   = 200
	maxFinal   = 599
)

// IsInterim reports whether another response follows one with the status. A switch of protocols is none of these, as nobody asks for it.
func IsInterim(status int) bool {
	return status >= minInterim && status < minFinal && status != http.StatusSwitchingProtocols
}

// CheckHead returns an error that wraps ErrMalformed unless the head of an interim or final response has the form that HTTP/1 requires.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return fmt.Errorf("%w: version %d", ErrMalformed, r.ProtoMajor)
	}
	return checkFields(r)
}

// CheckFinal returns an error that wraps ErrMalformed unless the head is that of a final response, of any version.
func CheckFinal(r *http.Response) error {
	if err := checkStatus(r.StatusCode); err != nil {
		return err
	}
	return checkFields(r)
}

func checkStatus(status int) error {
	if status < minFinal || status > maxFinal {
		return fmt.Errorf("%w: status %d", ErrMalformed, status)
	}
	return nil
}

func checkFields(r *http.Response) error {
	if strings.ContainsFunc(r.Status, isControl) {
		return fmt.Errorf("%w: control byte in the status line", ErrMalformed)
	}
	return checkNames(r.Header)
}

func checkNames(fields http.Header) error {
	for name := range fields {
		// The parser keeps a blank in a name, or between a name and the colon.
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: invalid field name", ErrMalformed)
		}
	}
	return nil
}

// trailedBody is the body of a response in chunks, which a trailer ends.
type trailedBody struct {
	io.ReadCloser
	response *http.Response
}

// CheckTrailer makes the end of the response's body an error if the trailer is malformed.
func CheckTrailer(r *http.Response) {
	if len(r.TransferEncoding) > 0 {
		r.Body = trailedBody{ReadCloser: r.Body, response: r}
	}
}

// Read reads from the body.
func (b trailedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkNames(b.response.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

func isControl(r rune) bool {
	return r < ' ' && r != '\t' || r == '\x7f'
}

// isToken reports whether the name of a field may hold the byte.
func isToken(b byte) bool {
	return httpguts.IsTokenRune(rune(b))
}

// Transport is a RoundTripper that fails for a malformed response; set RoundTripper before the first request.
type Transport struct {
	http.RoundTripper
}

// RoundTrip sends the request and returns its response.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckFinal(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	CheckTrailer(response)
	return response, nil
}
