package limiter

import "fmt"

// Shape bounds the values of a JSON text.
type Shape struct {
	// MaxDepth is how deeply objects and arrays may be nested, at most maxTrackedDepth.
	MaxDepth int
	// MaxElements is how many elements each array of the outermost object may have.
	MaxElements int
}

// MaxTrackedDepth is the highest MaxDepth of a Shape.
const MaxTrackedDepth = 64

// ShapeError reports a JSON text that exceeds a bound.
type ShapeError struct {
	What  string
	Limit int
}

func (e *ShapeError) Error() string { return fmt.Sprintf("%s over %d", e.What, e.Limit) }

// Check returns the number of elements in the longest array of the outermost object.
// It does not check that text is JSON; the result is an upper bound for any text that a
// JSON decoder accepts. The error is a ShapeError.
func (s Shape) Check(text []byte) (int, error) {
	depth, commas, longest := 0, 0, 0
	inArray := false
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			for i++; i < len(text) && text[i] != '"'; i++ {
				if text[i] == '\\' {
					i++
				}
			}
		case '{', '[':
			depth++
			if depth > s.MaxDepth {
				return 0, &ShapeError{"nesting", s.MaxDepth}
			}
			if depth == 2 {
				commas, inArray = 0, text[i] == '['
			}
			if depth == 2 && inArray {
				longest = max(longest, 1)
			}
		case '}', ']':
			depth--
		case ',':
			if depth != 2 || !inArray {
				continue
			}
			commas++
			longest = max(longest, commas+1)
			if commas >= s.MaxElements {
				return 0, &ShapeError{"elements of an array", s.MaxElements}
			}
		}
	}
	return longest, nil
}
