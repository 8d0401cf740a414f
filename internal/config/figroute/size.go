package figroute

const (
	// Sizes of the structs in memory on 64-bit machines, with the headers of their slices and strings,
	// and a pool with its engine.
	routeBytes, shareBytes, poolBytes, accountBytes = 120, 24, 80, 88
)

// Bytes returns about how much memory the declarations take.
func (d *Declarations) Bytes() int64 {
	sum := 0
	for i := range d.Routes {
		r := &d.Routes[i]
		sum += routeBytes + len(r.Name) + len(r.Host) + len(r.Prefix) + shareBytes*len(r.Shares)
		for _, s := range r.Shares {
			sum += len(s.Pool)
		}
	}
	for i := range d.Pools {
		sum += poolBytes + len(d.Pools[i].Name)
	}
	for i := range d.Accounts {
		a := &d.Accounts[i]
		sum += accountBytes + len(a.Name) + len(Digest{})*len(a.Keys)
	}
	return int64(sum)
}
