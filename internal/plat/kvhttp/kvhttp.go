// Package kvhttp is the client of the HTTP interface of the platform's key-value store.
//
// It implements the error contract of cardamompass.Store. The outcome of a write is unknown from the moment it has a connection
// until a response has been read completely and decoded: status 400, 404, 412, 413 and 429 mean that it had no effect, status
// 200 means that it took effect, and with any other response the outcome stays unknown.
package kvhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/plat/httpc"
)

// maxResponseBytes is enough for the largest value in base64, its key and its revision.
const maxResponseBytes = 2 * cardamompass.MaxValueBytes

// Config describes the store.
type Config struct {
	// Address is the IP address and port of the store.
	Address string
	// Timeout bounds the time until a response begins and the pauses in it; the wait of a watch is added to the former. Zero means 2 s.
	Timeout time.Duration
}

// Store implements cardamompass.Store. It is safe for concurrent use.
type Store struct {
	cli *httpc.Client
}

var _ cardamompass.Store = (*Store)(nil)

// New returns a client of the store. The cleanup function closes its idle connections and must be called after all calls have
// ended.
func New(cfg Config) (sto *Store, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "store client") }()
	cli, cleanup, err := httpc.New(httpc.Config{
		Address:          cfg.Address,
		Timeout:          cfg.Timeout,
		MaxResponseBytes: maxResponseBytes,
	})
	if err != nil {
		return nil, nil, err
	}
	return &Store{
		cli: cli,
	}, cleanup, nil
}

type valueBody struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
}

type putBody struct {
	Value []byte `json:"value"`
}

// Get implements cardamompass.Store.
func (kst *Store) Get(ctx context.Context, key string) (val cardamompass.Value, err error) {
	defer func() { err = errors.Wrapf(err, "get %s", key) }()
	trg, err := keyTarget(key)
	if err != nil {
		return cardamompass.Value{}, err
	}
	return kst.read(ctx, key, httpc.Call{
		Method: http.MethodGet,
		Target: trg,
	})
}

// Watch implements cardamompass.Store.
func (kst *Store) Watch(
	ctx context.Context, key string, after int64, wait time.Duration,
) (val cardamompass.Value, err error) {
	defer func() { err = errors.Wrapf(err, "watch %s", key) }()
	trg, err := keyTarget(key)
	if err != nil {
		return cardamompass.Value{}, err
	}
	if after < 0 || wait < 0 {
		return cardamompass.Value{}, &cardamompass.InvalidError{
			Field:  "revision or wait",
			Reason: "must not be negative",
		}
	}
	qry := url.Values{}
	qry.Set("after-revision", strconv.FormatInt(after, 10))
	qry.Set("wait-ms", strconv.FormatInt(milliseconds(wait), 10))
	return kst.read(ctx, key, httpc.Call{
		Method:       http.MethodGet,
		Target:       trg + "?" + qry.Encode(),
		ExtraTimeout: wait,
	})
}

// Put implements cardamompass.Store. Data larger than cardamompass.MaxValueBytes is an InvalidError and is not sent.
func (kst *Store) Put(
	ctx context.Context, key string, data []byte, revision int64,
) (val cardamompass.Value, err error) {
	defer func() { err = errors.Wrapf(err, "put %s", key) }()
	trg, err := keyTarget(key)
	if err != nil {
		return cardamompass.Value{}, err
	}
	if err = checkPut(data, revision); err != nil {
		return cardamompass.Value{}, err
	}
	hdr := http.Header{}
	hdr.Set("If-Match", strconv.FormatInt(revision, 10))
	rpl, err := kst.write(ctx, key, httpc.Call{
		Method: http.MethodPut,
		Target: trg,
		Header: hdr,
		Body: putBody{
			Value: data,
		},
	}, revision)
	if err != nil {
		return cardamompass.Value{}, err
	}
	var bdy valueBody
	err = json.Unmarshal(rpl.Data, &bdy)
	if err == nil && (bdy.Key != key || bdy.Revision <= revision) {
		err = errors.Errorf("response has key %q and revision %d", bdy.Key, bdy.Revision)
	}
	if err != nil {
		return cardamompass.Value{}, unknownWrite(key, err)
	}
	return cardamompass.Value{
		Key:      key,
		Data:     data,
		Revision: bdy.Revision,
	}, nil
}

func (kst *Store) read(ctx context.Context, key string, cal httpc.Call) (val cardamompass.Value, err error) {
	rpl, _, err := kst.cli.Do(ctx, cal)
	if err != nil {
		return cardamompass.Value{}, err
	}
	if _, err = classify(rpl, key, 0); err != nil {
		return cardamompass.Value{}, err
	}
	var bdy valueBody
	if err = json.Unmarshal(rpl.Data, &bdy); err != nil {
		return cardamompass.Value{}, err
	}
	if bdy.Key != key || bdy.Revision <= 0 || len(bdy.Value) > cardamompass.MaxValueBytes {
		return cardamompass.Value{}, errors.Errorf("response has key %q and revision %d with %d bytes",
			bdy.Key, bdy.Revision, len(bdy.Value))
	}
	return cardamompass.Value{
		Key:      key,
		Data:     bdy.Value,
		Revision: bdy.Revision,
	}, nil
}

// write makes a call that changes the store and returns the response if the change took effect.
func (kst *Store) write(ctx context.Context, key string, cal httpc.Call, want int64) (rpl httpc.Reply, err error) {
	rpl, snt, err := kst.cli.Do(ctx, cal)
	if err != nil {
		if snt {
			return httpc.Reply{}, unknownWrite(key, err)
		}
		return httpc.Reply{}, err
	}
	cer, err := classify(rpl, key, want)
	if err != nil && !cer {
		return httpc.Reply{}, unknownWrite(key, err)
	}
	return rpl, err
}

func unknownWrite(key string, err error) error {
	return &cardamompass.WriteUnknownError{
		Key: key,
		Err: err,
	}
}

func checkPut(data []byte, revision int64) (err error) {
	if len(data) > cardamompass.MaxValueBytes {
		return &cardamompass.InvalidError{
			Field:  "data",
			Reason: "is larger than the store accepts: " + strconv.Itoa(len(data)) + " bytes",
		}
	}
	if revision < 0 {
		return &cardamompass.InvalidError{
			Field:  "revision",
			Reason: "must not be negative",
		}
	}
	return nil
}

// keyTarget returns the path of a key. Slashes are escaped, so that a key is one path segment, and dots, so that no server
// resolves "..".
func keyTarget(key string) (trg string, err error) {
	if key == "" {
		return "", &cardamompass.InvalidError{
			Field:  "key",
			Reason: "must not be empty",
		}
	}
	return "/v1/kv/" + escape(key), nil
}

func escape(seg string) string {
	return strings.ReplaceAll(url.PathEscape(seg), ".", "%2E")
}

// milliseconds rounds up, so that a short wait does not become zero.
func milliseconds(dur time.Duration) int64 {
	return int64((dur + time.Millisecond - 1) / time.Millisecond)
}
