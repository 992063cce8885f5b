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
	// maxRegions bounds the distinct regions or sites of a table; an entry holds the index in two bytes.
	maxRegions = 1 << 16
	// noRegion is the index of addresses that no block covers.
	noRegion = 0
)

// Block assigns one prefix of client addresses to a region.
type Block struct {
	Prefix netip.Prefix
	Region cardamompass.Region
}

// Table finds the region of a client address. It is immutable, so readers never wait; an update makes a new table that
// shares the unchanged shards. A shard holds the addresses with one first byte as sorted, disjoint ranges, 6 bytes for
// each range: 2.8 million scattered blocks need 20 MB, where the trie of the library bart needs 71 MB.
type Table struct {
	regions []cardamompass.Region
	four    [shards]*shard
	six     *shard
}

// shard is a sorted list of ranges. A range goes from its start to the start of the next one.
type shard struct {
	starts []uint32 // IPv4 only: the low 24 bits of the address
	wide   []uint64 // IPv6 only: the high 64 bits of the address
	region []uint16
	// second[b] is the number of ranges that start below second byte b; it bounds the search for IPv4.
	second [shards + 1]uint32
}

// NewTable returns the table of the given blocks. Where blocks are nested the longest prefix wins; the later of two
// equal prefixes wins. IPv6 prefixes longer than 64 bits are an InvalidError.
func NewTable(blocks []Block) (tbl *Table, err error) {
	defer func() { err = errors.Wrap(err, "make client-block table") }()
	bld := newBuilder([]cardamompass.Region{""})
	parts, six, err := bld.split(blocks)
	if err != nil {
		return nil, err
	}
	tbl = &Table{}
	for num := range parts {
		tbl.four[num] = newShard(parts[num], false)
	}
	tbl.six = newShard(six, true)
	tbl.regions = bld.regions
	return tbl, nil
}

// WithShard returns a copy in which the IPv4 addresses with the given first byte have exactly the given blocks. Each
// block must lie within that first byte.
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
	parts, _, err := bld.split(blocks)
	if err != nil {
		return nil, err
	}
	res = &Table{
		regions: bld.regions,
		four:    tbl.four,
		six:     tbl.six,
	}
	res.four[first] = newShard(parts[first], false)
	return res, nil
}

// Region returns the region of a client address and whether any block covers it.
func (tbl *Table) Region(addr netip.Addr) (reg cardamompass.Region, ok bool) {
	addr = addr.Unmap()
	var num uint16
	switch {
	case addr.Is4():
		oct := addr.As4()
		num = tbl.four[oct[0]].find4(binary.BigEndian.Uint32(oct[:]) & (1<<24 - 1))
	case addr.Is6():
		full := addr.As16()
		num = tbl.six.find6(binary.BigEndian.Uint64(full[:8]))
	}
	return tbl.regions[num], num != noRegion
}

func (shd *shard) find4(low uint32) uint16 {
	second := low >> 16
	from, to := int(shd.second[second]), int(shd.second[second+1])
	// The range that covers low may start below the second byte, hence the step back.
	for from < to {
		mid := int(uint(from+to) >> 1)
		if shd.starts[mid] <= low {
			from = mid + 1
		} else {
			to = mid
		}
	}
	if from == 0 {
		return noRegion
	}
	return shd.region[from-1]
}

func (shd *shard) find6(high uint64) uint16 {
	pos, found := slices.BinarySearch(shd.wide, high)
	if !found {
		pos--
	}
	if pos < 0 {
		return noRegion
	}
	return shd.region[pos]
}

// span is a prefix as an inclusive range of keys.
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
			Reason: "is one region too many; a table holds 65535",
		}
	}
	num = uint16(len(bld.regions))
	bld.regions = append(bld.regions, reg)
	bld.index[reg] = num
	return num, nil
}

// split turns blocks into the spans of each IPv4 shard and those of IPv6.
func (bld *builder) split(blocks []Block) (four [shards][]span, six []span, err error) {
	for pos, blk := range blocks {
		num, err := bld.number(blk.Region)
		if err != nil {
			return four, nil, err
		}
		pfx := blk.Prefix.Masked()
		spn := span{
			bits:   pfx.Bits(),
			order:  pos,
			region: num,
		}
		switch {
		case !pfx.IsValid():
			return four, nil, &cardamompass.InvalidError{
				Field:  "client block",
				Reason: "is not a prefix such as 192.0.2.0/24",
			}
		case pfx.Addr().Is4():
			split4(&four, pfx, spn)
		case pfx.Bits() > 64:
			return four, nil, &cardamompass.InvalidError{
				Field:  pfx.String(),
				Reason: "is longer than 64 bits",
			}
		default:
			full := pfx.Addr().As16()
			spn.first = binary.BigEndian.Uint64(full[:8])
			spn.last = spn.first | (^uint64(0))>>spn.bits
			six = append(six, spn)
		}
	}
	return four, six, nil
}

func split4(four *[shards][]span, pfx netip.Prefix, spn span) {
	oct := pfx.Addr().As4()
	first := uint64(binary.BigEndian.Uint32(oct[:]))
	last := first | (1<<(32-spn.bits) - 1)
	for num := first >> 24; num <= last>>24; num++ {
		part := spn
		part.first = max(first, num<<24) & (1<<24 - 1)
		part.last = min(last, num<<24|(1<<24-1)) & (1<<24 - 1)
		four[num] = append(four[num], part)
	}
}

// newShard flattens nested spans into disjoint ranges with one sweep: outer spans come first and are resumed after the
// inner ones that they contain.
func newShard(spans []span, wide bool) *shard {
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
			shd.add(end+1, outer, wide)
		}
	}
	for _, spn := range spans {
		closeUpTo(spn.first)
		shd.add(spn.first, spn.region, wide)
		open = append(open, spn)
	}
	closeUpTo(^uint64(0))
	shd.finish(wide)
	return shd
}

// add appends a range, or overwrites the last one when it would be empty.
func (shd *shard) add(start uint64, region uint16, wide bool) {
	if !wide && start >= 1<<24 {
		return
	}
	last := len(shd.region) - 1
	if last >= 0 {
		same := wide && shd.wide[last] == start || !wide && uint64(shd.starts[last]) == start
		if same {
			shd.region[last] = region
			return
		}
		if shd.region[last] == region {
			return
		}
	}
	if wide {
		shd.wide = append(shd.wide, start)
	} else {
		shd.starts = append(shd.starts, uint32(start))
	}
	shd.region = append(shd.region, region)
}

func (shd *shard) finish(wide bool) {
	shd.starts = slices.Clip(shd.starts)
	shd.wide = slices.Clip(shd.wide)
	shd.region = slices.Clip(shd.region)
	if wide {
		return
	}
	pos := 0
	for second := range shards {
		for pos < len(shd.starts) && shd.starts[pos]>>16 < uint32(second) {
			pos++
		}
		shd.second[second] = uint32(pos)
	}
	shd.second[shards] = uint32(len(shd.starts))
}
