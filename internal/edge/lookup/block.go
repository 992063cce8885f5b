package lookup

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/pkg/errors"

	"cardamompass"
)

const (
	shards = 256
	// maxRegions bounds the distinct regions or sites of a table, since a range stores the index in two bytes.
	maxRegions = 1 << 16
	// noRegion is the region index of addresses that no block covers.
	noRegion = 0
)

// Block assigns one prefix of client addresses to a region.
type Block struct {
	Prefix netip.Prefix
	Region cardamompass.Region
}

// Table maps client addresses to regions. It is immutable, so that reads need no lock; an update returns a new table that
// shares the unchanged shards. A shard holds the addresses with one first byte as sorted, disjoint ranges of 6 bytes
// each: 2.8 million scattered blocks need 20 MB, where the trie of the library bart needs 71 MB.
type Table struct {
	regions []cardamompass.Region
	ipv4    [shards]*shard
	ipv6    *shard
}

// shard is a sorted list of ranges. A range goes from its start to the start of the next one.
type shard struct {
	starts4 []uint32 // IPv4 only: the low 24 bits of the address
	starts6 []uint64 // IPv6 only: the high 64 bits of the address
	regions []uint16
	// offsets[b] is the number of IPv4 ranges whose start has a second byte less than b. It narrows the binary search.
	offsets [shards + 1]uint32
}

// NewTable returns a table of the given blocks. The longest matching prefix wins, and the later of two equal prefixes.
// An IPv6 prefix longer than 64 bits is an InvalidError.
func NewTable(blocks []Block) (tbl *Table, err error) {
	defer func() { err = errors.Wrap(err, "build client-block table") }()
	bld := newBuilder([]cardamompass.Region{""})
	ipv4, ipv6, err := bld.split(blocks)
	if err != nil {
		return nil, err
	}
	tbl = &Table{}
	for num := range ipv4 {
		tbl.ipv4[num] = newShard(ipv4[num], false)
	}
	tbl.ipv6 = newShard(ipv6, true)
	tbl.regions = bld.regions
	return tbl, nil
}

// WithShard returns a copy in which the given blocks replace all blocks of the IPv4 addresses with the given first byte.
// Each block must lie within that /8.
func (tbl *Table) WithShard(first byte, blocks []Block) (res *Table, err error) {
	defer func() { err = errors.Wrapf(err, "replace blocks of %d.0.0.0/8", first) }()
	for _, blk := range blocks {
		if !blk.Prefix.Addr().Is4() || blk.Prefix.Bits() < 8 || blk.Prefix.Addr().As4()[0] != first {
			return nil, &cardamompass.InvalidError{
				Field:  blk.Prefix.String(),
				Reason: "is outside the shard",
			}
		}
	}
	bld := newBuilder(slices.Clone(tbl.regions))
	ipv4, _, err := bld.split(blocks)
	if err != nil {
		return nil, err
	}
	res = &Table{
		regions: bld.regions,
		ipv4:    tbl.ipv4,
		ipv6:    tbl.ipv6,
	}
	res.ipv4[first] = newShard(ipv4[first], false)
	return res, nil
}

// Region returns the region of a client address and whether any block covers it.
func (tbl *Table) Region(addr netip.Addr) (reg cardamompass.Region, ok bool) {
	addr = addr.Unmap()
	var num uint16
	switch {
	case addr.Is4():
		oct := addr.As4()
		num = tbl.ipv4[oct[0]].find4(binary.BigEndian.Uint32(oct[:]) & (1<<24 - 1))
	case addr.Is6():
		full := addr.As16()
		num = tbl.ipv6.find6(binary.BigEndian.Uint64(full[:8]))
	}
	return tbl.regions[num], num != noRegion
}

func (shd *shard) find4(low uint32) uint16 {
	second := low >> 16
	from, to := int(shd.offsets[second]), int(shd.offsets[second+1])
	// The search finds the first range that starts after low. The range before it covers low, and may start below the
	// second byte of low.
	for from < to {
		mid := int(uint(from+to) >> 1)
		if shd.starts4[mid] <= low {
			from = mid + 1
		} else {
			to = mid
		}
	}
	if from == 0 {
		return noRegion
	}
	return shd.regions[from-1]
}

func (shd *shard) find6(high uint64) uint16 {
	pos, found := slices.BinarySearch(shd.starts6, high)
	if !found {
		pos--
	}
	if pos < 0 {
		return noRegion
	}
	return shd.regions[pos]
}

// span is a prefix as an inclusive range of keys: the low 24 bits of an IPv4 or the high 64 bits of an IPv6 address.
type span struct {
	first, last uint64
	bits        int
	order       int
	region      uint16
}

type builder struct {
	regions []cardamompass.Region
	index   map[cardamompass.Region]uint16
}

