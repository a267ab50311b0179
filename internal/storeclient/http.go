package storeclient

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"tarragonhead.example/tarragonhead/internal/connector"
)

const (
	// RevisionHeader carries an entry's revision in the store's responses.
	RevisionHeader = "Revision"
	// ClassHeader carries the class of a call. The platform counts calls by
	// class.
	ClassHeader = "Call-Class"
)

const (
	callTimeout = 2 * time.Second
	// watchWait is how long the store holds a watch before it responds that
	// nothing has changed.
	watchWait = 10 * time.Second
)

// HTTP returns a client of the store's HTTP interface at addr.
func HTTP(addr netip.AddrPort) Store {
	c := &httpClient{base: "http://" + addr.String()}
	// What one class learns of silent connections holds for all of them.
	all := connector.New(func(connector.UnansweredCall) {}, nil)
	for i := range c.clients {
		c.clients[i] = newHTTPClient(all, false)
	}
	c.watches = newHTTPClient(all, true)
	return Store{
		Get:            c.get,
		CompareAndSwap: c.compareAndSwap,
		Watch:          c.watch,
		Grant:          c.grant,
		KeepAlive:      c.keepAlive,
		Revoke:         c.revoke,
	}
}

func newHTTPClient(all *connector.Connector, isForWatches bool) *fasthttp.Client {
	c := &fasthttp.Client{MaxConnsPerHost: 64, MaxResponseBodySize: 2 * MaxValueBytes}
	all.Attach(c, isForWatches)
	return c
}

type httpClient struct {
	base string
	// clients has a connection pool for each class, so that slow calls of one
	// class do not take the connections of the others.
	clients [numClasses]*fasthttp.Client
	// watches has the connections of watches, which are ended when their connection
	// may be silent.
	watches *fasthttp.Client
}

// reply has the parts of an HTTP response that are used after the response is
// released.
type reply struct {
	status   int
	revision uint64
	body     []byte
}

// do sends a request and waits for the response until timeout has passed or the
// deadline of ctx. A status of 500 or above is an UnavailableError.
func (c *httpClient) do(ctx context.Context, op, key, method, path string, body []byte, timeout time.Duration) (reply, error) {
	return c.doWith(ctx, c.clients[ClassOf(ctx)], op, key, method, path, body, timeout)
}

// doWith is like do, with the connections of a client.
func (c *httpClient) doWith(ctx context.Context, client *fasthttp.Client, op, key, method, path string, body []byte, timeout time.Duration) (reply, error) {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(c.base + path)
	request.Header.SetMethod(method)
	request.SetBodyRaw(body)
	deadline := time.Now().Add(timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	if err := ctx.Err(); err != nil {
		return reply{}, err
	}
	request.Header.Set(ClassHeader, ClassOf(ctx).String())
	if err := client.DoDeadline(request, response, deadline); err != nil {
		return reply{}, &UnavailableError{Op: op, Key: key, MayHaveApplied: !isUnsent(err), Err: err}
	}
	revision, _ := strconv.ParseUint(string(response.Header.Peek(RevisionHeader)), 10, 64)
	r := reply{response.StatusCode(), revision, append([]byte(nil), response.Body()...)}
	if r.status >= 500 {
		return r, &UnavailableError{Op: op, Key: key, MayHaveApplied: true, Err: errors.Errorf("status %d: %s", r.status, r.body)}
	}
	return r, nil
}

// isUnsent reports whether err shows that no byte of a call was sent.
func isUnsent(err error) bool {
	var network *net.OpError
	return errors.Is(err, fasthttp.ErrNoFreeConns) || (errors.As(err, &network) && network.Op == "dial")
}

func (c *httpClient) get(ctx context.Context, key string) (Entry, error) {
	r, err := c.do(ctx, "get", key, "GET", "/v1/kv/"+key, nil, callTimeout)
	if err != nil {
		return Entry{}, err
	}
	if r.status == fasthttp.StatusNotFound {
		return Entry{}, &NotFoundError{key}
	}
	return Entry{Key: key, Value: r.body, Revision: r.revision}, nil
}

func (c *httpClient) compareAndSwap(ctx context.Context, key string, value []byte, expected uint64, lease LeaseID) (uint64, error) {
	path := fmt.Sprintf("/v1/kv/%s?expected=%d&lease=%d", key, expected, lease)
	r, err := c.do(ctx, "compare_and_swap", key, "PUT", path, value, callTimeout)
	switch {
	case err != nil:
		return 0, err
	case r.status == fasthttp.StatusConflict:
		return 0, &ConflictError{key, r.revision}
	case r.status == fasthttp.StatusGone:
		return 0, &LeaseError{lease}
	case r.status != fasthttp.StatusOK:
		return 0, errors.Errorf("store: compare_and_swap %s: status %d: %s", key, r.status, r.body)
	}
	return r.revision, nil
}

func (c *httpClient) watch(ctx context.Context, key string, after uint64) (Entry, error) {
	path := fmt.Sprintf("/v1/watch/%s?after=%d&wait_ms=%d", key, after, watchWait.Milliseconds())
	for {
		r, err := c.doWith(ctx, c.watches, "watch", key, "GET", path, nil, watchWait+callTimeout)
		if err != nil {
			return Entry{}, err
		}
		if r.status == fasthttp.StatusOK {
			return Entry{Key: key, Value: r.body, Revision: r.revision}, nil
		}
	}
}

func (c *httpClient) grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	r, err := c.do(ctx, "grant", "", "POST", fmt.Sprintf("/v1/lease?ttl_ms=%d", ttl.Milliseconds()), nil, callTimeout)
	if err != nil {
		return 0, err
	}
	id, err := strconv.ParseUint(string(r.body), 10, 64)
	return LeaseID(id), errors.Wrap(err, "store: grant")
}

func (c *httpClient) keepAlive(ctx context.Context, id LeaseID) error {
	r, err := c.do(ctx, "keep_alive", "", "POST", fmt.Sprintf("/v1/lease/%d", id), nil, callTimeout)
	if err == nil && r.status == fasthttp.StatusGone {
		return &LeaseError{id}
	}
	return err
}

func (c *httpClient) revoke(ctx context.Context, id LeaseID) error {
	_, err := c.do(ctx, "revoke", "", "DELETE", fmt.Sprintf("/v1/lease/%d", id), nil, callTimeout)
	return err
}
