// Package config reads the settings of one entry VM process.
//
// Settings are JSON with comments and kebab-case names. They are read and checked once and do not change afterwards. All
// problems are reported together, each with file, line and column. The defaults are listed in examples/settings.jsonc.
package config

import (
	"os"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap/zapcore"

	"cardamompass"
	"cardamompass/internal/conf/jsonc"
)

// maxFileBytes bounds the size of a settings file. A larger file is not a settings file but was given by mistake.
const maxFileBytes = 1 << 20

// Settings are the settings of one process. They are immutable: callers must not modify Seeds. A Settings is safe for
// concurrent use. The json tags are the names in the file.
type Settings struct {
	// VMID names the VM; Region and FailureDomain are its location.
	VMID          cardamompass.VMID          `json:"vm-id"`
	Region        cardamompass.Region        `json:"region"`
	FailureDomain cardamompass.FailureDomain `json:"failure-domain"`
	// CallerAddress, PeerAddress and OperatorAddress are the IP addresses and ports on which the process listens.
	// OperatorAddress serves the state dump and the metrics.
	CallerAddress   string `json:"caller-address"`
	PeerAddress     string `json:"peer-address"`
	OperatorAddress string `json:"operator-address"`
	// AdvertiseCallerAddress and AdvertisePeerAddress are the addresses announced to callers and peers.
	AdvertiseCallerAddress string `json:"advertise-caller-address"`
	AdvertisePeerAddress   string `json:"advertise-peer-address"`
	// StoreAddress is the host:port of the platform's key-value service.
	StoreAddress string `json:"store-address"`
	// VMListAddress is the host:port of the platform's VM list; empty when there is none.
	VMListAddress string `json:"vm-list-address"`
	// PeerKey authenticates entry VMs to each other.
	PeerKey Secret `json:"peer-key"`
	// Seeds are peer addresses of other entry VMs, used to join the membership.
	Seeds []string `json:"seeds"`
	// LogLevel is the lowest level that is logged.
	LogLevel zapcore.Level `json:"log-level"`
	// LookupMaxAge is the time for which callers may cache a look-up response.
	LookupMaxAge time.Duration `json:"lookup-max-age"`

	Limits     Limits     `json:"limits"`
	Steering   Steering   `json:"steering"`
	Membership Membership `json:"membership"`
	Spread     Spread     `json:"spread"`
	Share      Share      `json:"share"`
	Operations Operations `json:"operations"`
	Guard      Guard      `json:"guard"`
}

// Limits bound what callers may send.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader int64 `json:"max-header"`
	MaxBody   int64 `json:"max-body"`
	// MaxConnections is the largest number of connections from callers.
	MaxConnections int `json:"max-connections"`
	// IdleTimeout closes connections without requests; ReadHeaderTimeout bounds the time to read a request header.
	IdleTimeout       time.Duration `json:"idle-timeout"`
	ReadHeaderTimeout time.Duration `json:"read-header-timeout"`
}

// Steering sets the budgets and bounds of steering.
type Steering struct {
	// HedgePercent and RetryPercent are the budgets for hedges and retries, in percent of the requests.
	HedgePercent int `json:"hedge-percent"`
	RetryPercent int `json:"retry-percent"`
	// QueueLength bounds the waiting requests of a service for which the catalogue sets no limit.
	QueueLength int `json:"queue-length"`
}

// Membership configures the failure detection between entry VMs.
type Membership struct {
	// ProbeInterval is the time between probes, ProbeTimeout the time allowed for a reply.
	ProbeInterval time.Duration `json:"probe-interval"`
	ProbeTimeout  time.Duration `json:"probe-timeout"`
	// SuspectTime is the time in which a suspected member can refute the suspicion.
	SuspectTime time.Duration `json:"suspect-time"`
}

// Spread configures the dissemination of the catalogue.
type Spread struct {
	// Watchers is the number of entry VMs that watch the store.
	Watchers int `json:"watchers"`
	// PushFanout is the number of peers to which a change is pushed.
	PushFanout int `json:"push-fanout"`
}

// Share configures how entry VMs divide caps among each other.
type Share struct {
	// Lease is the time after which a ledger entry expires unless renewed.
	Lease time.Duration `json:"lease"`
	// Loan is the time after which a loan expires unless renewed.
	Loan time.Duration `json:"loan"`
}

// Operations configures the handling of non-idempotent requests.
type Operations struct {
	// MaxRecords bounds the number of operation records of one VM.
	MaxRecords int `json:"max-records"`
}

// Guard configures the protection against content that crashes targets.
type Guard struct {
	// BlockTime is the time for which such content is refused.
	BlockTime time.Duration `json:"block-time"`
}

// Load reads the settings file at path. It returns problems in the file as a *jsonc.ProblemsError.
func Load(path string) (set Settings, err error) {
	defer func() {
		err = errors.WithMessage(err, "settings")
	}()
	inf, err := os.Stat(path)
	if err != nil {
		return Settings{}, err
	}
	if inf.Size() > maxFileBytes {
		return Settings{}, errors.Errorf("%s has %d bytes, at most %d are allowed", path, inf.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, err
	}
	return parse(path, data)
}

// Parse reads settings from data. It returns problems as a *jsonc.ProblemsError in which name is the file name.
func Parse(name string, data []byte) (set Settings, err error) {
	defer func() {
		err = errors.WithMessage(err, "settings")
	}()
	return parse(name, data)
}

func parse(name string, data []byte) (set Settings, err error) {
	nod, rep, err := jsonc.Parse(name, data, jsonc.WithComments)
	if err != nil {
		return Settings{}, err
	}
	set = read(nod)
	if err = rep.Err(); err != nil {
		return Settings{}, err
	}
	return set, nil
}
