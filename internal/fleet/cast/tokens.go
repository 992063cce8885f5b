package cast

import (
	"bytes"
	"encoding/binary"
	"math"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"cardamompass"
	"cardamompass/internal/steer/quota"
)

const (
	// tokenBytesPerSecond bounds what a VM sends in asks and grants. Load reports get what these leave of maxBytesPerSecond.
	tokenBytesPerSecond = 4 << 10
	// tokenBytesAtOnce is the most that is sent at one time.
	tokenBytesAtOnce = tokenBytesPerSecond / 4
	// tokenFields is the number of fields of a tokenDatagram. It differs from that of a datagram, so that VMs of earlier versions reject
	// it and go on.
	tokenFields = 6
	// wireAskBytes and wireGrantBytes are the lengths of an ask and a grant, wireHeaderBytes is about that of the other fields.
	wireAskBytes    = 8
	wireGrantBytes  = 7
	wireHeaderBytes = 50
	// tokenUnits is the number of units of a token in a datagram. Numbers of tokens have 16 bits.
	tokenUnits = 256
	// lifeUnit is the unit of the life of a grant, urgentBit the bit of an urgent ask in the same byte.
	lifeUnit  = 100 * time.Millisecond
	urgentBit = 0x80
)

// tokenDatagram is the wire format of asks and grants: an array of its fields in this order.
type tokenDatagram struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // an option of the codec

	VM          string
	Incarnation uint64
	Round       uint64
	Number      uint64
	Asks        []byte
	Grants      []byte
}

// tokenMeter counts the bytes of asks and grants.
type tokenMeter struct {
	budget float64
	at     time.Time
	// sent is the number of bytes since the last load report, which was sent at reportedAt.
	sent       int
	reportedAt time.Time
}

func (mtr *tokenMeter) refill(now time.Time) {
	if ela := now.Sub(mtr.at); ela > 0 {
		mtr.budget = min(tokenBytesAtOnce, mtr.budget+tokenBytesPerSecond*ela.Seconds())
		mtr.at = now
	}
}

// SendAsks sends asks for tokens to a VM. It reports false if they were not sent.
func (exc *Exchanger) SendAsks(to cardamompass.VMID, asks quota.Asks) (ok bool) {
	dgr := exc.tokenDatagram()
	dgr.Round = asks.Round
	for _, ask := range asks.Asks {
		dgr.Asks = appendAsk(dgr.Asks, ask)
	}
	return exc.sendTokens(to, dgr)
}

// MaySendGrants reports whether grants of a number of teams can be sent to a VM now. Tokens are subtracted before they are sent, and lost
// if they are not.
func (exc *Exchanger) MaySendGrants(to cardamompass.VMID, teams int) (ok bool) {
	_, known := exc.peerAddress(to)
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.tokens.refill(exc.cfg.Clock.Now())
	return known && exc.tokens.budget >= float64(wireHeaderBytes+teams*wireGrantBytes)
}

// SendGrants sends grants to a VM. It reports false if they were not sent.
func (exc *Exchanger) SendGrants(to cardamompass.VMID, grs quota.Grants) (ok bool) {
	dgr := exc.tokenDatagram()
	dgr.Round = grs.Round
	dgr.Number = grs.Number
	for _, grt := range grs.Grants {
		dgr.Grants = appendGrant(dgr.Grants, grt)
	}
	return exc.sendTokens(to, dgr)
}

func (exc *Exchanger) tokenDatagram() (dgr tokenDatagram) {
	return tokenDatagram{
		VM:          string(exc.cfg.Self.ID),
		Incarnation: uint64(exc.cfg.Self.Incarnation),
	}
}

func (exc *Exchanger) sendTokens(to cardamompass.VMID, dgr tokenDatagram) (ok bool) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(dgr); err != nil {
		exc.cfg.Log.Error("datagram not encoded", zap.Error(err))
		return false
	}
	address, ok := exc.peerAddress(to)
	if !ok || !exc.spendTokenBytes(buf.Len()) {
		return false
	}
	adr, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		exc.cfg.Log.Warn("peer address not usable", zap.String("vm", string(to)), zap.Error(err))
		return false
	}
	_, err = exc.con.WriteToUDP(buf.Bytes(), adr)
	return err == nil
}

// spendTokenBytes takes bytes from the budget of asks and grants.
func (exc *Exchanger) spendTokenBytes(count int) (ok bool) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	exc.tokens.refill(exc.cfg.Clock.Now())
	if exc.tokens.budget < float64(count) {
		return false
	}
	exc.tokens.budget -= float64(count)
	exc.tokens.sent += count
	return true
}

