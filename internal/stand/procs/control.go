package procs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cardamompass/internal/stand/kvsrv"
	"cardamompass/internal/stand/target"
)

// controlTimeout bounds a call to a control address or an operator address.
const controlTimeout = 10 * time.Second

// Control calls the HTTP interface of a stand-in or an entry VM with JSON. A nil body is not sent, a nil reply is not read.
func Control(address, method, path string, body, reply any) (err error) {
	return call(controlTimeout, address, method, path, body, reply)
}

func call(timeout time.Duration, address, method, path string, body, reply any) (err error) {
	defer func() { err = errors.Wrapf(err, "%s %s%s", method, address, path) }()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Close = true
	rsp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = rsp.Body.Close() }()
	if data, err = io.ReadAll(rsp.Body); err != nil {
		return err
	}
	if rsp.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", rsp.StatusCode, data)
	}
	if reply == nil {
		return nil
	}
	return json.Unmarshal(data, reply)
}

// SetFaults replaces the store's faults.
func (str *Store) SetFaults(flt kvsrv.Faults) (err error) {
	return Control(str.Address, http.MethodPut, "/control/faults", flt, nil)
}

// Snapshot returns a copy of the store's state.
func (str *Store) Snapshot() (snp kvsrv.Snapshot, err error) {
	err = Control(str.Address, http.MethodGet, "/control/snapshot", nil, &snp)
	return snp, err
}

// Restore replaces the store's state.
func (str *Store) Restore(snp kvsrv.Snapshot) (err error) {
	return Control(str.Address, http.MethodPut, "/control/snapshot", snp, nil)
}

// Runs returns the target's record of runs.
func (tgt *Target) Runs() (run target.Runs, err error) {
	err = Control(tgt.ControlAddress, http.MethodGet, "/control/runs", nil, &run)
	return run, err
}

// SetBehaviour changes the fields of the target's behaviour that are given, by their JSON names.
func (tgt *Target) SetBehaviour(fields map[string]any) (err error) {
	return Control(tgt.ControlAddress, http.MethodPut, "/control/behaviour", fields, nil)
}

// SetDraining starts or ends a drain of the target.
func (tgt *Target) SetDraining(draining bool) (err error) {
	return Control(tgt.ControlAddress, http.MethodPut, "/control/drain", map[string]bool{
		"draining": draining,
	}, nil)
}

// InjectFaults applies a fault to the given number of the target's coming responses.
func (tgt *Target) InjectFaults(flt target.Fault, times int) (err error) {
	return Control(tgt.ControlAddress, http.MethodPost, "/control/answer-faults", map[string]any{
		"fault": flt,
		"times": times,
	}, nil)
}

// Crash makes the target close its listener and all connections. The process and its record of runs stay.
func (tgt *Target) Crash() (err error) {
	return Control(tgt.ControlAddress, http.MethodPost, "/control/crash", nil, nil)
}

// Restart starts the target again after a crash.
func (tgt *Target) Restart() (err error) {
	return Control(tgt.ControlAddress, http.MethodPost, "/control/restart", nil, nil)
}

// RunsByOperation returns how often each operation ran in all targets together.
func (sit *Site) RunsByOperation() (runs map[string]int, err error) {
	runs = make(map[string]int)
	for _, tgt := range sit.Targets {
		run, err := tgt.Runs()
		if err != nil {
			return nil, err
		}
		for operation, num := range run.ByOperation {
			runs[operation] += num
		}
	}
	return runs, nil
}
