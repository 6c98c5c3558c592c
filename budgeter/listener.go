package budgeter

import (
	"crypto/tls"
	"net"
)

// Listener accepts connections within a budget.
type Listener struct {
	net.Listener
	Budget *Budget
	// HeadBytes returns the size limit of a request's head; nil if there is none.
	HeadBytes func() int
	// WholeRequests means that the server reads whole requests before it handles them, so that bodies are charged with their heads; BodyBytes
	// is the largest that it reads.
	WholeRequests bool
	BodyBytes     int
	// HTTP2 means that the server accepts HTTP/2 without TLS.
	HTTP2 bool
	// Encrypted means that what the connections carry can't be told.
	Encrypted bool
	// TooLarge and Busy are the complete responses to a head over the size limit, and to one without room.
	TooLarge []byte
	Busy     []byte
}

// Accept waits for the next connection for which there is room; others are closed unread.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		socket := accepted
		if encrypted, ok := accepted.(*tls.Conn); ok {
			// To close an encrypted connection may take a while.
			socket = encrypted.NetConn()
		}
		// What an evicted connection gives back is counted when its server has closed it too.
		account, err := l.Budget.Open(func() { _ = socket.Close() })
		if err != nil {
			_ = accepted.Close()
			continue
		}
		return &conn{
			Conn: accepted, Account: account, listener: l, multiplexed: l.Encrypted,
			meter: meter{wholeRequests: l.WholeRequests, bodyLimit: l.BodyBytes},
		}, nil
	}
}
