package controlcall

import (
	"context"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"boragehub/pause"
	"boragehub/responsehead"
	"boragehub/wholebody"
)

const (
	readBufferBytes = 4 << 10
	// maxKinds bounds the kinds of responses that a connection remembers; calls have a few paths.
	maxKinds = 32
	// maxLoggedID bounds what is logged of a target's text.
	maxLoggedID = 80
	// keepAliveMargin is subtracted from the idle timeout that a target announces, as the next call has to
	// arrive before the target closes the connection.
	keepAliveMargin = 500 * time.Millisecond
)

// kind is a kind of response: a target may echo ids on some paths alone, or in successful responses alone.
type kind struct {
	path        string // without the query
	statusClass int    // first digit of the status
}

// conn is one connection.
type conn struct {
	nc       net.Conn
	in       *responsehead.Reader
	echoing  []kind // whose responses have had the ids of their calls
	echoed   bool   // the last response had its call's id
	ownIDs   bool   // the first response, which was its call's own, had another id
	calls    int    // responses so far
	answered bool   // a byte of a response to the present call has arrived
	otherID  string // of a response to another call
	followed bool   // further bytes followed the last response

	restsSince, expires time.Time // while idle
}

func newConn(nc net.Conn) *conn {
	return &conn{nc: nc, in: responsehead.NewReader(nc, readBufferBytes)}
}

func (c *conn) reused() bool { return c.calls > 0 }

// close closes the connection. The only error that Close can return is that the connection is closed
// already, which is the desired state.
func (c *conn) close() {
	//nolint:errcheck,gosec // see above
	c.nc.Close()
}

type exchangeConfig struct {
	idHeader, id string // empty without ids
	maxBody      int64
}

// exchange writes a call and reads its response. keep is how long the connection may stay idle, zero if it has
// to be closed, negative if the target announced no time.
func (c *conn) exchange(ctx context.Context, text []byte, req *http.Request, cfg exchangeConfig) (r Response, keep time.Duration, err error) {
	c.answered = false

	if _, err := c.nc.Write(text); err != nil {
		return Response{}, 0, err
	}

	resp, err := c.readHead(req)
	if err != nil {
		return Response{}, 0, err
	}

	defer func() { _ = resp.Body.Close() }()

	if !c.isOwn(resp, cfg) {
		return Response{}, 0, ErrOtherResponse
	}

	body, err := wholebody.ReadAll(pause.ProgressReader(ctx, resp.Body), cfg.maxBody)
	if err != nil {
		return Response{}, 0, err
	}

	c.calls++

	// Bytes behind a complete response belong to no call.
	c.followed = c.in.Buffered() > 0

	if resp.Close || endsWithConnection(resp) || c.followed {
		keep = 0
	} else {
		keep = keepAliveTimeout(resp.Header)
	}

	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, keep, nil
}

// readHead reads the header of a response.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	if err := c.in.Await(); err != nil {
		return nil, err
	}

	c.answered = true

	return c.in.Read(req)
}

// isOwn reports whether a response is that to the present call, as far as ids tell, and records which of the
// connection's responses carry ids.
func (c *conn) isOwn(resp *http.Response, cfg exchangeConfig) bool {
	if cfg.idHeader == "" {
		return true
	}

	id := resp.Header.Get(cfg.idHeader)
	k := kind{resp.Request.URL.Path, resp.StatusCode / 100}
	echoes := slices.Contains(c.echoing, k)

	if c.calls == 0 {
		c.ownIDs = id != "" && id != cfg.id
	}

	c.echoed = id == cfg.id

	if c.echoed && !echoes && len(c.echoing) < maxKinds {
		c.echoing = append(c.echoing, k)
	}

	if !c.echoed && (echoes || (id != "" && !c.ownIDs)) {
		c.otherID = id[:min(len(id), maxLoggedID)]

		return false
	}

	return true
}

// endsWithConnection reports whether a response's body ends with its connection.
func endsWithConnection(resp *http.Response) bool {
	return len(resp.TransferEncoding) == 0 && resp.ContentLength < 0 && resp.Body != http.NoBody
}

// keepAliveTimeout returns the idle timeout that a target announces in its Keep-Alive header, less
// keepAliveMargin; negative if it announces none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s > 0 {
			return time.Duration(min(s, math.MaxInt32))*time.Second - keepAliveMargin
		}
	}

	return -1
}
