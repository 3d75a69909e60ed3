package platform

import "unsafe"

const (
	// growth is how much more than its elements a slice takes while it grows: a new array of up to twice the elements, and the old one.
	growth = 3
	// elementSize is the size of the largest element of a list, an instance; an entry is smaller.
	elementSize = growth * int64(unsafe.Sizeof(Instance{}))
	// innerSize is the size of an element of a list in an element: the name of a version.
	innerSize = growth * int64(unsafe.Sizeof(""))
)

// decodedSize returns the most that the JSON of a page or a list takes when it is decoded. An element can be as short as a digit: it
// still takes a place in the list. All other values take no more than their text.
func decodedSize(b []byte) int64 {
	size := int64(len(b))
	depth, list := 0, 0 // of arrays and objects; list is the depth of the elements of the outermost array
	quoted, escaped := false, false
	for _, c := range b {
		switch {
		case escaped:
			escaped = false
		case quoted:
			escaped, quoted = c == '\\', c != '"'
		case c == '"':
			quoted = true
		case c == '[' || c == '{':
			depth++
			if c == '[' && list == 0 {
				list = depth
				size += elementSize
			}
		case c == ']' || c == '}':
			if depth == list {
				list = 0
			}
			depth--
		case c == ',' && depth == list:
			size += elementSize
		case c == ',' && list > 0 && depth == list+2:
			size += innerSize
		}
	}
	return size
}
