package limiter

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acceptRetryDelay is the delay before the next attempt to accept a connection after the
// process had no descriptor or memory for one.
const acceptRetryDelay = 10 * time.Millisecond

// noRoomResponse answers a connection when all others wait for responses.
const noRoomResponse = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Listener returns a listener whose connections are limited.
func (s *Server) Listener(inner net.Listener) net.Listener { return &listener{inner, s} }

type listener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection. A lack of descriptors closes a connection instead of
// the listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		switch {
		case isShortage(err):
			l.server.refuse(limitDescriptors)
			l.server.connections.CloseOldest()
			time.Sleep(acceptRetryDelay)
			continue
		case errors.Is(err, unix.ECONNABORTED):
			continue
		case err != nil:
			return nil, err
		}
		c := &conn{Conn: inner, server: l.server}
		var hasClosed bool
		c.entry, hasClosed = l.server.connections.Add(func() { _ = inner.Close() })
		if hasClosed || c.entry == nil {
			l.server.refuse(limitConnections)
		}
		if c.entry == nil {
			_ = inner.SetWriteDeadline(time.Now().Add(acceptRetryDelay))
			_, _ = inner.Write([]byte(noRoomResponse))
			_ = inner.Close()
			continue
		}
		return c, nil
	}
}

// isShortage reports whether a connection could not be accepted because of a lack of
// descriptors or memory.
func isShortage(err error) bool {
	for _, cause := range [...]error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
