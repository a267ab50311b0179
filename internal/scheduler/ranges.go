package scheduler

import "slices"

// IndexRange is the indexes from First to First+Count-1.
type IndexRange struct {
	First int `cbor:"1,keyasint,omitempty"`
	Count int `cbor:"2,keyasint"`
}

// Ranges is a set of indexes, represented by sorted, non-empty ranges that
// neither overlap nor are adjacent.
type Ranges []IndexRange

// Len returns the number of indexes.
func (r Ranges) Len() int {
	n := 0
	for _, x := range r {
		n += x.Count
	}
	return n
}

// Has reports whether r contains every index of x.
func (r Ranges) Has(x IndexRange) bool {
	for _, o := range r {
		if o.First <= x.First && x.First+x.Count <= o.First+o.Count {
			return true
		}
	}
	return false
}

// Overlaps reports whether r contains any index of x.
func (r Ranges) Overlaps(x IndexRange) bool {
	for _, o := range r {
		if o.First < x.First+x.Count && x.First < o.First+o.Count {
			return true
		}
	}
	return false
}

// Add returns r with the indexes of x, which must not overlap r.
func (r Ranges) Add(x IndexRange) Ranges {
	at, _ := slices.BinarySearchFunc(r, x, func(a, b IndexRange) int { return a.First - b.First })
	out := slices.Insert(slices.Clone(r), at, x)
	if at+1 < len(out) && out[at].First+out[at].Count == out[at+1].First {
		out[at].Count += out[at+1].Count
		out = slices.Delete(out, at+1, at+2)
	}
	if at > 0 && out[at-1].First+out[at-1].Count == out[at].First {
		out[at-1].Count += out[at].Count
		out = slices.Delete(out, at, at+1)
	}
	return out
}

// Remove returns r without the indexes of x. One range of r must contain x.
// Remove may modify r.
func (r Ranges) Remove(x IndexRange) Ranges {
	for i, o := range r {
		if o.First > x.First || x.First+x.Count > o.First+o.Count {
			continue
		}
		left := IndexRange{o.First, x.First - o.First}
		right := IndexRange{x.First + x.Count, o.First + o.Count - x.First - x.Count}
		switch {
		case left.Count == 0 && right.Count == 0:
			return slices.Delete(r, i, i+1)
		case left.Count == 0:
			r[i] = right
		case right.Count == 0:
			r[i] = left
		default:
			r[i] = left
			return slices.Insert(r, i+1, right)
		}
		return r
	}
	return r
}
