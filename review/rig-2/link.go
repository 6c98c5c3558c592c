package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lastPort is the last port that was given out.
var lastPort atomic.Int32

const firstPort = 9000

// hostIP returns the loopback address with the number, which depends on the process, so that cases that run at once don't collide.
func hostIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid>>8%128, pid%256, number)
}

// nextAddress returns an address for a listener. Its port isn't one that the system chooses by itself, so that it stays free while
// a link is cut.
func nextAddress() string {
	return fmt.Sprintf("%s:%d", hostIP(200), firstPort+lastPort.Add(1))
}

// link is the way of one machine to one server. While it is cut, its connections hang, and so do new ones: the packets that would
// open them are dropped.
type link struct {
	target  string
	address string

	mutex    sync.Mutex
	listener net.Listener
	pairs    map[*pair]bool
	// held is closed when what the cut holds up may go on; nil if the link isn't cut.
	held chan struct{}
	// sockets fill the queue of new connections while the link is cut.
	sockets []int
}

// pair is a connection of the machine and that to the server.
type pair struct {
	machine *net.TCPConn
	server  *net.TCPConn
}

func startLink(target string) (*link, error) {
	l := &link{target: target, address: nextAddress(), pairs: map[*pair]bool{}}
	return l, l.listen()
}

func (l *link) listen() error {
	listener, err := net.Listen("tcp", l.address)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

func (l *link) accept(listener net.Listener) {
	for {
		machine, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(machine.(*net.TCPConn))
	}
}

func (l *link) connect(machine *net.TCPConn) {
	server, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		reset(machine)
		return
	}
	p := &pair{machine, server.(*net.TCPConn)}
	l.mutex.Lock()
	l.pairs[p] = true
	l.mutex.Unlock()
	go l.forward(p, p.machine, p.server)
	l.forward(p, p.server, p.machine)
}

// forward copies what comes from one side to the other until one of them ends.
func (l *link) forward(p *pair, from, to *net.TCPConn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mutex.Lock()
		held := l.held
		l.mutex.Unlock()
		if held != nil {
			<-held
			if isReset(from) {
				// What a cut holds up is lost if its sender resets the connection.
				n, err = 0, syscall.ECONNRESET
			}
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			l.end(p, err)
			return
		}
	}
}

// end ends both connections as one of them has ended.
func (l *link) end(p *pair, err error) {
	l.mutex.Lock()
	delete(l.pairs, p)
	l.mutex.Unlock()
	for _, c := range []*net.TCPConn{p.machine, p.server} {
		if errors.Is(err, io.EOF) {
			_ = c.Close() // It may have ended already.
		} else {
			reset(c)
		}
	}
}

// reset closes the connection with a reset.
func reset(c *net.TCPConn) {
	// It may have ended already.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// isReset reports whether the other side has reset the connection.
func isReset(c *net.TCPConn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	found := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = failed != nil && !errors.Is(failed, syscall.EAGAIN)
	})
	return found || err != nil
}

// cut cuts the link.
func (l *link) cut() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.held = make(chan struct{})
	if err := l.listener.Close(); err != nil {
		return err
	}
	return l.fillQueue()
}

// fillQueue makes the system drop the packets that open new connections to the link, as the queue of new connections is full.
func (l *link) fillQueue() error {
	at, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		return err
	}
	address := &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}
	full, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return err
	}
	l.sockets = append(l.sockets, full)
	if err := errors.Join(syscall.SetsockoptInt(full, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1), bind(full, address), syscall.Listen(full, 0)); err != nil {
		return err
	}
	const enough = 3
	for range enough {
		s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			return err
		}
		l.sockets = append(l.sockets, s)
		if err := syscall.Connect(s, address); err != nil && !errors.Is(err, syscall.EINPROGRESS) {
			return err
		}
	}
	return nil
}

// bind binds the socket to the address, which the system may free a moment after its listener was closed.
func bind(socket int, address syscall.Sockaddr) error {
	const tries = 200
	var err error
	for range tries {
		if err = syscall.Bind(socket, address); err == nil {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return err
}

// heal ends the cut: what was held up goes on.
func (l *link) heal() error {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.emptyQueue()
	close(l.held)
	l.held = nil
	return l.listen()
}

func (l *link) emptyQueue() {
	for _, s := range l.sockets {
		_ = syscall.Close(s) // Nothing was sent on it.
	}
	l.sockets = nil
}

func (l *link) close() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	_ = l.listener.Close() // A cut may have closed it.
	l.emptyQueue()
	if l.held != nil {
		close(l.held)
	}
	for p := range l.pairs {
		reset(p.machine)
		reset(p.server)
	}
}
