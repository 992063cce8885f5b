// Package vmlist is the client of the platform's list of live and leaving VMs.
//
// The list is delayed, and each response contains its age. Readers must treat it only as a hint.
package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/plat/httpc"
)

// maxResponseBytes is enough for some 20,000 VMs, ten times the target size with its targets.
const maxResponseBytes = 4 << 20

// Config describes the VM list service.
type Config struct {
	// Address is the IP address and port of the service.
	Address string
	// Timeout bounds every call. Zero means 2 s.
	Timeout time.Duration
}

// Lister implements cardamompass.VMLister. It is safe for concurrent use.
type Lister struct {
	cli *httpc.Client
}

var _ cardamompass.VMLister = (*Lister)(nil)

// New returns a client of the VM list. The cleanup function closes its idle connections and must be called after all calls have
// ended.
func New(cfg Config) (lst *Lister, cleanup func(), err error) {
	defer func() { err = errors.Wrap(err, "VM list client") }()
	cli, cleanup, err := httpc.New(httpc.Config{
		Address:          cfg.Address,
		Timeout:          cfg.Timeout,
		MaxResponseBytes: maxResponseBytes,
	})
	if err != nil {
		return nil, nil, err
	}
	return &Lister{
		cli: cli,
	}, cleanup, nil
}

type listBody struct {
	VMs []vmBody `json:"vms"`
	Age int64    `json:"age-ms"`
}

type vmBody struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// List implements cardamompass.VMLister. A response without a list is an error, not an empty list.
func (lst *Lister) List(ctx context.Context) (vms []cardamompass.ListedVM, age time.Duration, err error) {
	defer func() { err = errors.Wrap(err, "list VMs") }()
	rpl, _, err := lst.cli.Do(ctx, httpc.Call{
		Method: http.MethodGet,
		Target: "/v1/vms",
	})
	if err != nil {
		return nil, 0, err
	}
	if rpl.Status != http.StatusOK {
		return nil, 0, errors.Errorf("service returned status %d", rpl.Status)
	}
	var bdy listBody
	if err = json.Unmarshal(rpl.Data, &bdy); err != nil {
		return nil, 0, err
	}
	if bdy.VMs == nil || bdy.Age < 0 {
		return nil, 0, errors.Errorf("response has no list or an age of %d ms", bdy.Age)
	}
	vms = make([]cardamompass.ListedVM, 0, len(bdy.VMs))
	for _, itm := range bdy.VMs {
		vms = append(vms, cardamompass.ListedVM(itm))
	}
	return vms, time.Duration(bdy.Age) * time.Millisecond, nil
}
