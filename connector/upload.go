package connector

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"
)

// uploadBody is the body of a response without a length, of which only the end of the connection shows the end. A write that gets the
// error of the connection leaves none to the reads, which then end as after a whole response.
type uploadBody struct {
	io.ReadCloser
	exchange *Exchange
}

// Read reads from the body. It returns an error at the end of a connection that failed while the request was being sent.
func (b uploadBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if cause := b.exchange.uploadError(); cause != nil {
			return n, fmt.Errorf("%w: the connection failed while the request was being sent: %w", io.ErrUnexpectedEOF, cause)
		}
	}
	return n, err
}

// EndsWithConnection reports whether nothing but the end of the connection shows that the response is whole.
func (x *Exchange) EndsWithConnection() bool {
	return x.ContentLength < 0 && len(x.TransferEncoding) == 0
}

// uploadError returns why the sending of the request failed, nil if it has ended well. What has yet to be sent is given up, as the response
// has ended; that the endpoint reads no more of the request is no failure of the connection.
func (x *Exchange) uploadError() error {
	if x.bodySent == nil {
		return nil
	}
	var err error
	select {
	case err = <-x.bodySent:
	default:
		if err := x.conn.SetWriteDeadline(time.Now()); err != nil {
			return err
		}
		err = <-x.bodySent
	}
	// The connection isn't used again unless the whole request was sent.
	x.bodySent <- err
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil
	}
	return err
}
