package storeclient

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"
)

// TestSilentConnectionsFailOneRead guards against reads, and a watch, that wait for their
// timeouts one after another on connections that went silent together, also across the
// classes of calls.
func TestSilentConnectionsFailOneRead(t *testing.T) {
	c := quicktest.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	var silentUpTo, revision atomic.Int64
	revision.Store(1)
	ended := make(chan struct{})
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		time.Sleep(10 * time.Millisecond)
		for string(ctx.Path()) == "/v1/watch/k" && revision.Load() == 1 {
			time.Sleep(5 * time.Millisecond)
		}
		if ctx.ConnTime().UnixNano() < silentUpTo.Load() {
			<-ended
		}
		ctx.Response.Header.Set(RevisionHeader, "2")
	}}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { close(ended); _ = server.Shutdown() })
	store := HTTP(listener.Addr().(*net.TCPAddr).AddrPort())
	read := func(class Class) error {
		ctx, cancel := context.WithTimeout(WithClass(context.Background(), class), 300*time.Millisecond)
		defer cancel()
		_, err := store.Get(ctx, "k")
		return err
	}
	var first sync.WaitGroup
	for range 8 {
		for class := range numClasses {
			first.Go(func() { _ = read(class) })
		}
	}
	first.Wait()
	seen := make(chan error, 1)
	go func() {
		for {
			_, err := store.Watch(context.Background(), "k", 1)
			if err == nil {
				seen <- nil
				return
			}
		}
	}()
	time.Sleep(100 * time.Millisecond)
	silentUpTo.Store(time.Now().UnixNano())
	revision.Store(2)
	c.Assert(read(ClassConfig), quicktest.IsNotNil)
	for range 8 {
		for class := range numClasses {
			c.Assert(read(class), quicktest.IsNil, quicktest.Commentf("%s", class))
		}
	}
	select {
	case <-seen:
	case <-time.After(time.Second):
		c.Fatal("the watch has not seen the change")
	}
}
