package proof_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cardamompass"
	"cardamompass/internal/conf/catlg"
	"cardamompass/internal/edge/entry"
	"cardamompass/internal/edge/lookup"
	"cardamompass/internal/fleet/spread"
	"cardamompass/internal/load/caller"
	"cardamompass/internal/stand/demo"
	"cardamompass/internal/stand/procs"
)

const (
	// editBound is the time in which an accepted edit is in force at every entry VM of today's fleet.
	editBound = time.Second
	// firstLimit is the longest body before the first edit, that of the site; each edit raises it by one byte.
	firstLimit = 64 << 10
	// giveUp bounds the wait for an edit that missed the bound, so that the test can say how late it was.
	giveUp = 20 * time.Second
	// repairBound is longer than a whole watch of the store (30 s), the turns of three watchers and two pauses between
	// writes. The guarantee names no time for the repair.
	repairBound = 90 * time.Second
)

// edits makes edits that requests see: edit number num lets the short service take bodies of firstLimit+num bytes.
type edits struct {
	sit *procs.Site
	num int
}

// put makes the next edit and returns when it was accepted.
func (eds *edits) put() (acc catlg.Accepted, at time.Time, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), giveUp)
	defer cancel()
	doc, _, err := eds.sit.Editor.Get(ctx)
	if err != nil {
		return acc, at, err
	}
	cat := catlg.NewCatalogue(doc)
	svc, ok := cat.Service(demo.Short)
	if !ok {
		return acc, at, errors.New("the catalogue lacks the service")
	}
	eds.num++
	svc.MaxBodyBytes = int64(firstLimit + eds.num)
	ent, err := catlg.NewEntry(catlg.ServiceEntry(demo.Short), "kiosk-team", svc)
	if err != nil {
		return acc, at, err
	}
	acc, err = eds.sit.Editor.Put(ctx, catlg.Edit{
		Base:   doc,
		Edited: doc.WithEntry(ent),
	})
	return acc, time.Now(), err
}

// sees reports whether a request through the entry VM sees edit number num.
func sees(vmp *procs.VM, num int) (seen bool, err error) {
	clr, stop := caller.New(caller.Config{
		Region: vmp.Place.Region,
	})
	defer stop()
	req := shortRequest(fmt.Sprintf("edit-%s-%d", vmp.Place.ID, num))
	req.Method = http.MethodPost
	req.Body = bytes.Repeat([]byte("x"), firstLimit+num)
	rsp, err := clr.SendTo(context.Background(), lookup.VMRecord{
		ID:      vmp.Place.ID,
		Address: vmp.CallerAddress,
	}, req, "", 1)
	if err == nil && rsp.Outcome == cardamompass.OutcomeInvalid {
		return false, nil
	}
	return err == nil, whole(req, rsp, err)
}

// lateness sends requests until one sees the edit, and returns how long after acceptance the last was sent that did not.
func lateness(vmp *procs.VM, num int, accepted time.Time) (late time.Duration, err error) {
	for {
		sent := time.Since(accepted)
		seen, err := sees(vmp, num)
		switch {
		case err != nil:
			return late, errors.Wrapf(err, "edit %d through %s", num, vmp.Place.ID)
		case seen:
			return late, nil
		case sent > giveUp:
			return sent, errors.Errorf("edit %d is not seen through %s after %v", num, vmp.Place.ID, sent)
		}
		late = sent
		time.Sleep(2 * time.Millisecond) // spaces the requests, decides nothing
	}
}

// seenByAll checks that requests through each entry VM see the edit within the bound, and returns the longest time.
func (eds *edits) seenByAll(accepted time.Time) (worst time.Duration, err error) {
	var (
		fls failures
		wgr sync.WaitGroup
		mut sync.Mutex
	)
	for _, vmp := range eds.sit.VMs {
		if !vmp.Running() {
			continue
		}
		wgr.Go(func() {
			late, err := lateness(vmp, eds.num, accepted)
			if err == nil && late >= editBound {
				err = errors.Errorf("a request through %s did not see edit %d %v after it was accepted, bound %v",
					vmp.Place.ID, eds.num, late, editBound)
			}
			fls.add(err)
			mut.Lock()
			defer mut.Unlock()
			worst = max(worst, late)
		})
	}
	wgr.Wait()
	if len(fls.list) > 0 {
		return worst, errors.Errorf("%q", fls.list)
	}
	return worst, nil
}

