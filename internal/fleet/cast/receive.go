package cast

import (
	"bytes"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"cardamompass"
)

// receiveLoop receives datagrams until the connection is closed.
func (exc *Exchanger) receiveLoop() {
	buf := make([]byte, maxDatagram)
	for {
		num, _, err := exc.con.ReadFromUDP(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			err = exc.receive(buf[:num])
		}
		if err != nil {
			exc.cfg.Log.Warn("datagram not decoded", zap.Error(err))
		}
	}
}

// receive handles a datagram. Its kind is the length of its array.
func (exc *Exchanger) receive(data []byte) (err error) {
	if fields, err := msgpack.NewDecoder(bytes.NewReader(data)).DecodeArrayLen(); err == nil && fields == tokenFields {
		return exc.handleTokens(data)
	}
	var dgr datagram
	if err = msgpack.Unmarshal(data, &dgr); err != nil {
		return err
	}
	exc.handle(dgr)
	return nil
}

func (exc *Exchanger) handle(dgr datagram) {
	vmc := cardamompass.VM{
		ID:            cardamompass.VMID(dgr.VM),
		Incarnation:   cardamompass.Incarnation(dgr.Incarnation),
		Region:        cardamompass.Region(dgr.Region),
		FailureDomain: cardamompass.FailureDomain(dgr.FailureDomain),
		CallerAddress: dgr.CallerAddress,
		PeerAddress:   dgr.PeerAddress,
		Capacity:      float64(dgr.Capacity),
	}
	exc.mu.Lock()
	_, known := exc.lastSeen[vmc.ID]
	if dgr.Stopping {
		delete(exc.lastSeen, vmc.ID)
	} else {
		exc.lastSeen[vmc.ID] = sighting{
			vmc: vmc,
			at:  exc.cfg.Clock.Now(),
		}
	}
	exc.mu.Unlock()
	if known == dgr.Stopping {
		exc.cfg.Log.Info("vm heard", zap.String("vm", dgr.VM), zap.Bool("stopping", dgr.Stopping))
	}
	exc.deliver(dgr.Reports)
}

// deliver passes on the reports of a datagram.
func (exc *Exchanger) deliver(wire []wireReport) {
	reports := make([]Report, 0, len(wire))
	var departures []Departure
	for _, val := range wire {
		switch {
		case val.Slots == 0 && val.Instance != "":
			departures = append(departures, Departure{
				Instance:    cardamompass.InstanceID(val.Instance),
				StartMillis: val.AgeMS,
			})
		case val.Slots > 0 && val.Slowness > 0:
			reports = append(reports, Report{
				Instance: cardamompass.InstanceID(val.Instance),
				Load: cardamompass.Load{
					Running:  val.Running,
					Waiting:  val.Waiting,
					Slots:    val.Slots,
					Slowness: float64(val.Slowness) / 100,
				},
				Age: time.Duration(val.AgeMS) * time.Millisecond,
			})
		}
	}
	exc.cfg.OnReports(reports)
	if len(departures) > 0 {
		exc.cfg.OnDepartures(departures)
	}
}
