// Package vmsrv simulates the platform's list of live and leaving VMs for tests and the demo.
//
// Edits become visible in the list after a configurable lag, which the response states as its age. Time comes from a
// Clock. The list is edited by methods or below /control/.
package vmsrv

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"cardamompass"
	"cardamompass/internal/stand/ctrl"
)

// maxLag bounds the lag and thereby the history of the list that is kept.
const maxLag = time.Hour

// Config describes a list.
type Config struct {
	// Clock gives the time of the lag. Nil means the system's clock.
	Clock cardamompass.Clock
	// Lag is the time after which an edit becomes visible, at most one hour.
	Lag time.Duration
	// VMs is the initial list; it is visible at once.
	VMs []cardamompass.ListedVM
}

// Server is the list. It is an http.Handler and safe for concurrent use.
type Server struct {
	clk cardamompass.Clock
	hnd http.Handler

	mut sync.Mutex
	vms []cardamompass.ListedVM
	his ctrl.History[[]cardamompass.ListedVM]
	lag time.Duration
	out bool
}

type vmBody struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

type listBody struct {
	VMs []vmBody `json:"vms"`
	Age int64    `json:"age-ms"`
}

type faultBody struct {
	Lag    int64 `json:"lag-ms"`
	Outage bool  `json:"outage"`
}

// New returns a list. The clean-up function does nothing; it exists for consistency with the other stand-ins.
func New(cfg Config) (srv *Server, cleanup func(), err error) {
	if cfg.Clock == nil {
		cfg.Clock = cardamompass.SystemClock{}
	}
	srv = &Server{
		clk: cfg.Clock,
		lag: min(cfg.Lag, maxLag),
	}
	srv.Set(cfg.VMs)
	srv.hnd = srv.routes()
	return srv, func() {}, nil
}

// ServeHTTP implements http.Handler.
func (srv *Server) ServeHTTP(rsw http.ResponseWriter, req *http.Request) { srv.hnd.ServeHTTP(rsw, req) }

// Set replaces the list.
func (srv *Server) Set(vms []cardamompass.ListedVM) {
	srv.edit(func([]cardamompass.ListedVM) []cardamompass.ListedVM { return slices.Clone(vms) })
}

// Put adds vm, or replaces the VM with the same name.
func (srv *Server) Put(vm cardamompass.ListedVM) {
	srv.edit(func(vms []cardamompass.ListedVM) []cardamompass.ListedVM {
		return append(without(vms, vm.Name), vm)
	})
}

// Remove removes the VM with this name.
func (srv *Server) Remove(nam string) {
	srv.edit(func(vms []cardamompass.ListedVM) []cardamompass.ListedVM { return without(vms, nam) })
}

// SetLag sets the time after which an edit becomes visible, at most one hour.
func (srv *Server) SetLag(lag time.Duration) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.lag = min(lag, maxLag)
}

// SetOutage makes the list close connections without a response.
func (srv *Server) SetOutage(out bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.out = out
}

func (srv *Server) edit(fnc func([]cardamompass.ListedVM) []cardamompass.ListedVM) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	srv.vms = fnc(srv.vms)
	slices.SortStableFunc(srv.vms, func(lft, rgt cardamompass.ListedVM) int {
		return strings.Compare(lft.Name, rgt.Name)
	})
	srv.his.Add(srv.clk.Now(), maxLag, srv.vms)
}

// without returns a copy, because the history keeps the list itself.
func without(vms []cardamompass.ListedVM, nam string) []cardamompass.ListedVM {
	return slices.DeleteFunc(slices.Clone(vms), func(vm cardamompass.ListedVM) bool { return vm.Name == nam })
}

func (srv *Server) list() (bdy listBody, out bool) {
	srv.mut.Lock()
	defer srv.mut.Unlock()
	bdy = listBody{
		VMs: []vmBody{},
		Age: srv.lag.Milliseconds(),
	}
	for _, vm := range srv.his.At(srv.clk.Now(), srv.lag) {
		bdy.VMs = append(bdy.VMs, vmBody(vm))
	}
	return bdy, srv.out
}

func (srv *Server) routes() http.Handler {
	rtr := ctrl.NewRouter()
	rtr.HandleFunc("/v1/vms", func(rsw http.ResponseWriter, _ *http.Request) {
		bdy, out := srv.list()
		if out {
			ctrl.Abort()
		}
		ctrl.WriteJSON(rsw, http.StatusOK, bdy)
	}).Methods(http.MethodGet)
	rtr.HandleFunc("/control/vms", func(rsw http.ResponseWriter, req *http.Request) {
		var bdy []vmBody
		if !ctrl.ReadJSON(rsw, req, &bdy) {
			return
		}
		vms := make([]cardamompass.ListedVM, 0, len(bdy))
		for _, itm := range bdy {
			vms = append(vms, cardamompass.ListedVM(itm))
		}
		srv.Set(vms)
		ctrl.WriteJSON(rsw, http.StatusOK, bdy)
	}).Methods(http.MethodPut)
	rtr.HandleFunc("/control/vms/{name}", func(rsw http.ResponseWriter, req *http.Request) {
		var bdy vmBody
		if ctrl.ReadJSON(rsw, req, &bdy) {
			bdy.Name = ctrl.Var(req, "name")
			srv.Put(cardamompass.ListedVM(bdy))
			ctrl.WriteJSON(rsw, http.StatusOK, bdy)
		}
	}).Methods(http.MethodPut)
	rtr.HandleFunc("/control/vms/{name}", func(rsw http.ResponseWriter, req *http.Request) {
		srv.Remove(ctrl.Var(req, "name"))
		ctrl.WriteJSON(rsw, http.StatusOK, struct{}{})
	}).Methods(http.MethodDelete)
	rtr.HandleFunc("/control/faults", func(rsw http.ResponseWriter, req *http.Request) {
		var bdy faultBody
		if ctrl.ReadJSON(rsw, req, &bdy) {
			srv.SetLag(time.Duration(bdy.Lag) * time.Millisecond)
			srv.SetOutage(bdy.Outage)
			ctrl.WriteJSON(rsw, http.StatusOK, bdy)
		}
	}).Methods(http.MethodPut)
	return rtr
}
