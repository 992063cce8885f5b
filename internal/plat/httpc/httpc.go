// Package httpc makes HTTP calls with JSON to the platform's services.
//
// Every call has a limit on the time without progress and on the size of its response, and connections are reused. A failed call reports whether
// any byte of it may have left this process, because the outcome of a write that may have been sent must be determined by
// reading.
package httpc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/plat/stall"
	"cardamompass/internal/plat/strict"
)

const (
	// DefaultTimeout is used if a Config sets no timeout.
	DefaultTimeout = 2 * time.Second
	// maxConns bounds the connections to one service; further calls wait for a connection until their deadline.
	maxConns = 64
	// idleTimeout is the time after which an unused connection is closed.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the header of a response.
	maxHeaderBytes = 64 << 10
)

// Config describes a service.
type Config struct {
	// Address is the IP address and port of the service.
	Address string
	// Timeout bounds the time until a response begins, including the dial, and the pauses in it. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxResponseBytes bounds the body of a response.
	MaxResponseBytes int64
}

// Client calls one service. It is safe for concurrent use.
type Client struct {
	cfg Config
	htc *http.Client
}

// Call describes an HTTP request to the service.
type Call struct {
	// Method is the HTTP method.
	Method string
	// Target is the escaped path and query.
	Target string
	// Header holds additional header fields; it may be nil.
	Header http.Header
	// Body is encoded as JSON unless it is nil.
	Body any
	// ExtraTimeout is added to the time until the response begins, for calls that the service delays, such as a watch.
	ExtraTimeout time.Duration
}

// Reply is the complete response to a call.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Data is the body.
	Data []byte
}

// New returns a client. The cleanup function closes its idle connections and must be called after all calls have ended.
func New(cfg Config) (cli *Client, cleanup func(), err error) {
	if _, err = netip.ParseAddrPort(cfg.Address); err != nil {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "address",
			Reason: "must be an IP address and a port: " + err.Error(),
		}
	}
	if cfg.Timeout < 0 || cfg.MaxResponseBytes <= 0 {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "timeout or response size",
			Reason: "must be positive",
		}
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	trn := &http.Transport{
		DialContext: strict.Dialer((&net.Dialer{
			Timeout: cfg.Timeout,
		}).DialContext),
		MaxIdleConnsPerHost:    maxConns,
		MaxConnsPerHost:        maxConns,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	cli = &Client{
		cfg: cfg,
		htc: &http.Client{
			Transport: trn,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
	return cli, trn.CloseIdleConnections, nil
}

// Do makes the call and reads the complete response. After an error, sent is false only if no byte of the call has left this
// process.
func (cli *Client) Do(ctx context.Context, cal Call) (rpl Reply, sent bool, err error) {
	defer func() { err = errors.Wrapf(err, "%s %s", cal.Method, cal.Target) }()
	ctx, wdg, stop := stall.New(ctx, stall.Config{
		First: cli.cfg.Timeout + cal.ExtraTimeout,
		Gap:   cli.cfg.Timeout,
	})
	defer stop()
	var snt atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, sentTrace(&snt))
	req, err := cli.request(ctx, cal)
	if err != nil {
		return Reply{}, false, err
	}
	rsp, err := cli.htc.Do(req)
	if err != nil {
		return Reply{}, snt.Load(), err
	}
	defer func() { _ = rsp.Body.Close() }()
	if err = strict.CheckResponse(rsp); err != nil {
		cli.htc.CloseIdleConnections() // that of a response without a body is idle already
		return Reply{}, true, err
	}
	dat, err := io.ReadAll(io.LimitReader(wdg.Reader(rsp.Body), cli.cfg.MaxResponseBytes+1))
	if err != nil {
		return Reply{}, true, err
	}
	if int64(len(dat)) > cli.cfg.MaxResponseBytes {
		return Reply{}, true, errors.Errorf("response is longer than %d bytes", cli.cfg.MaxResponseBytes)
	}
	return Reply{
		Status: rsp.StatusCode,
		Data:   dat,
	}, true, nil
}

func (cli *Client) request(ctx context.Context, cal Call) (req *http.Request, err error) {
	var bdy io.Reader
	if cal.Body != nil {
		dat, err := json.Marshal(cal.Body)
		if err != nil {
			return nil, err
		}
		bdy = bytes.NewReader(dat)
	}
	req, err = http.NewRequestWithContext(ctx, cal.Method, "http://"+cli.cfg.Address+cal.Target, bdy)
	if err != nil {
		return nil, err
	}
	for nam, vls := range cal.Header {
		req.Header[nam] = vls
	}
	if bdy != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// sentTrace sets snt once the call has a connection. The transport gets another connection only if the earlier one failed
// before any byte was written, or for a read, which may be repeated. If that dial fails, a write has therefore not been sent.
func sentTrace(snt *atomic.Bool) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { snt.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { snt.Store(true) },
	}
}
