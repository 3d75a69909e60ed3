package configcheck

import (
	"bytes"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// maxIndexDepth is the depth to which an index lists values. The configurations are less deep, and the paths of a deeply nested text
// would need memory of the square of its size.
const maxIndexDepth = 8

// Index holds where the values of a text of JSON, with or without comments, are. Its paths ignore case, as encoding/json does.
type Index struct {
	src    []byte
	values map[string]indexedValue // by path in lower case
}

type indexedValue struct {
	offset int
	path   string // with its case
	text   string // of a string, otherwise empty
}

// NewIndex returns an index of a text; it is empty if the syntax is invalid.
func NewIndex(src []byte) *Index {
	x := &Index{src: src, values: map[string]indexedValue{}}
	if v, err := hujson.Parse(bytes.Clone(src)); err == nil {
		x.addValue("", &v, 0)
	}
	return x
}

func (x *Index) addValue(path string, v *hujson.Value, depth int) {
	e := indexedValue{offset: v.StartOffset, path: path}
	if l, ok := v.Value.(hujson.Literal); ok && l.Kind() == '"' {
		e.text = l.String()
	}
	x.values[strings.ToLower(path)] = e
	if depth == maxIndexDepth {
		return
	}
	switch t := v.Value.(type) {
	case *hujson.Object:
		for i := range t.Members {
			if n, ok := t.Members[i].Name.Value.(hujson.Literal); ok {
				x.addValue(strings.TrimPrefix(path+"."+n.String(), "."), &t.Members[i].Value, depth+1)
			}
		}
	case *hujson.Array:
		for i := range t.Elements {
			x.addValue(entry(path, i), &t.Elements[i], depth+1)
		}
	}
}

// Has reports whether the text has a value at a path.
func (x *Index) Has(path string) bool {
	_, ok := x.values[strings.ToLower(path)]
	return ok
}

// Text returns the string at a path, or "".
func (x *Index) Text(path string) string { return x.values[strings.ToLower(path)].text }

// Find returns the last element of the array at a path whose field is the string text, or the path of the array.
func (x *Index) Find(array, field, text string) string {
	found := array
	for i := 0; x.Has(entry(array, i)); i++ {
		if p := entry(array, i); x.Text(p+"."+field) == text {
			found = p
		}
	}
	return found
}

// Locate returns the line and the column, in bytes, of the value at a path or of the closest one that contains it.
func (x *Index) Locate(path string) (line, column int) {
	for path != "" && !x.Has(path) {
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	if !x.Has(path) {
		return 0, 0
	}
	return x.Position(x.values[strings.ToLower(path)].offset)
}

// PathAt returns the path of the last value that starts at or before an offset.
func (x *Index) PathAt(offset int) string {
	found, start := "", -1
	for _, v := range x.values {
		if v.offset <= offset && v.offset > start {
			found, start = v.path, v.offset
		}
	}
	return found
}

// Position returns the line and the column, in bytes, of an offset. Both start at 1.
func (x *Index) Position(offset int) (line, column int) {
	before := x.src[:max(0, min(offset, len(x.src)))]
	return 1 + bytes.Count(before, []byte("\n")), len(before) - bytes.LastIndexByte(before, '\n')
}

// entry returns the path of an element of an array.
func entry(array string, i int) string { return array + "[" + strconv.Itoa(i) + "]" }