// TestEditNotMade guards against checks of edits that can't fail: a request through an entry VM must not see an edit that nobody
// has made.
func TestEditNotMade(tst *testing.T) {
	newSeed(tst)
	sit := procs.ForTest(tst, undivided(site(tst, sevenPlaces)))
	for _, vmp := range sit.VMs {
		if seen, err := sees(vmp, 1); err != nil || seen {
			tst.Errorf("%s: edit 1 is seen: %v, error %v", vmp.Place.ID, seen, err)
		}
	}
}

// TestEditSeen guards against an accepted edit that some entry VM puts in force late or never.
func TestEditSeen(tst *testing.T) {
	const rounds = 20
	rnd := stream(newSeed(tst), 0)
	sit := procs.ForTest(tst, undivided(site(tst, sevenPlaces)))
	eds := &edits{
		sit: sit,
	}
	var worst time.Duration
	for range rounds {
		_, accepted, err := eds.put()
		must(tst, err)
		late, err := eds.seenByAll(accepted)
		if err != nil {
			tst.Error(err)
		}
		worst = max(worst, late)
		pause(context.Background(), time.Duration(rnd.IntN(600))*time.Millisecond)
	}
	tst.Logf("%d edits, the latest seen everywhere after %v", rounds, worst)
}

// watchers makes an edit, waits until it is seen everywhere, and returns the entry VMs that watch the store. The bytes that a VM
// reads don't tell: it reads the ledgers of the caps as well.
func (eds *edits) watchers() (list []*procs.VM, err error) {
	_, accepted, err := eds.put()
	if err != nil {
		return nil, err
	}
	if _, err = eds.seenByAll(accepted); err != nil {
		return nil, err
	}
	var names []string
	for _, vmp := range eds.sit.VMs {
		if vmp.Running() {
			names = append(names, string(vmp.Place.ID))
		}
	}
	first := spread.TopRanked(entry.CatalogueKey, names, spread.DefaultWatchers)
	for _, vmp := range eds.sit.VMs {
		if slices.Contains(first, string(vmp.Place.ID)) {
			list = append(list, vmp)
		}
	}
	return list, nil
}

// onlyThrough makes an edit that one entry VM alone can read from the store, and stops the store as soon as it has.
func (eds *edits) onlyThrough(wch *procs.VM) (accepted time.Time, err error) {
	for _, vmp := range eds.sit.VMs {
		if vmp != wch {
			vmp.StoreProxy.Cut()
		}
	}
	acc, accepted, err := eds.put()
	if err != nil {
		return accepted, err
	}
	err = procs.Await(giveUp, func() string {
		sta, err := wch.State()
		if err != nil || sta.Catalogue.Version < acc.Version {
			return "the watcher has not read the edit"
		}
		return ""
	})
	wch.StoreProxy.Cut()
	return accepted, err
}

func (eds *edits) healStore() (err error) {
	for _, vmp := range eds.sit.VMs {
		if err = vmp.StoreProxy.Heal(); err != nil {
			return err
		}
	}
	return nil
}

