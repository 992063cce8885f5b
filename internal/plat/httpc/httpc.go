// Package httpc makes HTTP calls with JSON to the platform's services.
//
// Every call has a deadline and a bound on the size of its answer, and connections are reused. A failed call reports
// whether a byte of it may have left this process, because a write that may have been sent must be settled by reading.
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
)

const (
	// DefaultTimeout bounds a call whose Config sets no timeout.
	DefaultTimeout = 2 * time.Second
	// maxConns bounds the connections to one service; further calls wait for one within their deadline.
	maxConns = 64
	// idleTimeout ends connections that no call used for this time.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 64 << 10
)

// Config describes a service.
type Config struct {
	// Address is the host:port, by IP number, of the service.
	Address string
	// Timeout bounds every call, its dial included. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxResponseBytes bounds the body of an answer.
	MaxResponseBytes int64
}

// Client calls one service. It is safe for concurrent use.
type Client struct {
	cfg Config
	htc *http.Client
}

// Call is one call.
type Call struct {
	// Method is the HTTP method.
	Method string
	// Target is the path and query, escaped.
	Target string
	// Header holds further header fields; it may be nil.
	Header http.Header
	// Body is encoded as JSON unless it is nil.
	Body any
	// ExtraTimeout is added to the timeout of the client, for calls that wait at the service.
	ExtraTimeout time.Duration
}

// Reply is the whole answer to a call.
type Reply struct {
	// Status is the HTTP status.
	Status int
	// Data is the body.
	Data []byte
}

// New returns a client. The clean-up function closes its idle connections; the calls must have ended before.
func New(cfg Config) (cli *Client, cleanup func(), err error) {
	if _, err = netip.ParseAddrPort(cfg.Address); err != nil {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "address",
			Reason: "must be host:port by IP number: " + err.Error(),
		}
	}
	if cfg.Timeout < 0 || cfg.MaxResponseBytes <= 0 {
		return nil, nil, &cardamompass.InvalidError{
			Field:  "timeout or answer size",
			Reason: "must be positive",
		}
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	trn := &http.Transport{
		DialContext: (&net.Dialer{
			Timeout: cfg.Timeout,
		}).DialContext,
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

// Do makes the call and reads its whole answer. After an error, sent is false only if no byte of the call left this
// process.
func (cli *Client) Do(ctx context.Context, cal Call) (rpl Reply, sent bool, err error) {
	defer func() { err = errors.Wrapf(err, "%s %s", cal.Method, cal.Target) }()
	ctx, cancel := context.WithTimeout(ctx, cli.cfg.Timeout+cal.ExtraTimeout)
	defer cancel()
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
	dat, err := io.ReadAll(io.LimitReader(rsp.Body, cli.cfg.MaxResponseBytes+1))
	if err != nil {
		return Reply{}, true, err
	}
	if int64(len(dat)) > cli.cfg.MaxResponseBytes {
		return Reply{}, true, errors.Errorf("answer is longer than %d bytes", cli.cfg.MaxResponseBytes)
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

// sentTrace sets snt once the call has a connection. The transport asks for another connection only when the earlier
// one broke with no byte written, or for a read, which may be repeated; a dial that then fails leaves a write unsent.
func sentTrace(snt *atomic.Bool) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GetConn: func(string) { snt.Store(false) },
		GotConn: func(httptrace.GotConnInfo) { snt.Store(true) },
	}
}