func newBuilder(regions []cardamompass.Region) *builder {
	bld := &builder{
		regions: regions,
		index:   make(map[cardamompass.Region]uint16, len(regions)),
	}
	for num, reg := range regions {
		bld.index[reg] = uint16(num)
	}
	return bld
}

func (bld *builder) number(reg cardamompass.Region) (num uint16, err error) {
	if num, ok := bld.index[reg]; ok {
		return num, nil
	}
	if len(bld.regions) == maxRegions {
		return 0, &cardamompass.InvalidError{
			Field:  string(reg),
			Reason: "exceeds the limit of 65535 regions in a table",
		}
	}
	num = uint16(len(bld.regions))
	bld.regions = append(bld.regions, reg)
	bld.index[reg] = num
	return num, nil
}

// split converts blocks to the spans of each IPv4 shard and of the IPv6 shard.
func (bld *builder) split(blocks []Block) (ipv4 [shards][]span, ipv6 []span, err error) {
	for pos, blk := range blocks {
		num, err := bld.number(blk.Region)
		if err != nil {
			return ipv4, nil, err
		}
		pfx := blk.Prefix.Masked()
		spn := span{
			bits:   pfx.Bits(),
			order:  pos,
			region: num,
		}
		switch {
		case !pfx.IsValid():
			return ipv4, nil, &cardamompass.InvalidError{
				Field:  "client block",
				Reason: "is not a prefix such as 192.0.2.0/24",
			}
		case pfx.Addr().Is4():
			split4(&ipv4, pfx, spn)
		case pfx.Bits() > 64:
			return ipv4, nil, &cardamompass.InvalidError{
				Field:  pfx.String(),
				Reason: "is longer than 64 bits",
			}
		default:
			full := pfx.Addr().As16()
			spn.first = binary.BigEndian.Uint64(full[:8])
			spn.last = spn.first | (^uint64(0))>>spn.bits
			ipv6 = append(ipv6, spn)
		}
	}
	return ipv4, ipv6, nil
}

func split4(ipv4 *[shards][]span, pfx netip.Prefix, spn span) {
	oct := pfx.Addr().As4()
	first := uint64(binary.BigEndian.Uint32(oct[:]))
	last := first | (1<<(32-spn.bits) - 1)
	for num := first >> 24; num <= last>>24; num++ {
		sub := spn
		sub.first = max(first, num<<24) & (1<<24 - 1)
		sub.last = min(last, num<<24|(1<<24-1)) & (1<<24 - 1)
		ipv4[num] = append(ipv4[num], sub)
	}
}

// newShard flattens nested spans into disjoint ranges in one sweep. Outer spans sort before the spans that they contain,
// and continue after the end of these.
func newShard(spans []span, ipv6 bool) *shard {
	slices.SortFunc(spans, func(one, two span) int {
		return cmp.Or(cmp.Compare(one.first, two.first), cmp.Compare(one.bits, two.bits), cmp.Compare(one.order, two.order))
	})
	shd := &shard{}
	var open []span
	closeUpTo := func(key uint64) {
		for len(open) > 0 && open[len(open)-1].last < key {
			end := open[len(open)-1].last
			open = open[:len(open)-1]
			if end == ^uint64(0) {
				return
			}
			outer := uint16(noRegion)
			if len(open) > 0 {
				outer = open[len(open)-1].region
			}
			shd.add(end+1, outer, ipv6)
		}
	}
	for _, spn := range spans {
		closeUpTo(spn.first)
		shd.add(spn.first, spn.region, ipv6)
		open = append(open, spn)
	}
	closeUpTo(^uint64(0))
	shd.seal(ipv6)
	return shd
}

// add appends a range, or overwrites the last one if that would be empty. It merges adjacent ranges of the same region.
func (shd *shard) add(start uint64, region uint16, ipv6 bool) {
	if !ipv6 && start >= 1<<24 {
		return
	}
	last := len(shd.regions) - 1
	if last >= 0 {
		same := ipv6 && shd.starts6[last] == start || !ipv6 && uint64(shd.starts4[last]) == start
		if same {
			shd.regions[last] = region
			return
		}
		if shd.regions[last] == region {
			return
		}
	}
	if ipv6 {
		shd.starts6 = append(shd.starts6, start)
	} else {
		shd.starts4 = append(shd.starts4, uint32(start))
	}
	shd.regions = append(shd.regions, region)
}

func (shd *shard) seal(ipv6 bool) {
	shd.starts4 = slices.Clip(shd.starts4)
	shd.starts6 = slices.Clip(shd.starts6)
	shd.regions = slices.Clip(shd.regions)
	if ipv6 {
		return
	}
	pos := 0
	for second := range shards {
		for pos < len(shd.starts4) && shd.starts4[pos]>>16 < uint32(second) {
			pos++
		}
		shd.offsets[second] = uint32(pos)
	}
	shd.offsets[shards] = uint32(len(shd.starts4))
}
