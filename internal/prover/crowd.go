package prover

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/dotterelpulley/dotterelpulley"
)

// crowdTimeout limits the time for which a host that reads no further holds a client of a crowd.
const crowdTimeout = 20 * time.Second

// Crowd is a number of clients that each send a text, in which ID stands for the client, then a unit many times, and leave their
// connections open; Close ends them.
type Crowd struct {
	Clients int
	Text    string
	Unit    string
	// Units is how often the unit is sent.
	Units int

	conns []net.Conn
}

// Press opens the connections to the address and returns when each client has sent all that the host takes.
func (c *Crowd) Press(ctx context.Context, address dotterelpulley.Address) error {
	var sending conc.WaitGroup
	defer sending.Wait()
	var dialer net.Dialer
	for n := range c.Clients {
		conn, err := dialer.DialContext(ctx, "tcp", string(address))
		if err != nil {
			return fmt.Errorf("client %d of a crowd: %w", n, err)
		}
		c.conns = append(c.conns, conn)
		sending.Go(func() { c.send(conn, n) })
	}
	return nil
}

// send sends what client n has to say, as far as the host takes it.
func (c *Crowd) send(conn net.Conn, n int) {
	if conn.SetWriteDeadline(time.Now().Add(crowdTimeout)) != nil {
		return
	}
	if _, err := io.WriteString(conn, strings.ReplaceAll(c.Text, "ID", "crowd-"+strconv.Itoa(n))); err != nil {
		return
	}
	const batch = 1 << 10
	many := strings.Repeat(c.Unit, batch)
	for range c.Units / batch {
		if _, err := io.WriteString(conn, many); err != nil {
			return
		}
	}
}

// Close closes the connections.
func (c *Crowd) Close() error {
	var errs []error
	for _, conn := range c.conns {
		errs = append(errs, conn.Close())
	}
	c.conns = nil
	return errors.Join(errs...)
}

// ShortLines returns header lines of the size in total, each with a name of its own, as short as they can be.
func ShortLines(size int) string {
	var lines strings.Builder
	for n := 0; lines.Len() < size; n++ {
		lines.WriteString(strconv.FormatInt(int64(n), 36) + ":\r\n")
	}
	return lines.String()[:strings.LastIndex(lines.String()[:size], "\n")+1]
}

// Chunks returns a body in the number of chunks of one byte, without its end.
func Chunks(count int) string {
	return strings.Repeat("1\r\nx\r\n", count)
}

// CompressedZeros returns that many bytes of zero, compressed.
func CompressedZeros(size int) string {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	// A buffer takes all that is written.
	_, _ = w.Write(make([]byte, size))
	_ = w.Close()
	return out.String()
}
