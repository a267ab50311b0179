package limiter

import (
	"fmt"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// acceptRetryDelay is the delay before the next attempt to accept a connection after the
// process had no descriptor or memory for one.
const acceptRetryDelay = 10 * time.Millisecond

// noRoomHeader begins the answer to a connection when all others wait for responses.
const noRoomHeader = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\n"

// noRoomResponse returns the answer to a connection when all others wait for responses.
func noRoomResponse(body string) []byte {
	header := noRoomHeader
	if body != "" {
		header += "Content-Type: application/json\r\n"
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
}

// Listener returns a listener for a server of fasthttp whose connections are limited.
func (s *Server) Listener(inner net.Listener) net.Listener {
	return &listener{inner, s, func(c net.Conn, e *Entry) net.Conn { return &conn{Conn: c, server: s, entry: e} }}
}

type listener struct {
	net.Listener
	server *Server
	// wrap returns the connection that the HTTP library gets.
	wrap func(net.Conn, *Entry) net.Conn
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
		entry, hasClosed := l.server.connections.Add(func() { _ = inner.Close() })
		if hasClosed || entry == nil {
			l.server.refuse(limitConnections)
		}
		if entry == nil {
			_ = inner.SetWriteDeadline(time.Now().Add(acceptRetryDelay))
			_, _ = inner.Write(l.server.noRoomResponse)
			_ = inner.Close()
			continue
		}
		return l.wrap(inner, entry), nil
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
