package limiter

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// headerTooLarge begins the response of net/http to a header over its limit. The library
// has no hook for it.
const headerTooLarge = "HTTP/1.1 431 "

// httpConn is a connection of a server of net/http. The library sets its deadlines.
type httpConn struct {
	net.Conn
	server   *Server
	entry    *Entry
	waitsFor atomic.Int32
	isClosed atomic.Bool
}

// isServed is the phase in which a handler runs or after a refusal. The library then reads
// only to notice that the client has gone or to discard a body, and ends these reads by a
// deadline.
const isServed = phase(len(limitsByPhase))

func (c *httpConn) setPhase(p phase) { c.waitsFor.Store(int32(p)) }

// Read reads a part of a request.
func (c *httpConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	p := phase(c.waitsFor.Load())
	switch {
	case n > 0 && (p == isNew || p == isIdle):
		c.waitsFor.CompareAndSwap(int32(p), int32(inHeader))
	case isTimeout(err) && p != isServed && !c.isClosed.Load():
		c.server.refuse(limitsByPhase[p])
	}
	return n, err
}

// Write writes a part of a response.
func (c *httpConn) Write(b []byte) (int, error) {
	if phase(c.waitsFor.Load()) == inHeader && bytes.HasPrefix(b, []byte(headerTooLarge)) {
		c.server.refuse(limitHeaderBytes)
	}
	n, err := c.Conn.Write(b)
	if isTimeout(err) {
		c.server.refuse(limitWriteTime)
	}
	return n, err
}

// CloseWrite closes the connection for writing. The library calls it so that the client can
// read a response before the connection is reset.
func (c *httpConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *httpConn) Close() error {
	if !c.isClosed.CompareAndSwap(false, true) {
		return nil
	}
	c.server.connections.Remove(c.entry)
	return c.Conn.Close()
}

// HTTPListener returns a listener for a server of net/http whose connections are limited.
func (s *Server) HTTPListener(inner net.Listener) net.Listener {
	return &listener{inner, s, func(c net.Conn, e *Entry) net.Conn { return &httpConn{Conn: c, server: s, entry: e} }}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// AttachHTTP applies the limits to the requests that h serves, whose handler is set.
// Connections are limited only if they come from HTTPListener. The times for headers and
// idle connections are those of h. writeRefusal writes the response to a refused request.
func (s *Server) AttachHTTP(h *http.Server, writeRefusal func(w http.ResponseWriter, status int, message string)) {
	h.MaxHeaderBytes = s.limiter.Limits().MaxHeaderBytes
	h.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	inner := h.Handler
	h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveHTTP(w, r, inner, writeRefusal) })
}

// serveHTTP reads the body of a request before it calls inner.
func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request, inner http.Handler, writeRefusal func(http.ResponseWriter, int, string)) {
	out := &responseWriter{ResponseWriter: w, server: s}
	out.conn, _ = r.Context().Value(connKey{}).(*httpConn)
	// The library writes the response to Expect: 100-continue when the body is read.
	out.extend()
	b := body{server: s}
	defer b.release()
	if limit := s.readHTTP(out, r, &b); limit != "" {
		if limit != limitBodyTime || out.conn == nil {
			s.refuse(limit)
		}
		if out.conn != nil {
			// The library may read more of the refused body, which may time out again.
			out.conn.setPhase(isServed)
		}
		status, message := s.refusal(limit)
		w.Header().Set("Connection", "close")
		if limit == limitMemory {
			w.Header().Set("Retry-After", "1")
		}
		writeRefusal(out, status, message)
		return
	}
	if out.conn != nil {
		out.conn.setPhase(isServed)
		s.connections.Begin(out.conn.entry)
		defer func() {
			s.connections.End(out.conn.entry)
			out.conn.setPhase(isIdle)
		}()
	}
	inner.ServeHTTP(out, r)
	out.begin()
}

// readHTTP replaces the body of a request by one that is read. It returns the limit that
// the body exceeds, or "".
func (s *Server) readHTTP(out *responseWriter, r *http.Request, b *body) string {
	if r.ContentLength == 0 {
		return ""
	}
	if out.conn != nil {
		out.conn.setPhase(inBody)
	}
	controller := http.NewResponseController(out.ResponseWriter)
	_ = controller.SetReadDeadline(time.Now().Add(s.limiter.Limits().BodyTimeout))
	if r.ContentLength > int64(s.maxBodyBytes()) {
		return limitBodyBytes
	}
	if limit := b.read(r.Body, int(r.ContentLength), nil); limit != "" {
		return limit
	}
	// The handler may take longer than the body; an expired deadline would cancel it.
	_ = controller.SetReadDeadline(time.Time{})
	r.Body = io.NopCloser(bytes.NewReader(b.bytes))
	return ""
}

// responseWriter bounds the time for a response. The connection may be closed to make room
// for others from the first byte, since a client that doesn't read would otherwise keep it.
type responseWriter struct {
	http.ResponseWriter
	server *Server
	// conn is nil if the connection is not limited.
	conn     *httpConn
	hasBegun bool
}

// extend allows the following writes the time for a response.
func (w *responseWriter) extend() {
	_ = http.NewResponseController(w.ResponseWriter).SetWriteDeadline(time.Now().Add(w.server.limiter.Limits().WriteTimeout))
}

func (w *responseWriter) begin() {
	if w.hasBegun {
		return
	}
	w.hasBegun = true
	w.extend()
	if w.conn != nil {
		w.server.connections.End(w.conn.entry)
	}
}

// WriteHeader begins the response.
func (w *responseWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the response.
func (w *responseWriter) Write(b []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer of the library, for http.ResponseController.
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
