package planner

import (
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// numberSet is a set of numbers of 0 or more. Numbers that are added nearly in order take
// little space, however many they are.
type numberSet struct {
	// ranges are in ascending order, and neither overlap nor touch.
	ranges []numberRange
}

// numberRange holds the numbers from first to last.
type numberRange struct{ first, last int }

// find returns the index of the first range that ends at k or later.
func (s *numberSet) find(k int) int {
	at, _ := slices.BinarySearchFunc(s.ranges, k, func(r numberRange, k int) int { return cmp.Compare(r.last, k) })
	return at
}

func (s *numberSet) has(k int) bool {
	at := s.find(k)
	return at < len(s.ranges) && s.ranges[at].first <= k
}

// nextMissing returns the least number of k or more that is not in the set.
func (s *numberSet) nextMissing(k int) int {
	if at := s.find(k); at < len(s.ranges) && s.ranges[at].first <= k {
		return s.ranges[at].last + 1
	}
	return k
}

// IsZero reports whether the set is empty.
func (s numberSet) IsZero() bool { return len(s.ranges) == 0 }

func (s *numberSet) count() int {
	n := 0
	for _, r := range s.ranges {
		n += r.last - r.first + 1
	}
	return n
}

func (s *numberSet) add(k int) { s.addRange(numberRange{k, k}) }

// addRange adds the numbers of a range. It must not overlap the set in part.
func (s *numberSet) addRange(r numberRange) {
	at := s.find(r.first)
	if r.last < r.first || at < len(s.ranges) && s.ranges[at].first <= r.first {
		return
	}
	s.ranges = slices.Insert(s.ranges, at, r)
	if at+1 < len(s.ranges) && s.ranges[at+1].first == r.last+1 {
		s.ranges[at].last = s.ranges[at+1].last
		s.ranges = slices.Delete(s.ranges, at+1, at+2)
	}
	if at > 0 && s.ranges[at-1].last+1 == r.first {
		s.ranges[at-1].last = s.ranges[at].last
		s.ranges = slices.Delete(s.ranges, at, at+1)
	}
}

// maxListedNumbers is up to how many numbers are stored one by one. Earlier versions know
// only that form. They can't use a record with ranges, and so don't run again what is done.
const maxListedNumbers = 100

// MarshalCBOR encodes the set as a list of its numbers, or of the first and the last number
// of each range.
func (s numberSet) MarshalCBOR() ([]byte, error) {
	if s.count() > maxListedNumbers {
		list := make([][2]int, len(s.ranges))
		for i, r := range s.ranges {
			list[i] = [2]int{r.first, r.last}
		}
		return cbor.Marshal(list)
	}
	var list []int
	for _, r := range s.ranges {
		for k := r.first; k <= r.last; k++ {
			list = append(list, k)
		}
	}
	return cbor.Marshal(list)
}

// UnmarshalCBOR decodes either form. Earlier versions list any number of numbers.
func (s *numberSet) UnmarshalCBOR(data []byte) error {
	*s = numberSet{}
	var numbers []int
	if err := cbor.Unmarshal(data, &numbers); err == nil {
		slices.Sort(numbers)
		if len(numbers) > 0 && numbers[0] < 0 {
			return errors.Errorf("negative number %d", numbers[0])
		}
		for _, k := range numbers {
			s.add(k)
		}
		return nil
	}
	var list [][2]int
	if err := cbor.Unmarshal(data, &list); err != nil {
		return errors.Wrap(err, "decode numbers")
	}
	next := 0
	for _, r := range list {
		if r[0] < next || r[1] < r[0] {
			return errors.Errorf("range from %d to %d is out of order", r[0], r[1])
		}
		s.addRange(numberRange{r[0], r[1]})
		next = r[1] + 1
	}
	return nil
}