// reportBytes returns the bytes per second that load reports may use now: what asks and grants have left since the last one.
func (exc *Exchanger) reportBytes(now time.Time) (perSecond float64) {
	exc.mu.Lock()
	defer exc.mu.Unlock()
	ela := max(Interval, now.Sub(exc.tokens.reportedAt))
	perSecond = maxBytesPerSecond - min(tokenBytesPerSecond, float64(exc.tokens.sent)/ela.Seconds())
	exc.tokens.sent = 0
	exc.tokens.reportedAt = now
	return perSecond
}

// peerAddress returns the address for datagrams to another VM.
func (exc *Exchanger) peerAddress(id cardamompass.VMID) (address string, ok bool) {
	exc.mu.Lock()
	sgt, ok := exc.lastSeen[id]
	exc.mu.Unlock()
	if ok && sgt.vmc.PeerAddress != "" {
		return sgt.vmc.PeerAddress, true
	}
	for _, vmc := range exc.cfg.ListedVMs() {
		if vmc.ID == id {
			return vmc.PeerAddress, vmc.PeerAddress != ""
		}
	}
	return "", false
}

// handleTokens passes on the asks and grants of a datagram.
func (exc *Exchanger) handleTokens(data []byte) (err error) {
	var dgr tokenDatagram
	if err = msgpack.Unmarshal(data, &dgr); err != nil {
		return err
	}
	if len(dgr.Asks)%wireAskBytes != 0 || len(dgr.Grants)%wireGrantBytes != 0 {
		return errors.New("asks or grants cut short")
	}
	if len(dgr.Asks) > 0 {
		asks := quota.Asks{
			Round: dgr.Round,
		}
		for rest := dgr.Asks; len(rest) > 0; rest = rest[wireAskBytes:] {
			asks.Asks = append(asks.Asks, readAsk(rest))
		}
		exc.cfg.OnAsks(cardamompass.VMID(dgr.VM), asks)
	}
	if len(dgr.Grants) > 0 {
		grs := quota.Grants{
			From:        cardamompass.VMID(dgr.VM),
			Incarnation: cardamompass.Incarnation(dgr.Incarnation),
			Number:      dgr.Number,
			Round:       dgr.Round,
		}
		for rest := dgr.Grants; len(rest) > 0; rest = rest[wireGrantBytes:] {
			grs.Grants = append(grs.Grants, readGrant(rest))
		}
		exc.cfg.OnGrants(grs)
	}
	return nil
}

func appendAsk(data []byte, ask quota.Ask) (out []byte) {
	data = binary.BigEndian.AppendUint32(data, uint32(ask.Team))
	data = binary.BigEndian.AppendUint16(data, units(ask.Want))
	life := byte(min(urgentBit-1, ask.Life/lifeUnit))
	if ask.Urgent {
		life |= urgentBit
	}
	return append(data, haveByte(ask.Have), life)
}

// haveByte returns the number of tokens that a VM has: units of parts of a token, or math.MaxUint8 for a whole one and more.
func haveByte(tokens float64) (count byte) {
	if tokens >= 1 {
		return math.MaxUint8
	}
	return byte(min(math.MaxUint8-1, units(tokens)))
}

func readHave(count byte) (tokens float64) {
	if count == math.MaxUint8 {
		return 1
	}
	return float64(count) / tokenUnits
}

func readAsk(data []byte) (ask quota.Ask) {
	return quota.Ask{
		Team:   quota.TeamID(binary.BigEndian.Uint32(data)),
		Want:   float64(binary.BigEndian.Uint16(data[4:])) / tokenUnits,
		Have:   readHave(data[6]),
		Urgent: data[7]&urgentBit != 0,
		Life:   time.Duration(data[7]&^urgentBit) * lifeUnit,
	}
}

// appendGrant appends a grant. Parts of units are lost, as tokens must not be added on the way.
func appendGrant(data []byte, grt quota.Grant) (out []byte) {
	data = binary.BigEndian.AppendUint32(data, uint32(grt.Team))
	data = binary.BigEndian.AppendUint16(data, units(grt.Tokens))
	return append(data, byte(min(math.MaxUint8, grt.Life/lifeUnit)))
}

func readGrant(data []byte) (grt quota.Grant) {
	return quota.Grant{
		Team:   quota.TeamID(binary.BigEndian.Uint32(data)),
		Tokens: float64(binary.BigEndian.Uint16(data[4:])) / tokenUnits,
		Life:   time.Duration(data[6]) * lifeUnit,
	}
}

// units returns a number of tokens in units, rounded down.
func units(tokens float64) (count uint16) {
	return uint16(min(math.MaxUint16, max(0, tokens*tokenUnits)))
}
