package connector

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/dotterelpulley/dotterelpulley"
)

// Bytes of a request that had been given up while a partition held them up reached the endpoint seconds later, as a connection
// that is closed in order still delivers them.
func TestAnExchangeThatIsGivenUpResetsItsConnection(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		cancel()
		_, err = reader.ReadByte()
		ended <- err
	}()
	var p Connector
	_, err = p.Do(ctx, dotterelpulley.Address(listener.Addr().String()), Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	c.Assert(err, qt.IsNotNil)
	c.Assert(<-ended, qt.ErrorIs, syscall.ECONNRESET)
}
