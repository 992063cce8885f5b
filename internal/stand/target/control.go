package target

import (
	"net/http"

	"github.com/gorilla/mux"

	"cardamompass/internal/stand/ctrl"
)

func (tgt *Target) routes() http.Handler {
	rtr := ctrl.NewRouter()
	rtr.HandleFunc("/healthz", tgt.healthz).Methods(http.MethodGet)
	rtr.HandleFunc("/load", tgt.load).Methods(http.MethodGet)
	rtr.PathPrefix("/control/").Handler(tgt.ctl)
	rtr.PathPrefix("/").HandlerFunc(tgt.handle)
	return http.HandlerFunc(func(rsw http.ResponseWriter, req *http.Request) {
		if !tgt.addHandler() {
			ctrl.Abort()
		}
		defer tgt.wgr.Done()
		rtr.ServeHTTP(rsw, req)
	})
}

func (tgt *Target) healthz(rsw http.ResponseWriter, _ *http.Request) {
	tgt.mut.Lock()
	now := tgt.clk.Now()
	sta := tgt.hea.At(now, milliseconds(tgt.bhv.HealthLagMS))
	if sta == "serving" && tgt.cold() {
		sta = "cold"
	}
	if tgt.bhv.HealthState != "" {
		sta = tgt.bhv.HealthState
	}
	tgt.mut.Unlock()
	ctrl.WriteJSON(rsw, http.StatusOK, map[string]string{
		"state": sta,
	})
}

func (tgt *Target) load(rsw http.ResponseWriter, _ *http.Request) {
	tgt.mut.Lock()
	num := tgt.rec.running
	if tgt.bhv.LoadLagMS > 0 {
		num = tgt.loa.At(tgt.clk.Now(), milliseconds(tgt.bhv.LoadLagMS))
	}
	if tgt.bhv.LoadInFlight != nil {
		num = *tgt.bhv.LoadInFlight
	}
	tgt.mut.Unlock()
	ctrl.WriteJSON(rsw, http.StatusOK, map[string]int{
		"in-flight": num,
		"slots":     tgt.cfg.Slots,
	})
}

func (tgt *Target) controlRoutes() http.Handler {
	rtr := ctrl.NewRouter()
	get(rtr, "/control/runs", func() any { return tgt.Runs() })
	get(rtr, "/control/behaviour", func() any { return tgt.Behaviour() })
	rtr.HandleFunc("/control/runs", func(rsw http.ResponseWriter, _ *http.Request) {
		tgt.ResetRuns()
		ctrl.WriteJSON(rsw, http.StatusOK, tgt.Runs())
	}).Methods(http.MethodDelete)
	// Fields that are not in the request body keep their values.
	rtr.HandleFunc("/control/behaviour", func(rsw http.ResponseWriter, req *http.Request) {
		bhv := tgt.Behaviour()
		if ctrl.ReadJSON(rsw, req, &bhv) {
			tgt.SetBehaviour(bhv)
			ctrl.WriteJSON(rsw, http.StatusOK, bhv)
		}
	}).Methods(http.MethodPut)
	rtr.HandleFunc("/control/drain", func(rsw http.ResponseWriter, req *http.Request) {
		var bdy struct {
			Draining bool `json:"draining"`
		}
		if ctrl.ReadJSON(rsw, req, &bdy) {
			tgt.SetDraining(bdy.Draining)
			ctrl.WriteJSON(rsw, http.StatusOK, bdy)
		}
	}).Methods(http.MethodPut)
	rtr.HandleFunc("/control/answer-faults", func(rsw http.ResponseWriter, req *http.Request) {
		var bdy struct {
			Fault Fault `json:"fault"`
			Times int   `json:"times"`
		}
		if ctrl.ReadJSON(rsw, req, &bdy) {
			tgt.InjectFaults(bdy.Fault, bdy.Times)
			ctrl.WriteJSON(rsw, http.StatusOK, bdy)
		}
	}).Methods(http.MethodPost)
	rtr.HandleFunc("/control/crash", func(rsw http.ResponseWriter, _ *http.Request) {
		tgt.Crash()
		ctrl.WriteJSON(rsw, http.StatusOK, struct{}{})
	}).Methods(http.MethodPost)
	rtr.HandleFunc("/control/restart", func(rsw http.ResponseWriter, _ *http.Request) {
		if err := tgt.Restart(); err != nil {
			ctrl.WriteJSON(rsw, http.StatusConflict, ctrl.ErrorBody{
				Error:  "not-restarted",
				Reason: err.Error(),
			})
			return
		}
		ctrl.WriteJSON(rsw, http.StatusOK, struct{}{})
	}).Methods(http.MethodPost)
	return rtr
}

func get(rtr *mux.Router, pth string, fnc func() any) {
	rtr.HandleFunc(pth, func(rsw http.ResponseWriter, _ *http.Request) {
		ctrl.WriteJSON(rsw, http.StatusOK, fnc())
	}).Methods(http.MethodGet)
}