// TestEditStoreDown guards against an edit that is late or lost when the store goes down right after one watcher read
// it, and against a process that finds no catalogue when it starts while the store is down.
func TestEditStoreDown(tst *testing.T) {
	const rounds = 4
	rnd := stream(newSeed(tst), 0)
	cfg := site(tst, append([]procs.Place{place("delta", "b", 9)}, sevenPlaces...))
	cfg.NotStarted = []cardamompass.VMID{"delta-b-9"}
	cfg.StoreProxies, cfg.SkipAwaitShares = true, true
	sit := procs.ForTest(tst, cfg)
	eds := &edits{
		sit: sit,
	}
	for num := range rounds {
		must(tst, procs.Await(giveUp, func() string {
			if _, err := eds.watchers(); err != nil {
				return err.Error()
			}
			return ""
		}))
		list, err := eds.watchers()
		must(tst, err)
		wch := list[rnd.IntN(len(list))]
		accepted, err := eds.onlyThrough(wch)
		must(tst, err)
		late, err := eds.seenByAll(accepted)
		must(tst, err)
		tst.Logf("edit %d read by %s alone, seen everywhere after %v", eds.num, wch.Place.ID, late)
		if num < rounds-1 {
			must(tst, eds.healStore())
		}
	}
	lat := sit.VM("delta-b-9")
	must(tst, lat.Start())
	must(tst, procs.Await(giveUp, func() string {
		switch seen, err := sees(lat, eds.num); {
		case err != nil:
			return err.Error()
		case !seen:
			return "the process that started while the store is down has an older catalogue"
		}
		return ""
	}))
}

// TestStoreRestored guards against an edit that is taken back when the store returns to an older state, and against a
// store that keeps that state.
func TestStoreRestored(tst *testing.T) {
	rnd := stream(newSeed(tst), 0)
	sit := procs.ForTest(tst, undivided(site(tst, sevenPlaces)))
	eds := &edits{
		sit: sit,
	}
	old, err := sit.Store.Snapshot()
	must(tst, err)
	for range 1 + rnd.IntN(3) {
		_, accepted, err := eds.put()
		must(tst, err)
		_, err = eds.seenByAll(accepted)
		must(tst, err)
	}
	must(tst, sit.Store.Restore(old))
	restored := time.Now()
	must(tst, eds.repaired(tst))
	tst.Logf("the store was repaired %v after it was restored", time.Since(restored).Round(time.Second))
	_, accepted, err := eds.put()
	must(tst, err)
	_, err = eds.seenByAll(accepted)
	must(tst, err)
}

// TestEditAfterRestore guards against an edit that is accepted by a restored store and never put in force, because the
// entry VMs know a higher version of the entry from before the restoration.
func TestEditAfterRestore(tst *testing.T) {
	newSeed(tst)
	sit := procs.ForTest(tst, undivided(site(tst, sevenPlaces)))
	eds := &edits{
		sit: sit,
	}
	old, err := sit.Store.Snapshot()
	must(tst, err)
	for range 3 {
		_, accepted, err := eds.put()
		must(tst, err)
		_, err = eds.seenByAll(accepted)
		must(tst, err)
	}
	must(tst, sit.Store.Restore(old))
	_, accepted, err := eds.put()
	if err != nil {
		tst.Logf("refused: %v", err)
		return
	}
	if _, err = eds.seenByAll(accepted); err != nil {
		tst.Error(err)
	}
}

// repaired waits until the store has the last edit again, and for some rounds of pulls after that. All the while,
// requests through every entry VM have to see the edit.
func (eds *edits) repaired(tst *testing.T) (err error) {
	const afterRepair = 3 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	var (
		fls failures
		wgr sync.WaitGroup
	)
	for _, vmp := range eds.sit.VMs {
		wgr.Go(func() {
			for ctx.Err() == nil {
				seen, err := sees(vmp, eds.num)
				fls.add(err)
				if err == nil && !seen {
					fls.add(errors.Errorf("%s took edit %d back", vmp.Place.ID, eds.num))
				}
				pause(ctx, 10*time.Millisecond)
			}
		})
	}
	err = procs.Await(repairBound, func() string {
		doc, _, err := eds.sit.Editor.Get(ctx)
		if err != nil {
			return err.Error()
		}
		cat := catlg.NewCatalogue(doc)
		if svc, _ := cat.Service(demo.Short); svc.MaxBodyBytes != int64(firstLimit+eds.num) {
			return fmt.Sprintf("the store has the limit %d", svc.MaxBodyBytes)
		}
		return ""
	})
	pause(ctx, afterRepair)
	cancel()
	wgr.Wait()
	fls.report(tst)
	return err
}
