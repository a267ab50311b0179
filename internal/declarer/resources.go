package declarer

// Resources is an amount of each resource, such as the capacity of a worker or the
// demand of a task. The zero value is none of any resource.
type Resources struct {
	// MilliCPU is processor capacity in thousandths of a core, zero or more.
	MilliCPU int64 `yaml:"milli_cpu" json:"milli_cpu" cbor:"1,keyasint,omitempty"`
	// MemoryMB is memory in megabytes (10^6 bytes), zero or more.
	MemoryMB int64 `yaml:"memory_mb" json:"memory_mb" cbor:"2,keyasint,omitempty"`
	// Accelerators is a number of whole accelerators, zero or more.
	Accelerators int64 `yaml:"accelerators,omitempty" json:"accelerators,omitempty" cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. Amounts of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r with each amount multiplied by n.
func (r Resources) Scale(n int64) Resources {
	return Resources{r.MilliCPU * n, r.MemoryMB * n, r.Accelerators * n}
}

// Max returns the maximum of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// FitsIn reports whether each amount of r is at most the same amount of o.
func (r Resources) FitsIn(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.Accelerators <= o.Accelerators
}

// IsNegative reports whether any amount is below zero.
func (r Resources) IsNegative() bool {
	return r.MilliCPU < 0 || r.MemoryMB < 0 || r.Accelerators < 0
}

// DominantShare returns the largest share of total that r takes of any resource,
// ignoring resources of which total has none. It is between 0 and 1 if r fits in
// total.
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
