package target

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamompass"
	"cardamompass/internal/stand/ctrl"
)

// job is a request to be run.
type job struct {
	req *http.Request
	inc *incarnation
	bhv Behaviour
	rid string
	key string
	run Run
	// svc is the service time.
	svc time.Duration
	// siz is the size of the response.
	siz int64
	flt Fault
	cra bool
	// exp receives when the deadline has passed; nil without a deadline.
	exp <-chan time.Time
}

// handle serves every path except /healthz, /load and /control/.
func (tgt *Target) handle(rsw http.ResponseWriter, req *http.Request) {
	dat, err := io.ReadAll(http.MaxBytesReader(rsw, req.Body, ctrl.MaxBodyBytes))
	if err != nil {
		ctrl.Abort()
	}
	jbb := tgt.newJob(req, dat)
	if tms, err := strconv.ParseInt(req.Header.Get(cardamompass.HeaderTimeout), 10, 64); err == nil {
		tmr := tgt.clk.NewTimer(milliseconds(tms))
		defer tmr.Stop()
		jbb.exp = tmr.C()
	}
	if rsn := tgt.acquire(jbb); rsn != "" {
		tgt.shed(rsw, jbb, rsn)
		return
	}
	fre := false
	free := func() {
		if !fre {
			fre = true
			tgt.release()
		}
	}
	defer free()
	if !tgt.execute(rsw, jbb) {
		return
	}
	tgt.respond(rsw, jbb, free)
}

func (tgt *Target) newJob(req *http.Request, dat []byte) *job {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	bhv := tgt.bhv
	mrk := bhv.CrashMarker
	if mrk == "" {
		mrk = DefaultCrashMarker
	}
	key := ContentKey(req.Method, req.URL.RequestURI(), dat)
	jbb := &job{
		req: req,
		inc: incarnationOf(req),
		bhv: bhv,
		rid: req.Header.Get(cardamompass.HeaderRequestID),
		key: key,
		run: Run{
			Content:   key,
			Operation: req.Header.Get(HeaderOperation),
			RequestID: req.Header.Get(cardamompass.HeaderRequestID),
		},
		siz: bhv.ResponseBytes,
		flt: Fault(req.Header.Get(HeaderFault)),
		cra: req.Header.Get(HeaderCrash) == "true" || strings.Contains(string(dat), mrk),
	}
	jbb.svc = tgt.serviceTime(bhv, req.Header.Get(HeaderServiceTime))
	if jbb.siz == 0 {
		jbb.siz = defaultResponseBytes
	}
	if siz, err := strconv.ParseInt(req.Header.Get(HeaderResponseBytes), 10, 64); err == nil && siz >= 0 {
		jbb.siz = siz
	}
	return jbb
}

// serviceTime returns the time that a request takes at present. The caller holds the mutex.
func (tgt *Target) serviceTime(bhv Behaviour, hdr string) time.Duration {
	mls := bhv.ServiceMS
	if num, err := strconv.ParseFloat(hdr, 64); err == nil && num >= 0 {
		mls = num
	}
	if bhv.SlowFactor > 0 {
		mls *= bhv.SlowFactor
	}
	if tgt.cold() && tgt.cfg.ColdFactor > 0 {
		mls *= tgt.cfg.ColdFactor
	}
	return time.Duration(mls * float64(time.Millisecond))
}

// cold reports whether the target started less than ColdFor ago. The caller holds the mutex.
func (tgt *Target) cold() bool { return tgt.clk.Now().Sub(tgt.sta) < tgt.cfg.ColdFor }

// acquire acquires a slot. If the request was shed instead, it returns the reason.
func (tgt *Target) acquire(jbb *job) (reason string) {
	tgt.addPresent(1)
	tgt.mut.Lock()
	drn, dch := tgt.drn, tgt.dch
	tgt.mut.Unlock()
	rsn := tgt.acquireSlot(jbb, drn, dch)
	if rsn != "" {
		tgt.addPresent(-1)
	}
	return rsn
}

func (tgt *Target) acquireSlot(jbb *job, drn bool, dch <-chan struct{}) (reason string) {
	if drn {
		return "draining"
	}
	select {
	case tgt.slt <- struct{}{}:
		return tgt.startRun(jbb)
	default:
	}
	if jbb.bhv.WhenFull == Shed {
		return "all slots are taken"
	}
	select {
	case tgt.slt <- struct{}{}:
		return tgt.startRun(jbb)
	case <-dch:
		return "draining"
	case <-jbb.exp:
		return "deadline passed in the queue"
	case <-jbb.req.Context().Done():
		return "cancelled in the queue"
	case <-jbb.inc.end:
		return "crashed"
	}
}

// startRun starts the run on the acquired slot, or releases the slot if the request must no longer run.
func (tgt *Target) startRun(jbb *job) (reason string) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	select {
	case <-tgt.dch:
		reason = "draining"
	case <-jbb.exp:
		reason = "deadline passed in the queue"
	case <-jbb.req.Context().Done():
		reason = "cancelled in the queue"
	case <-jbb.inc.end:
		reason = "crashed"
	default:
		jbb.run.At = tgt.clk.Now()
		tgt.rec.start(jbb.run)
		tgt.recordLoad()
		return ""
	}
	<-tgt.slt
	return reason
}

func (tgt *Target) release() {
	tgt.mut.Lock()
	tgt.rec.running--
	tgt.recordLoad()
	tgt.mut.Unlock()
	<-tgt.slt
	tgt.addPresent(-1)
}

func (tgt *Target) addPresent(num int) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	tgt.rec.addPresent(num)
}

// execute runs the job and reports whether a response is to be sent.
func (tgt *Target) execute(rsw http.ResponseWriter, jbb *job) (ok bool) {
	if jbb.cra {
		tgt.Crash()
		ctrl.Abort()
	}
	tmr := tgt.clk.NewTimer(jbb.svc)
	defer tmr.Stop()
	select {
	case <-tmr.C():
		tgt.count(&tgt.rec.finished)
		return true
	case <-jbb.exp:
		tgt.count(&tgt.rec.expired)
		tgt.setHeaders(rsw, jbb)
		ctrl.WriteJSON(rsw, http.StatusGatewayTimeout, ctrl.ErrorBody{
			Error:  "deadline",
			Reason: "the deadline passed while the request ran",
		})
		return false
	case <-jbb.req.Context().Done():
	case <-jbb.inc.end:
	}
	tgt.count(&tgt.rec.cancelled)
	ctrl.Abort()
	return false
}

func (tgt *Target) count(num *int) {
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	*num++
}

func (tgt *Target) shed(rsw http.ResponseWriter, jbb *job, rsn string) {
	tgt.count(&tgt.rec.shed)
	tgt.setHeaders(rsw, jbb)
	rsw.Header().Set(cardamompass.HeaderShed, "true")
	ctrl.WriteJSON(rsw, http.StatusServiceUnavailable, ctrl.ErrorBody{
		Error:  "shed",
		Reason: rsn,
	})
}

// setHeaders sets the headers that every response to a job has.
func (tgt *Target) setHeaders(rsw http.ResponseWriter, jbb *job) {
	if jbb.rid != "" {
		rsw.Header().Set(cardamompass.HeaderRequestID, jbb.rid)
	}
	tgt.mut.Lock()
	defer tgt.mut.Unlock()
	if tgt.drn {
		rsw.Header().Set(cardamompass.HeaderState, "draining")
	}
}
