package budgeter

import (
	"net"
)

// Listener accepts connections within a budget.
type Listener struct {
	net.Listener
	Budget *Budget
	// HeadBytes returns the size limit of a request's head; nil if there is none.
	HeadBytes func() int
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
		// What an evicted connection gives back is counted when its server has closed it too.
		account, err := l.Budget.Open(func() { _ = accepted.Close() })
		if err != nil {
			_ = accepted.Close()
			continue
		}
		return &conn{Conn: accepted, Account: account, listener: l}, nil
	}
}
