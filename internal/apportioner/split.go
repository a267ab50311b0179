// Package apportioner divides capacity among organisations by weight, and tells which
// of an organisation's jobs lie within its rate. It does no I/O and reads no clock.
package apportioner

import (
	"cmp"
	"math"
	"slices"
)

// Claim is what one organisation uses of a capacity and asks for in addition, in the
// unit of the capacity. Negative amounts count as zero.
type Claim struct {
	// Name is unique among the claims of a division.
	Name string
	// Weight is the claim's share of scarce capacity relative to the others. A claim
	// without a positive weight gets only what the others leave.
	Weight float64
	Used   float64
	Wanted float64
}

// Demand returns what the claim uses and wants together.
func (c Claim) Demand() float64 { return max(0, c.Used) + max(0, c.Wanted) }

// Split divides capacity among claims by weight (weighted max-min fairness). No claim
// gets more than its demand. What a claim doesn't need goes to the others by their
// weights. The result holds the part of each claim by name.
func Split(capacity float64, claims []Claim) map[string]float64 {
	parts := make(map[string]float64, len(claims))
	var weighted, unweighted []Claim
	for _, c := range claims {
		if c.Weight > 0 {
			weighted = append(weighted, c)
		} else {
			c.Weight = 1
			unweighted = append(unweighted, c)
		}
	}
	left := fill(max(0, capacity), weighted, parts)
	fill(left, unweighted, parts)
	return parts
}

// fill divides capacity among claims with positive weights, adds their parts, and
// returns what is left.
func fill(capacity float64, claims []Claim, parts map[string]float64) float64 {
	slices.SortFunc(claims, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Demand()/a.Weight, b.Demand()/b.Weight), cmp.Compare(a.Name, b.Name))
	})
	// The sums are computed from the end, since subtracting each weight from the total
	// loses small weights beside large ones.
	sums := make([]float64, len(claims)+1)
	for i := len(claims) - 1; i >= 0; i-- {
		sums[i] = sums[i+1] + claims[i].Weight
	}
	for i, c := range claims {
		part := min(c.Demand(), capacity*(c.Weight/sums[i]))
		parts[c.Name] = part
		capacity = max(0, capacity-part)
	}
	return capacity
}

// Level returns the part of the capacity per unit of weight up to which Split serves
// every claim, or +Inf if each claim with a positive weight gets its whole demand.
func Level(capacity float64, claims []Claim) float64 {
	level, isShort := 0.0, false
	parts := Split(capacity, claims)
	for _, c := range claims {
		if c.Weight <= 0 {
			continue
		}
		level = max(level, parts[c.Name]/c.Weight)
		isShort = isShort || parts[c.Name] < c.Demand()*(1-roundingError)
	}
	if !isShort {
		return math.Inf(1)
	}
	return level
}

// roundingError is the share of a demand by which its part may be less although the
// capacity suffices.
const roundingError = 1e-9
