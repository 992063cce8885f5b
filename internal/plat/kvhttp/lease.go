package kvhttp

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/plat/httpc"
)

// grantKey is used as the key in errors of Grant, because the lease has no id yet.
const grantKey = "leases/new"

type grantBody struct {
	TTL int64 `json:"ttl-ms"`
}

type leaseBody struct {
	ID        cardamompass.LeaseID `json:"id"`
	TTL       int64                `json:"ttl-ms"`
	Remaining int64                `json:"remaining-ms"`
}

// Grant implements cardamompass.Store. The TTL is rounded up to whole milliseconds.
func (kst *Store) Grant(ctx context.Context, ttl time.Duration) (lse cardamompass.Lease, err error) {
	defer func() { err = errors.Wrap(err, "grant lease") }()
	if ttl <= 0 {
		return cardamompass.Lease{}, &cardamompass.InvalidError{
			Field:  "ttl",
			Reason: "must be positive",
		}
	}
	return kst.writeLease(ctx, grantKey, "", httpc.Call{
		Method: http.MethodPost,
		Target: "/v1/leases",
		Body: grantBody{
			TTL: milliseconds(ttl),
		},
	})
}

// Renew implements cardamompass.Store.
func (kst *Store) Renew(ctx context.Context, id cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	defer func() { err = errors.Wrapf(err, "renew lease %s", id) }()
	trg, err := leaseTarget(id)
	if err != nil {
		return cardamompass.Lease{}, err
	}
	return kst.writeLease(ctx, leaseKey(id), id, httpc.Call{
		Method: http.MethodPut,
		Target: trg,
	})
}

// Inspect implements cardamompass.Store.
func (kst *Store) Inspect(ctx context.Context, id cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	defer func() { err = errors.Wrapf(err, "inspect lease %s", id) }()
	trg, err := leaseTarget(id)
	if err != nil {
		return cardamompass.Lease{}, err
	}
	rpl, _, err := kst.cli.Do(ctx, httpc.Call{
		Method: http.MethodGet,
		Target: trg,
	})
	if err != nil {
		return cardamompass.Lease{}, err
	}
	if _, err = classify(rpl, leaseKey(id), 0); err != nil {
		return cardamompass.Lease{}, err
	}
	return decodeLease(rpl, id)
}

// Revoke implements cardamompass.Store. It returns a NotFoundError for an expired lease.
func (kst *Store) Revoke(ctx context.Context, id cardamompass.LeaseID) (err error) {
	defer func() { err = errors.Wrapf(err, "revoke lease %s", id) }()
	trg, err := leaseTarget(id)
	if err != nil {
		return err
	}
	_, err = kst.write(ctx, leaseKey(id), httpc.Call{
		Method: http.MethodDelete,
		Target: trg,
	}, 0)
	return err
}

func (kst *Store) writeLease(
	ctx context.Context, key string, id cardamompass.LeaseID, cal httpc.Call,
) (lse cardamompass.Lease, err error) {
	rpl, err := kst.write(ctx, key, cal, 0)
	if err != nil {
		return cardamompass.Lease{}, err
	}
	lse, err = decodeLease(rpl, id)
	if err != nil {
		return cardamompass.Lease{}, unknownWrite(key, err)
	}
	return lse, nil
}

// decodeLease decodes the state of the lease with the given id, or of any lease if id is empty.
func decodeLease(rpl httpc.Reply, id cardamompass.LeaseID) (lse cardamompass.Lease, err error) {
	var bdy leaseBody
	if err = json.Unmarshal(rpl.Data, &bdy); err != nil {
		return cardamompass.Lease{}, err
	}
	if bdy.ID == "" || (id != "" && bdy.ID != id) || bdy.TTL <= 0 || bdy.Remaining < 0 {
		return cardamompass.Lease{}, errors.Errorf("response has lease %q with a TTL of %d ms", bdy.ID, bdy.TTL)
	}
	return cardamompass.Lease{
		ID:        bdy.ID,
		TTL:       time.Duration(bdy.TTL) * time.Millisecond,
		Remaining: time.Duration(bdy.Remaining) * time.Millisecond,
	}, nil
}

func leaseTarget(id cardamompass.LeaseID) (trg string, err error) {
	if id == "" {
		return "", &cardamompass.InvalidError{
			Field:  "lease",
			Reason: "must not be empty",
		}
	}
	return "/v1/leases/" + escape(string(id)), nil
}

func leaseKey(id cardamompass.LeaseID) string { return "leases/" + string(id) }
