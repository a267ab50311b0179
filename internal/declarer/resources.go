package declarer

// Resources is an amount of what a worker has and a task needs. The zero
// value needs nothing.
type Resources struct {
	// MilliCPU is thousandths of a processor core, zero or more.
	MilliCPU int64 `yaml:"milli_cpu" json:"milli_cpu" cbor:"1,keyasint,omitempty"`
	// MemoryMB is memory in megabytes (10^6 bytes), zero or more.
	MemoryMB int64 `yaml:"memory_mb" json:"memory_mb" cbor:"2,keyasint,omitempty"`
	// Accelerators is a count of whole accelerators, zero or more.
	Accelerators int64 `yaml:"accelerators,omitempty" json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r less o. The result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r with each amount multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Max returns the larger of r and o in each amount.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// FitsIn reports whether no amount of r exceeds that of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// IsNegative reports whether any amount is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// DominantShare returns the largest share of total that r takes in any
// amount, between 0 and 1 when r fits in total.
func (r Resources) DominantShare(total Resources) float64 {
	share := 0.0
	for _, p := range [...][2]int64{
		{r.MilliCPU, total.MilliCPU},
		{r.MemoryMB, total.MemoryMB},
		{r.Accelerators, total.Accelerators},
	} {
		if p[1] > 0 {
			share = max(share, float64(p[0])/float64(p[1]))
		}
	}
	return share
}
